package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/retrier"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const testDocument = `{
  "service": "proofs", "owner": "studio", "hosts": ["proofs.example"],
  "endpoint": {"slots": 12, "connections": 20}, "shed-statuses": [429],
  "routes": [
    {"name": "view", "methods": ["GET", "HEAD", "PUT"], "path": "/view", "timeout": "5s", "repeatable": true, "request-bytes": 200000},
    {"name": "change", "methods": ["POST"], "path": "/change", "timeout": "5s", "response-bytes": 1000},
    {"name": "sign", "methods": ["POST"], "path": "/sign", "timeout": "5s", "at-most-once": true},
    {"name": "upload", "methods": ["PUT"], "path": "/upload", "class": "long", "timeout": "1m"}
  ]
}`

// fakeNode is the endpoint side of a node with one endpoint.
type fakeNode struct {
	side    *EndpointSide
	address netip.AddrPort
}

// system is a caller side and the nodes to which it forwards calls.
type system struct {
	caller   *CallerSide
	server   *httptest.Server
	nodes    []*fakeNode
	counters counter.Counters
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func newExchanger() *exchanger.Exchanger {
	return &exchanger.Exchanger{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
	}
}

// start starts a caller side and one node for each endpoint.
func start(t testing.TB, endpoints ...netip.AddrPort) *system {
	t.Helper()
	d, err := validator.ParseDocument("test", []byte(testDocument))
	if err != nil {
		t.Fatal(err)
	}
	document := func(service, host string) (*validator.Document, bool) {
		return d, service == d.Service || service == "" && host == d.Hosts[0]
	}
	s := &system{}
	s.counters.Open()
	var endpointList []picker.Endpoint
	for i, address := range endpoints {
		side := &EndpointSide{
			Service:   d.Service,
			Endpoint:  address,
			NodeToken: "token",
			Document:  document,
			Admitter: &admitter.Admitter{
				Slots:       12,
				LongSlots:   3,
				QueueLength: 10,
				Incarnation: 1,
			},
			Exchanger: newExchanger(),
			Counters:  &s.counters,
		}
		side.Exchanger.KeepAfter = side.KeepAfter
		server := httptest.NewServer(side)
		t.Cleanup(server.Close)
		s.nodes = append(s.nodes, &fakeNode{
			side:    side,
			address: addressOf(server),
		})
		endpointList = append(endpointList, picker.Endpoint{
			ID:      fmt.Sprint(i),
			Service: d.Service,
			Address: addressOf(server),
		})
	}
	p := &picker.Picker{Seed: 1}
	p.SetEndpoints(d.Service, endpointList)
	s.caller = &CallerSide{
		NodeToken: "token",
		Document:  document,
		Picker:    p,
		Exchanger: newExchanger(),
		Counters:  &s.counters,
		Retrier: &retrier.Retrier{
			NoHedging: true,
			NoBudget:  true,
		},
	}
	s.server = httptest.NewServer(s.caller)
	t.Cleanup(s.server.Close)
	s.server.Client().Transport.(*http.Transport).ExpectContinueTimeout = 10 * time.Second
	return s
}

// endpoint starts an endpoint that serves requests with a handler.
func endpoint(t testing.TB, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return addressOf(s)
}

// rawEndpoint starts an endpoint that passes each connection to serve and then closes it.
func rawEndpoint(t testing.TB, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// result is a response with its complete body.
type result struct {
	status int
	header http.Header
	body   string
	reason string
	ran    string
	resp   *http.Response
}

// do sends a request to the caller side. edit, if not nil, changes it first.
func (s *system) do(method, path string, body io.Reader, edit func(*http.Request)) (result, error) {
	r, err := http.NewRequest(method, s.server.URL+path, body)
	if err != nil {
		return result{}, err
	}
	r.Host = "proofs.example"
	if edit != nil {
		edit(r)
	}
	resp, err := s.server.Client().Do(r)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(b),
		reason: resp.Header.Get("Gentianlever-Refused"),
		ran:    resp.Header.Get("Gentianlever-Ran"),
		resp:   resp,
	}, err
}

// chunked returns a reader of unknown length, so that the body is sent chunked.
func chunked(body string) io.Reader {
	return io.MultiReader(strings.NewReader(body))
}
