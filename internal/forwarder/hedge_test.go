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

// hedging makes the caller side send second copies after about a millisecond.
func (s *system) hedging() {
	r := &retrier.Retrier{HedgeShare: 10}
	for range 100 {
		r.Observe("proofs", time.Millisecond)
	}
	s.caller.Retrier = r
}

// answers returns an answer of a fake node.
func answers(after time.Duration, status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(after):
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		case <-r.Context().Done():
		}
	}
}

func refuses(after time.Duration, reason refuser.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		writeRefusal(w, &refuser.Refusal{Reason: reason})
	}
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a second copy that ends a call which the first would have answered, and
// against "not run" for a call of which one copy may have run.
func TestCopies(t *testing.T) {
	const late = 50 * time.Millisecond
	for _, test := range []struct {
		name          string
		first, second http.HandlerFunc
		status        int
		body, ran     string
		won           int64
	}{
		{name: "second-faster", first: answers(time.Minute, 200, "first"), second: answers(0, 200, "second"), status: 200, body: "second", won: 1},
		{name: "first-faster", first: answers(late, 200, "first"), second: answers(time.Minute, 200, "second"), status: 200, body: "first"},
		{name: "second-refused", first: answers(late, 200, "first"), second: refuses(0, refuser.NoFreeSlot), status: 200, body: "first"},
		{name: "second-fails-fast", first: answers(late, 200, "first"), second: answers(0, 500, "second"), status: 200, body: "first"},
		{name: "second-breaks", first: answers(late, 200, "first"), second: breaks, status: 200, body: "first"},
		{name: "first-refused", first: refuses(late, refuser.Draining), second: answers(2*late, 200, "second"), status: 200, body: "second", won: 1},
		{name: "first-refused-second-broke", first: refuses(late, refuser.Draining), second: breaks, status: 503, ran: "unknown"},
		{name: "first-refused-second-broke-later", first: refuses(late, refuser.Draining), second: func(http.ResponseWriter, *http.Request) {
			time.Sleep(2 * late)
			panic(http.ErrAbortHandler)
		}, status: 503, ran: "unknown"},
		{name: "first-refused-second-failed", first: refuses(late, refuser.Draining), second: answers(0, 500, ""), status: 503, ran: "unknown"},
		{name: "both-refused", first: refuses(late, refuser.Draining), second: refuses(0, refuser.NoFreeSlot), status: 503, ran: "no"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			s.hedging()
			var known []picker.Endpoint
			for _, address := range fakeNodes(t, 2, test.first, test.second) {
				known = append(known, picker.Endpoint{ID: address.String(), Service: "proofs", Address: address})
			}
			s.caller.Picker.SetEndpoints("proofs", known)
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

// fakeNodes starts nodes that answer first and second copies differently.
func fakeNodes(t *testing.T, n int, first, second http.HandlerFunc) []netip.AddrPort {
	var addresses []netip.AddrPort
	for range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.Header.Get(headerAttempt), ";"+hedgeMark) && r.Header.Get(headerRetried) != "" {
				second(w, r)
				return
			}
			first(w, r)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, addressOf(server))
	}
	return addresses
}

// Guards against a slower copy's response that reaches another call, and against slots
// that a cancelled copy keeps.
func TestLateCopies(t *testing.T) {
	is := is.New(t)
	echo := func(w http.ResponseWriter, r *http.Request) {
		wait := rand.N(3 * time.Millisecond)
		if rand.N(50) == 0 {
			// So much later than the others that a second copy overtakes it on a busy machine too.
			wait = 50 * time.Millisecond
		}
		time.Sleep(wait)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
	s := start(t, endpoint(t, echo), endpoint(t, echo), endpoint(t, echo))
	s.hedging()
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
	t.Log("second copies", s.counters.Value(counter.HedgesSent, ""), "won", s.counters.Value(counter.HedgesWon, ""))
	is.True(s.counters.Value(counter.HedgesWon, "") > 0)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		busy := 0
		for _, n := range s.nodes {
			busy += n.side.Admitter.Load().InFlight
		}
		if busy == 0 {
			break
		}
		is.True(time.Now().Before(end)) // all slots are free again
	}
}
