package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// testDialect is a dialect of these tests' own.
func testDialect() *Dialect {
	return &Dialect{
		RequestID: "X-Id",
		Deadline:  "X-Deadline",
		Expect:    "X-Expect",
		Caller:    "X-Caller",
		ParseMillis: func(value string) (time.Duration, bool) {
			n, err := strconv.Atoi(value)
			return time.Duration(n) * time.Millisecond, err == nil
		},
		NotRun:  func(resp *http.Response) bool { return resp.Header.Get("X-Not-Run") != "" || resp.StatusCode == 421 },
		Genuine: func(h http.Header) bool { return h.Get("X-Seal") != "" },
		EndpointLoad: func(h http.Header) (reporter.EndpointLoad, bool) {
			slowness, err := strconv.Atoi(h.Get("X-Slowness"))
			return reporter.EndpointLoad{Slowness: slowness}, err == nil
		},
	}
}

// testEndpoint is an endpoint side in front of a test server.
type testEndpoint struct {
	*EndpointSide
	registrar registrar.Registrar
	arrived   atomic.Int64
	stopping  atomic.Bool
}

func newTestEndpoint(t *testing.T, slots int, handler http.HandlerFunc) *testEndpoint {
	t.Helper()
	e := &testEndpoint{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.arrived.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "seal")
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String())
	e.registrar.Service = "proofs"
	e.registrar.Address = address
	d := testDialect()
	e.EndpointSide = &EndpointSide{
		Dialect:     d,
		Service:     "proofs",
		Address:     address,
		NodeToken:   "token",
		Incarnation: 1,
		Endpoint:    e.registrar.Current,
		Exchanger: &exchanger.Exchanger{
			MaxConnections: 100,
			ConnectTimeout: time.Second,
			IdleTimeout:    time.Minute,
			Unframed:       true,
			Matches:        d.Matches,
		},
		Stopping:     e.stopping.Load,
		HealthPath:   func() string { return "" },
		MaxBodyBytes: func() int64 { return 1 << 20 },
		Observed:     func(Event) {},
		Probed:       func(error) {},
		LoadChanged:  func() {},
		Heard:        func(netip.Addr) {},
		Begin:        func(*Call, string) error { return nil },
		Ended:        func(string, End) {},
	}
	e.report(t, 1, false, slots)
	return e
}

func (e *testEndpoint) report(t *testing.T, sequence uint64, draining bool, slots int) {
	t.Helper()
	_, err := e.registrar.Report(registrar.Report{
		ID:       "i-1",
		Started:  1,
		Sequence: sequence,
		Service:  "proofs",
		Address:  e.Address,
		Slots:    slots,
		Draining: draining,
	})
	if err != nil {
		t.Fatal(err)
	}
}

func testCall() *Call {
	return &Call{
		ID:         "r-1",
		Service:    "proofs",
		Route:      "view",
		Origin:     "desk",
		TargetLeft: micros(time.Second),
		TimeLeft:   micros(time.Second),
		Attempt:    1,
		Guess:      micros(10 * time.Millisecond),
	}
}

func testRequest() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/proofs/7?x=%2f", nil)
	r.Header.Set("X-Id", "r-1")
	return r
}

func noBody() ([]byte, error) { return nil, nil }

func (e *testEndpoint) call(ctx context.Context, c *Call) (*Answer, *RefusedError) {
	answer, err := e.Run(ctx, c, testRequest(), noBody)
	var refused *RefusedError
	errors.As(err, &refused)
	return answer, refused
}

// The address of a node that is gone was used again by a node of another service, which
// ran requests that no routing table allows it to run.
func TestRequestForAnotherServiceIsRefused(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(http.ResponseWriter, *http.Request) {})
	c := testCall()
	c.Service = "vault"
	_, refused := e.call(t.Context(), c)
	is.Equal(refused.Reason, refuser.EndpointUnknown)
	is.Equal(refused.Row().Ran, refuser.NotRun)
	is.Equal(refused.Row().Retry, refuser.RetryElsewhere)
	is.Equal(e.arrived.Load(), int64(0))
}

// Guards the headers that the endpoint acts on, and the target as the caller wrote it.
func TestRequestReachesEndpointAsReceived(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get("X-Deadline"))
		is.NoErr(err)
		is.True(left > 0 && left <= 1000)
		is.Equal(r.Header.Get("X-Expect"), "i-1")
		is.Equal(r.Header.Get("X-Caller"), "desk")
		is.Equal(r.RequestURI, "/proofs/7?x=%2f")
		_, _ = io.WriteString(w, "whole")
	})
	answer, refused := e.call(t.Context(), testCall())
	is.True(refused == nil)
	is.Equal(string(answer.Body), "whole")
}

// Guards the promise that a confirmed departure keeps requests from the endpoint.
func TestDrainingEndpointGetsNothing(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(http.ResponseWriter, *http.Request) {})
	e.report(t, 2, true, 1)
	_, refused := e.call(t.Context(), testCall())
	is.Equal(refused.Reason, refuser.Draining)
	is.Equal(refused.Row().Ran, refuser.NotRun)
	is.Equal(e.arrived.Load(), int64(0))
}

