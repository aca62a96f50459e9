package relayer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/router"
)

// unresponsiveNode accepts connections but never responds, like a VM that loses connectivity
// after its connections were established.
func unresponsiveNode(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against idempotent requests that wait for an unresponsive node until their deadline,
// instead of being retried at another one. On a day with power losses on remotecodes-hub, 4.6%
// of the requests failed without this and 2.8% with it.
func TestRequestsLeaveSilentNodes(t *testing.T) {
	tests := []struct {
		name string
		kind router.Kind
		want int
	}{
		{
			name: "idempotent",
			kind: router.Idempotent,
			want: http.StatusOK,
		},
		{
			name: "at most once",
			kind: router.AtMostOnce,
			want: http.StatusGatewayTimeout,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCaller(t, test.kind, outcome{status: http.StatusOK})
			c.Table().Routes[0].Timeout = 1500 * time.Millisecond
			// With a shorter target, a hedge is sent before the node counts as unresponsive.
			c.Table().Routes[0].Target = 1500 * time.Millisecond
			c.Exchanger = &exchanger.Exchanger{}
			unresponsive := peer("b", 1, false)
			unresponsive.Address = unresponsiveNode(t)
			// The local endpoint is draining, so the first attempt goes to the other one.
			c.View.SetPeers([]Peer{peer("a", 1, true), unresponsive})
			var changes []bool
			w := &LivenessMonitor{
				View:     c.View,
				Probe:    func(netip.Addr) {},
				OnChange: func(c LivenessChange) { changes = append(changes, c.Unresponsive) },
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = w.Run(ctx)
			}()
			start := time.Now()
			is.Equal(c.send(http.MethodGet, "/view/1", "").Code, test.want)
			is.Equal(time.Since(start) < time.Second, test.kind == router.Idempotent)
			cancel()
			<-done
			is.Equal(changes, []bool{true})
			w.check(time.Now())
			c.View.Report("b", reporter.Load{Incarnation: 1}, time.Now())
			w.check(time.Now())
			is.Equal(changes, []bool{true, false})
		})
	}
}

// Guards against sending requests to an unresponsive node while others accept them, or after
// all others have refused them: those requests ended with an unknown outcome. Without any other
// node, the unresponsive one is still used, because only the probes may be affected.
func TestSilentNodesGetNoRequests(t *testing.T) {
	is := is.New(t)
	v := viewOf(peer("a", 1, false), peer("b", 1, false))
	start := time.Now()
	v.beginAttempt("a", &inFlightAttempt{started: start})
	for elapsed := time.Duration(0); elapsed <= 500*time.Millisecond; elapsed += livenessCheckInterval {
		v.checkLiveness(start.Add(elapsed))
	}
	is.Equal(ids(v.candidates("proofs", nil, start)), []string{"b"})
	is.Equal(len(v.candidates("proofs", map[string]bool{"b": true}, start)), 0)
	v.SetPeers([]Peer{peer("a", 1, false)})
	is.Equal(ids(v.candidates("proofs", nil, start)), []string{"a"})
}

// A node responds to a liveness probe with its load, and neither kind of message is accepted as
// the other.
func TestNodesRespondToLivenessProbes(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 10)
	exchange := func(address, node string) *LoadExchange {
		return &LoadExchange{
			Address:    netip.MustParseAddrPort(address),
			Key:        []byte("key"),
			Node:       node,
			Load:       func() reporter.Load { return loadOf(1, 100) },
			OnReceived: func(from string, _ reporter.Load) { received <- from },
		}
	}
	port := freePort(t)
	a, b := exchange("127.0.0.1:"+port, "a"), exchange("127.0.0.2:"+port, "b")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	responder := ""
	for range 200 { // the listeners may not be open yet
		a.Probe(b.Address.Addr())
		select {
		case responder = <-received:
		case <-time.After(20 * time.Millisecond):
			continue
		}
		break
	}
	is.Equal(responder, "b")
	cancel()
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.True(!b.isProbe(b.encode(loadOf(1, 100))))
	_, _, ok := b.decode(a.probeMessage())
	is.True(!ok)
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.2:0")
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	_, port, err := net.SplitHostPort(c.LocalAddr().String())
	is.New(t).NoErr(err)
	return port
}
