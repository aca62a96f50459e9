package forwarder

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

// enableHedging makes the caller side send hedges after about a millisecond.
func (s *system) enableHedging() {
	r := &retrier.Retrier{HedgeShare: 10}
	for range 100 {
		r.ObserveLatency("proofs", time.Millisecond)
	}
	s.caller.Retrier = r
}

// respondsWith returns a handler that responds after a delay.
func respondsWith(after time.Duration, status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(after):
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		case <-r.Context().Done():
		}
	}
}

// refuses returns a handler that refuses the request after a delay.
func refuses(after time.Duration, reason refuser.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		writeRefusal(w, &refuser.Refusal{Reason: reason})
	}
}

// aborts is a handler that aborts the connection.
func aborts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a hedge that fails a call for which the primary attempt would have got a
// response, and against a refusal as not run if the primary attempt or the hedge may have
// run.
func TestHedgeOutcomes(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, test := range []struct {
		name            string
		primary, hedged http.HandlerFunc
		status          int
		body, ran       string
		won             int64
	}{
		{name: "hedge-faster", primary: respondsWith(time.Minute, 200, "primary"), hedged: respondsWith(0, 200, "hedge"), status: 200, body: "hedge", won: 1},
		{name: "primary-faster", primary: respondsWith(late, 200, "primary"), hedged: respondsWith(time.Minute, 200, "hedge"), status: 200, body: "primary"},
		{name: "hedge-refused", primary: respondsWith(late, 200, "primary"), hedged: refuses(0, refuser.NoFreeSlot), status: 200, body: "primary"},
		{name: "hedge-fails-fast", primary: respondsWith(late, 200, "primary"), hedged: respondsWith(0, 500, "hedge"), status: 200, body: "primary"},
		{name: "hedge-breaks", primary: respondsWith(late, 200, "primary"), hedged: aborts, status: 200, body: "primary"},
		{name: "primary-refused", primary: refuses(late, refuser.Draining), hedged: respondsWith(2*late, 200, "hedge"), status: 200, body: "hedge", won: 1},
		{name: "primary-refused-hedge-broke", primary: refuses(late, refuser.Draining), hedged: aborts, status: 503, ran: "unknown"},
		{name: "primary-refused-hedge-broke-later", primary: refuses(late, refuser.Draining), hedged: func(http.ResponseWriter, *http.Request) {
			time.Sleep(2 * late)
			panic(http.ErrAbortHandler)
		}, status: 503, ran: "unknown"},
		{name: "primary-refused-hedge-failed", primary: refuses(late, refuser.Draining), hedged: respondsWith(0, 500, ""), status: 503, ran: "unknown"},
		{name: "both-refused", primary: refuses(late, refuser.Draining), hedged: refuses(0, refuser.NoFreeSlot), status: 503, ran: "no"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			s.enableHedging()
			var endpoints []picker.Endpoint
			for _, address := range fakeNodes(t, 2, test.primary, test.hedged) {
				endpoints = append(endpoints, picker.Endpoint{ID: address.String(), Service: "proofs", Address: address})
			}
			s.caller.Picker.SetEndpoints("proofs", endpoints)
			got, err := s.do("GET", "/view", nil, nil)
			is.NoErr(err)
			is.Equal(got.status, test.status)
			is.Equal(got.ran, test.ran)
			is.True(test.ran != "" || got.body == test.body)
			is.Equal(s.counters.Value(counter.HedgesSent, ""), int64(1))
			is.Equal(s.counters.Value(counter.HedgesWon, ""), test.won)
		})
	}
}

// fakeNodes starts nodes that serve primary attempts and hedges with different handlers.
func fakeNodes(t *testing.T, n int, primary, hedged http.HandlerFunc) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.Header.Get(headerAttempt), ";"+hedgeMark) && r.Header.Get(headerRetried) != "" {
				hedged(w, r)
				return
			}
			primary(w, r)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, addressOf(server))
	}
	return addresses
}

// Guards against the response of a slower attempt or hedge that is returned to another
// call, and against slots that are not released by a cancelled one.
func TestCancelledHedges(t *testing.T) {
	is := is.New(t)
	echo := func(w http.ResponseWriter, r *http.Request) {
		wait := rand.N(3 * time.Millisecond)
		if rand.N(50) == 0 {
			// Slow enough for a hedge to win on a busy machine, too.
			wait = 50 * time.Millisecond
		}
		time.Sleep(wait)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
	s := start(t, endpoint(t, echo), endpoint(t, echo), endpoint(t, echo))
	s.enableHedging()
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for j := range 100 {
				id := fmt.Sprint(i, " ", j)
				got, err := s.do("PUT", "/view", strings.NewReader(id), nil)
				if err != nil || got.status != 200 || got.body != id {
					t.Errorf("call %s: %d %q %v", id, got.status, got.body, err)
				}
			}
		})
	}
	callers.Wait()
	t.Log("hedges", s.counters.Value(counter.HedgesSent, ""), "won", s.counters.Value(counter.HedgesWon, ""))
	is.True(s.counters.Value(counter.HedgesWon, "") > 0)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		inFlight := 0
		for _, n := range s.nodes {
			inFlight += n.side.Admitter.Load().InFlight
		}
		if inFlight == 0 {
			break
		}
		is.True(time.Now().Before(end)) // all slots are released
	}
}