// A request that waits for a slot when its endpoint departs must not be sent.
func TestWaitingRequestIsNotSentAfterDeparture(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	e := newTestEndpoint(t, 1, func(http.ResponseWriter, *http.Request) { <-release })
	first := make(chan *RefusedError, 1)
	go func() {
		_, refused := e.call(t.Context(), testCall())
		first <- refused
	}()
	waitFor(t, func() bool { return e.arrived.Load() == 1 })
	second := make(chan *RefusedError, 1)
	go func() {
		_, refused := e.call(t.Context(), testCall())
		second <- refused
	}()
	waitFor(t, func() bool { return e.Load().QueuedShort == 1 })
	e.report(t, 2, true, 1)
	close(release)
	is.True(<-first == nil)
	refused := <-second
	is.True(refused != nil)
	is.Equal(refused.Reason, refuser.Draining)
	is.Equal(e.arrived.Load(), int64(1))
}

// An answer with an encoding that was not asked for is not the endpoint's.
func TestEncodedAnswerIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "br")
		_, _ = io.WriteString(w, "spoilt")
	})
	_, refused := e.call(t.Context(), testCall())
	is.Equal(refused.Reason, refuser.EndpointFailed)
	is.Equal(refused.Row().Ran, refuser.RanUnknown)
}

// A success that the endpoint did not sign is not its answer; a failure needs no signature.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	e := newTestEndpoint(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Seal")
		w.WriteHeader(status)
	})
	_, refused := e.call(t.Context(), testCall())
	is.Equal(refused.Reason, refuser.EndpointFailed)
	is.Equal(refused.Row().Ran, refuser.RanUnknown)
	status = http.StatusInternalServerError
	answer, refused := e.call(t.Context(), testCall())
	is.True(refused == nil)
	is.Equal(answer.Status, http.StatusInternalServerError)
}

// An endpoint that says that it did not run a request is believed, and the request counts
// as one that reached an endpoint.
func TestShedRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, refused := e.call(t.Context(), testCall())
	is.Equal(refused.Reason, refuser.EndpointShed)
	is.Equal(refused.Row().Ran, refuser.NotRun)
	is.True(refused.Arrived)
}

// The work of a caller that has left must not go on at the endpoint.
func TestCancellationReachesEndpoint(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	e := newTestEndpoint(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		waitFor(t, func() bool { return e.arrived.Load() == 1 })
		cancel()
	}()
	_, refused := e.call(ctx, testCall())
	is.Equal(refused.Reason, refuser.Cancelled)
	is.Equal(refused.Row().Ran, refuser.RanUnknown)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still works")
	}
	is.Equal(e.Load().InFlight, 0)
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("the condition did not come to hold within 5 s")
			return
		}
	}
}

// Guards against an endpoint that counts as fast until its first answer: after a start it is
// probed, and again after another endpoint has started at its address.
func TestNewEndpointIsProbed(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("X-Slowness", "700")
		}
	})
	for range 2 {
		is.True(e.ProbeDue())
		e.Probe(t.Context(), "/health")
		is.True(!e.ProbeDue())
		is.Equal(e.Load().Slowness, 700)
		_, refused := e.call(t.Context(), &Call{
			Service:    "proofs",
			Route:      "view",
			TargetLeft: micros(100 * time.Millisecond),
			TimeLeft:   micros(time.Second),
			Guess:      micros(50 * time.Millisecond),
		})
		is.Equal(refused.Reason, refuser.EndpointSlow)
		e.Reported()
	}
}

// Guards against probes without end of an endpoint that does not tell its slowness.
func TestSilentEndpointIsProbedOnce(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, 1, func(http.ResponseWriter, *http.Request) {})
	is.True(e.ProbeDue())
	e.Probe(t.Context(), "/health")
	time.Sleep(150 * time.Millisecond)
	is.True(!e.ProbeDue())
	is.Equal(e.arrived.Load(), int64(1))
}

// Guards against a request that begins on an endpoint that has turned slow since its last
// answer, and against a probe for each of the requests that come at once.
func TestEndpointIsProbedBeforeAStart(t *testing.T) {
	is := is.New(t)
	const calls = 8
	var asked, probes, runs atomic.Int64
	e := newTestEndpoint(t, 12, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			runs.Add(1)
			return
		}
		probes.Add(1)
		for asked.Load() < calls {
			time.Sleep(time.Millisecond)
		}
		w.Header().Set("X-Slowness", "700")
	})
	e.StartProbeLimit = time.Minute
	e.HealthPath = func() string {
		asked.Add(1)
		return "/health"
	}
	e.learn(http.Header{"X-Slowness": {"100"}})
	time.Sleep(50 * time.Millisecond)
	var callers sync.WaitGroup
	for range calls {
		callers.Go(func() {
			c := testCall()
			c.Guess = micros(200 * time.Millisecond) // 1.4 s at that slowness
			_, err := e.Run(t.Context(), c, testRequest(), noBody)
			is.Equal(asRefused(err).Reason, refuser.EndpointSlow)
		})
	}
	callers.Wait()
	is.Equal(runs.Load(), int64(0))
	is.Equal(probes.Load(), int64(1))
}

// Guards against a request that waits for long on an endpoint that does not answer probes.
func TestUnansweredProbeHoldsNoRequest(t *testing.T) {
	is := is.New(t)
	released := make(chan struct{})
	e := newTestEndpoint(t, 12, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			<-released
		}
	})
	defer close(released)
	e.HealthPath = func() string { return "/health" }
	answer, _ := e.call(t.Context(), testCall())
	is.Equal(answer.Status, http.StatusOK)
}
