package claimer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

const (
	timeout     = time.Second
	serviceTime = 200 * time.Millisecond
)

// cluster is a set of nodes with a shared table. It checks the invariants of each
// request and collects violations.
type cluster struct {
	table *fakeTable
	nodes []*Claimer
	// unreachable reports whether a status query to another node fails; nil means never.
	unreachable func() bool

	mu         sync.Mutex
	dispatches int
	violations []string
}

func newCluster(size int, disabled Mechanism) *cluster {
	s := &cluster{table: &fakeTable{}}
	for i := range size {
		s.nodes = append(s.nodes, &Claimer{
			Table:       s.table.table(),
			Objects:     s.table.objectStore(),
			Node:        fmt.Sprint(i),
			Incarnation: 1,
			QueryStatus: s.queryStatus,
			Disabled:    disabled,
		})
	}
	return s
}

func (s *cluster) queryStatus(_ context.Context, claimant, service, key string) (Status, *RecordedResponse, error) {
	time.Sleep(latency)
	if s.unreachable != nil && s.unreachable() {
		return Status{}, nil, errInjected
	}
	for _, n := range s.nodes {
		if n.Node == claimant {
			status, response := n.Status(service, key)
			return status, response, nil
		}
	}
	return Status{}, nil, errInjected
}

func (s *cluster) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func request() Request {
	return Request{
		Service:   "sign-off",
		Key:       "k",
		Deadline:  time.Now().Add(timeout),
		Retention: 24 * time.Hour,
	}
}

// simulatedRequest describes the behavior of one request.
type simulatedRequest struct {
	node int
	// at is the start time, and hold is the time between Claim and Dispatch.
	at, hold time.Duration
	// withdrawAt is the time between Claim and Withdraw; zero means no Withdraw.
	withdrawAt time.Duration
}

func onNode(node int) simulatedRequest { return simulatedRequest{node: node} }

func (b simulatedRequest) after(d time.Duration) simulatedRequest { b.at = d; return b }

func (b simulatedRequest) holding(d time.Duration) simulatedRequest { b.hold = d; return b }

func (b simulatedRequest) withdrawn(d time.Duration) simulatedRequest { b.withdrawAt = d; return b }

// send runs one request and checks its invariants. It returns the response or the
// refusal.
func (s *cluster) send(b simulatedRequest) (*RecordedResponse, error) {
	time.Sleep(b.at)
	r := request()
	cl, response, err := s.nodes[b.node].Claim(context.Background(), r)
	if cl == nil {
		return response, err
	}
	withdrawn := false
	if b.withdrawAt > 0 {
		time.AfterFunc(b.withdrawAt, func() {
			if cl.Withdraw(context.Background()) == nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				withdrawn = true
			}
		})
	}
	time.Sleep(b.hold)
	if err := cl.Dispatch(); err != nil {
		return nil, err
	}
	s.dispatched(r)
	time.Sleep(serviceTime)
	var refusal *refuser.Refusal
	if err := cl.Dispatch(); !errors.As(err, &refusal) || refusal.Row().Ran == refuser.NotRun {
		s.violation("second Dispatch of one dispatched claim: %v", err)
	}
	a := RecordedResponse{
		Status: 200,
		Body:   []byte("done"),
	}
	cl.Finish(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if withdrawn {
		s.violations = append(s.violations, "withdrawn as not run and dispatched")
	}
	return &a, nil
}

func (s *cluster) dispatched(r Request) {
	s.mu.Lock()
	s.dispatches++
	n := s.dispatches
	s.mu.Unlock()
	if n > 1 {
		s.violation("dispatched %d times", n)
	}
	if time.Now().After(r.Deadline) {
		s.violation("dispatched after the deadline")
	}
}

