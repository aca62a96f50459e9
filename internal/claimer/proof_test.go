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

// cluster is a set of nodes over one table that checks every request.
type cluster struct {
	table *fakeTable
	nodes []*Claimer
	// unreachable decides whether a question to another node fails; nil never does.
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
			Objects:     s.table.store(),
			Node:        fmt.Sprint(i),
			Incarnation: 1,
			Ask:         s.ask,
			Disabled:    disabled,
		})
	}
	return s
}

func (s *cluster) ask(_ context.Context, claimant, service, key string) (Status, *Answer, error) {
	time.Sleep(latency)
	if s.unreachable != nil && s.unreachable() {
		return Status{}, nil, errInjected
	}
	for _, n := range s.nodes {
		if n.Node == claimant {
			status, answer := n.Status(service, key)
			return status, answer, nil
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

// sending is how one request behaves.
type sending struct {
	node int
	// at is when it starts and hold how long it waits between Claim and Dispatch.
	at, hold time.Duration
	// withdrawAt is when the claim is withdrawn after Claim; zero never.
	withdrawAt time.Duration
}

func on(node int) sending { return sending{node: node} }

func (b sending) after(d time.Duration) sending { b.at = d; return b }

func (b sending) holding(d time.Duration) sending { b.hold = d; return b }

func (b sending) withdrawn(d time.Duration) sending { b.withdrawAt = d; return b }

// send runs one request and checks it. It returns the answer, or the refusal.
func (s *cluster) send(b sending) (*Answer, error) {
	time.Sleep(b.at)
	r := request()
	cl, answer, err := s.nodes[b.node].Claim(context.Background(), r)
	if cl == nil {
		return answer, err
	}
	saidNotRun := false
	if b.withdrawAt > 0 {
		time.AfterFunc(b.withdrawAt, func() {
			if cl.Withdraw(context.Background()) == nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				saidNotRun = true
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
	a := Answer{
		Status: 200,
		Body:   []byte("done"),
	}
	cl.Finish(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if saidNotRun {
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

// play sends all requests, ends the faults and checks that a last request on each
// node is answered. It returns the violations.
func (s *cluster) play(sendings []sending) []string {
	var wg sync.WaitGroup
	for _, b := range sendings {
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
		if a, err := s.send(on(i)); a == nil {
			s.violation("not answered after the faults: %v", err)
		}
		if err := n.Flush(context.Background()); err != nil {
			s.violation("flush: %v", err)
		}
	}
	return s.violations
}

// scenario is the part of a systematic run besides the faults of the table.
type scenario struct {
	name        string
	unreachable bool
	sendings    []sending
}

var scenarios = []scenario{
	{
		name:     "two nodes insert at once",
		sendings: []sending{on(0), on(1)},
	},
	{
		name:     "the second arrives while the first runs, and again on the first node",
		sendings: []sending{on(0), on(1).after(50 * time.Millisecond), on(0).after(60 * time.Millisecond)},
	},
	{
		name:        "the nodes cannot reach each other",
		unreachable: true,
		sendings:    []sending{on(0).holding(300 * time.Millisecond), on(1).after(50 * time.Millisecond)},
	},
	{
		name:     "the first holder pauses beyond its deadline",
		sendings: []sending{on(0).holding(2 * timeout), on(1).after(800 * time.Millisecond)},
	},
	{
		name:     "the first is withdrawn while another waits",
		sendings: []sending{on(0).holding(100 * time.Millisecond).withdrawn(90 * time.Millisecond), on(1).after(20 * time.Millisecond)},
	},
	{
		name:     "the withdrawal comes after the dispatch",
		sendings: []sending{on(0).withdrawn(50 * time.Millisecond), on(1).after(20 * time.Millisecond)},
	},
}

// Operations up to this number get each fault, alone and in pairs.
const faultySteps = 6

// sweep plays every scenario with each pair of faults at each pair of steps until
// enough violations were seen. It returns the number of runs and the violations.
func sweep(t *testing.T, disabled Mechanism, enough int) (runs int, violations []string) {
	for _, sc := range scenarios {
		for first := range faultySteps {
			for second := first + 1; second <= faultySteps; second++ {
				for e := range effects * effects {
					faults := map[int]effect{
						first:  e / effects,
						second: e % effects,
					}
					if len(violations) >= enough {
						return runs, violations
					}
					runs++
					for _, v := range playFaults(t, sc, faults, disabled) {
						violations = append(violations, fmt.Sprintf("%s, %v: %s", sc.name, faults, v))
					}
				}
			}
		}
	}
	return runs, violations
}

func playFaults(t *testing.T, sc scenario, faults map[int]effect, disabled Mechanism) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		s := newCluster(2, disabled)
		step := -1
		s.table.inject = func() effect {
			step++
			return faults[step]
		}
		if sc.unreachable {
			s.unreachable = func() bool { return true }
		}
		violations = s.play(sc.sendings)
	})
	return violations
}

// Guards against a second run, or a run of a request refused as not run, after any
// pair of faults at any pair of the first table operations.
func TestAtMostOneDispatchUnderFaults(t *testing.T) {
	runs, violations := sweep(t, "", 10)
	for _, v := range violations {
		t.Error(v)
	}
	t.Logf("%d runs, %d violations", runs, len(violations))
}

// Guards against a check that passes without the mechanism that it proves.
func TestTheCheckDetectsAMissingMechanism(t *testing.T) {
	for _, m := range []Mechanism{ReadBack, NonceCheck, PermanentClaim, WithdrawCheck, DeadlineCheck} {
		t.Run("no "+string(m), func(t *testing.T) {
			runs, violations := sweep(t, m, 50)
			violations = slices.DeleteFunc(violations, func(v string) bool { return !strings.Contains(v, "dispatched") })
			is.New(t).True(len(violations) > 0)
			t.Logf("%d runs, %d violations, first: %s", runs, len(violations), violations[0])
		})
	}
}

// Guards against interleavings that the systematic runs do not reach.
func TestRandomInterleavings(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newCluster(2, "")
			s.table.inject = func() effect {
				if random.IntN(3) > 0 {
					return none
				}
				return effect(random.IntN(int(effects)))
			}
			asked := rand.New(rand.NewPCG(seed, 1))
			s.unreachable = func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return asked.IntN(4) == 0
			}
			var sendings []sending
			for range 6 {
				b := sending{
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
				sendings = append(sendings, b)
			}
			for _, v := range s.play(sendings) {
				t.Errorf("seed %d: %s", seed, v)
			}
		})
	}
}