// run sends all requests, stops the faults and checks that a final request on each node
// gets a response. It returns the violations.
func (s *cluster) run(requests []simulatedRequest) []string {
	var wg sync.WaitGroup
	for _, b := range requests {
		wg.Go(func() {
			_, err := s.send(b)
			var refusal *refuser.Refusal
			if err != nil && !errors.As(err, &refusal) {
				s.violation("error is not a refusal: %v", err)
			}
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	s.table.mu.Lock()
	s.table.inject = nil
	s.table.mu.Unlock()
	s.unreachable = nil
	time.Sleep(10 * time.Second)
	for i, n := range s.nodes {
		if a, err := s.send(onNode(i)); a == nil {
			s.violation("no response after the faults: %v", err)
		}
		if err := n.Flush(context.Background()); err != nil {
			s.violation("flush: %v", err)
		}
	}
	return s.violations
}

// scenario is a set of requests to run under injected table faults.
type scenario struct {
	name        string
	unreachable bool
	requests    []simulatedRequest
}

var scenarios = []scenario{
	{
		name:     "two nodes insert concurrently",
		requests: []simulatedRequest{onNode(0), onNode(1)},
	},
	{
		name:     "the second arrives while the first runs, and again on the first node",
		requests: []simulatedRequest{onNode(0), onNode(1).after(50 * time.Millisecond), onNode(0).after(60 * time.Millisecond)},
	},
	{
		name:        "the nodes cannot reach each other",
		unreachable: true,
		requests:    []simulatedRequest{onNode(0).holding(300 * time.Millisecond), onNode(1).after(50 * time.Millisecond)},
	},
	{
		name:     "the first holder pauses beyond its deadline",
		requests: []simulatedRequest{onNode(0).holding(2 * timeout), onNode(1).after(800 * time.Millisecond)},
	},
	{
		name:     "the first is withdrawn while another waits",
		requests: []simulatedRequest{onNode(0).holding(100 * time.Millisecond).withdrawn(90 * time.Millisecond), onNode(1).after(20 * time.Millisecond)},
	},
	{
		name:     "the withdrawal comes after the dispatch",
		requests: []simulatedRequest{onNode(0).withdrawn(50 * time.Millisecond), onNode(1).after(20 * time.Millisecond)},
	},
}

// faultySteps is the index of the last table operation that gets faults.
const faultySteps = 6

// sweep runs every scenario with each pair of faults at each pair of table operations
// until it has found enough violations. It returns the number of runs and the
// violations.
func sweep(t *testing.T, disabled Mechanism, maxViolations int) (runs int, violations []string) {
	for _, sc := range scenarios {
		for first := range faultySteps {
			for second := first + 1; second <= faultySteps; second++ {
				for e := range faultCount * faultCount {
					faults := map[int]fault{
						first:  e / faultCount,
						second: e % faultCount,
					}
					if len(violations) >= maxViolations {
						return runs, violations
					}
					runs++
					for _, v := range runWithFaults(t, sc, faults, disabled) {
						violations = append(violations, fmt.Sprintf("%s, %v: %s", sc.name, faults, v))
					}
				}
			}
		}
	}
	return runs, violations
}

func runWithFaults(t *testing.T, sc scenario, faults map[int]fault, disabled Mechanism) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		s := newCluster(2, disabled)
		step := -1
		s.table.inject = func() fault {
			step++
			return faults[step]
		}
		if sc.unreachable {
			s.unreachable = func() bool { return true }
		}
		violations = s.run(sc.requests)
	})
	return violations
}

// Guards against a request that runs twice, or runs after it was refused as not run,
// when any two of the first table operations fail.
func TestAtMostOneDispatchUnderFaults(t *testing.T) {
	runs, violations := sweep(t, "", 10)
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%d runs, %d violations", runs, len(violations))
}

// Guards against fault tests that still pass when the mechanism that they cover is
// missing.
func TestMissingMechanismIsDetected(t *testing.T) {
	for _, m := range []Mechanism{ReadBack, NonceCheck, PermanentClaim, WithdrawCheck, DeadlineCheck} {
		t.Run("no "+string(m), func(t *testing.T) {
			runs, violations := sweep(t, m, 50)
			violations = slices.DeleteFunc(violations, func(v string) bool { return !strings.Contains(v, "dispatched") })
			is.New(t).True(len(violations) > 0)
			t.Logf("%d runs, %d violations, first: %s", runs, len(violations), violations[0])
		})
	}
}

// Guards against the same violations in interleavings that the exhaustive runs do not
// reach.
func TestRandomInterleavings(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(2, "")
			s.table.inject = func() fault {
				if random.IntN(3) > 0 {
					return noFault
				}
				return fault(random.IntN(int(faultCount)))
			}
			reachability := rand.New(rand.NewPCG(seed, 1))
			s.unreachable = func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return reachability.IntN(4) == 0
			}
			var requests []simulatedRequest
			for range 6 {
				b := simulatedRequest{
					node: random.IntN(2),
					at:   time.Duration(random.IntN(2000)) * time.Millisecond,
					hold: time.Duration(random.IntN(10)) * time.Millisecond,
				}
				if random.IntN(3) == 0 {
					b.hold = time.Duration(random.IntN(1500)) * time.Millisecond
				}
				if random.IntN(3) == 0 {
					b.withdrawAt = time.Duration(1+random.IntN(500)) * time.Millisecond
				}
				requests = append(requests, b)
			}
			for _, v := range s.run(requests) {
				t.Errorf("seed %d: %s", seed, v)
			}
		})
	}
}
