package retrier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/hedger"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

func refusal(reason refuser.Reason) error {
	return &refuser.Refusal{Reason: reason}
}

func beginCall(r *Retrier, repeatable bool) *Call {
	c := &Call{
		Service:    "proofs",
		Repeatable: repeatable,
		Deadline:   time.Now().Add(time.Second),
		Depth:      1,
	}
	r.Begin(c)
	return c
}

// callStates are the states of a call that rules.txt and the tests name.
var callStates = map[string]func(c *Call){
	"-":                       func(*Call) {},
	"repeatable":              func(c *Call) { c.Repeatable = true },
	"not-repeatable":          func(c *Call) { c.Repeatable = false },
	"long":                    func(c *Call) { c.Long = true },
	"deadline-passed":         func(c *Call) { c.Deadline = time.Now() },
	"deadline-near":           func(c *Call) { c.Deadline = time.Now().Add(8 * time.Millisecond) },
	"retried-by-another-node": func(c *Call) { c.Retried = true },
	"third-failure":           func(c *Call) { c.retries = maxRetries },
	"third-move":              func(c *Call) { c.moves = maxMoves },
}

// Guards against a request that runs twice without permission and against a retry that
// can't succeed. Each line of the file has one failure and the expected decision.
func TestRules(t *testing.T) {
	data, err := os.ReadFile("../../test/cases/retry/rules/rules.txt")
	is.New(t).NoErr(err)
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n")[1:] {
		f := strings.Fields(line)
		synctest.Test(t, func(t *testing.T) {
			r := &Retrier{}
			for range 100 {
				r.ObserveLatency("proofs", 10*time.Millisecond)
			}
			c := beginCall(r, false)
			callStates[f[2]](c)
			retried, reason := r.Retry(c, &refuser.Refusal{
				Reason: refuser.Reason(f[0]),
				Ran:    refuser.Ran(strings.Trim(f[1], "-")),
			})
			i := slices.IndexFunc(Table, func(row Row) bool { return row.Reason == reason })
			if string(reason) != f[3] || retried != Table[i].Retried {
				t.Errorf("%s: got %s, retried %v", line, reason, retried)
			}
		})
	}
}

// Guards against retries that amplify an overload, against placement moves that use up
// the retry budget, and against a caller with few calls that is never allowed a retry.
func TestBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Retrier{}
		const calls = 10000
		retries, moves, hedges := 0, 0, 0
		for range calls {
			c := beginCall(r, true)
			if r.TakeHedge(c) {
				hedges++
			}
			for r.MayMove(c) {
				retried, reason := r.Retry(c, refusal(refuser.Placement))
				is.True(retried)
				is.Equal(reason, Moved)
				moves++
			}
			for {
				retried, reason := r.Retry(c, refusal(refuser.QueueFull))
				if !retried {
					is.True(reason == BudgetExhausted || reason == AttemptsExhausted)
					break
				}
				retries++
			}
			time.Sleep(time.Millisecond)
		}
		t.Logf("per call: retries %.3f moves %.3f hedges %.3f", float64(retries)/calls, float64(moves)/calls, float64(hedges)/calls)
		is.True(retries+moves+hedges < 3*calls/10+2*initialTokens*3)
		is.True(min(retries, moves, hedges) >= calls/10-1)
		time.Sleep(20 * time.Second)
		c := beginCall(r, false)
		retried, _ := r.Retry(c, refusal(refuser.QueueFull))
		is.True(retried)
	})
}

// Guards against the uploads of a node that has just started queueing at full endpoints
// because its first two moves have used up the budget, and against a later rate of moves
// as high as at the start.
func TestFirstLongCallsMayMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Retrier{}
		const calls = 10000
		moves := 0
		for i := range calls {
			c := &Call{
				Service:  "artwork",
				Long:     true,
				Deadline: time.Now().Add(time.Minute),
				Depth:    1,
			}
			r.Begin(c)
			is.True(i >= 9 || r.MayMove(c)) // the first long calls may move, because there is no load data about other nodes' uploads
			for r.MayMove(c) {
				_, reason := r.Retry(c, refusal(refuser.Placement))
				is.Equal(reason, Moved)
				moves++
			}
			time.Sleep(time.Millisecond)
		}
		is.True(moves <= 2*calls/10+bucketSize+2) // moves of long calls also get the share of hedges
		c := beginCall(r, true)
		is.True(r.MayMove(c)) // moves of short calls have a separate budget
	})
}

// runChain runs a call through services that call each other and counts the executions
// at the last endpoint. Each response is lost with probability p.
func runChain(r []*Retrier, random *rand.Rand, p float64, depth int, retried bool, executions *int) (ok, decided bool) {
	c := &Call{
		Service:    fmt.Sprint("service-", depth),
		Repeatable: true,
		Deadline:   time.Now().Add(time.Second),
		Depth:      depth,
		Retried:    retried,
	}
	r[depth-1].Begin(c)
	for {
		below, decidedBelow := true, false
		if depth == len(r) {
			*executions++
		} else {
			below, decidedBelow = runChain(r, random, p, depth+1, c.Retried || c.retries > 0, executions)
		}
		if below && random.Float64() >= p {
			return true, false
		}
		c.Retried = c.Retried || decidedBelow
		if again, _ := r[depth-1].Retry(c, refusal(refuser.NodeFailed)); !again {
			return false, true
		}
	}
}

// Guards against retries at several depths that multiply: a chain of 9 calls must cause
// less than 1.1 executions per call at its end, whatever share of the responses is lost.
func TestAmplificationOfChain(t *testing.T) {
	const depth, calls = 9, 5000
	run := func(seed uint64, p float64, noBudget bool) (amplification float64) {
		synctest.Test(t, func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			r := make([]*Retrier, depth)
			for i := range r {
				r[i] = &Retrier{NoBudget: noBudget}
			}
			executions := 0
			for range calls {
				runChain(r, random, p, 1, false, &executions)
				time.Sleep(time.Millisecond)
			}
			amplification = float64(executions) / calls
		})
		return amplification
	}
	for _, p := range []float64{0.02, 0.1, 0.5, 1} {
		highest := 0.0
		for seed := range uint64(5) {
			highest = max(highest, run(seed, p, false))
		}
		unlimited := run(0, p, true)
		t.Logf("%.0f%% lost: %.3f executions per call, %.3f without budget", 100*p, highest, unlimited)
		if highest >= 1.1 {
			t.Errorf("%.0f%% lost: %.3f executions per call", 100*p, highest)
		}
	}
}

// Guards against hedges of requests that must not run twice, and against a hedge delay
// that is far from the 95th percentile or doesn't follow a change of the latency.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(3, 3))
		r := &Retrier{}
		for _, mean := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
			for range 3 * hedger.WindowSize {
				r.ObserveLatency("proofs", time.Duration(random.ExpFloat64()*float64(mean)))
			}
			delay, ok := r.HedgeAfter(beginCall(r, true))
			is.True(ok)
			exact := -math.Log(0.05) * float64(mean)
			t.Logf("hedge delay %v, exact %v", delay, time.Duration(exact))
			is.True(math.Abs(float64(delay)/exact-1) < 0.25)
		}
		for _, name := range []string{"not-repeatable", "long", "retried-by-another-node"} {
			c := beginCall(r, true)
			callStates[name](c)
			_, ok := r.HedgeAfter(c)
			is.True(!ok && !r.TakeHedge(c))
		}
		r.NoHedging = true
		_, ok := r.HedgeAfter(beginCall(r, true))
		is.True(!ok && !r.TakeHedge(beginCall(r, true)))
	})
}

// Guards against hedges throughout a peak although none of them finds a free slot.
func TestHedgesAtPeak(t *testing.T) {
	hedges := 0
	r := &Retrier{}
	for range 1000 {
		if r.TakeHedge(beginCall(r, true)) {
			hedges++
			r.RecordHedge("proofs", false)
		}
	}
	t.Logf("%d hedges in 1000 calls", hedges)
	is.New(t).True(hedges < 40)
}

// Guards against memory that grows with the number of services that were ever called.
func TestServicesAreBounded(t *testing.T) {
	is := is.New(t)
	r := &Retrier{}
	for i := range 2 * maxServices {
		r.ObserveLatency(fmt.Sprint(i), time.Millisecond)
	}
	is.Equal(len(r.services), maxServices)
}

func BenchmarkBeginRetryObserve(b *testing.B) {
	r := &Retrier{}
	c := beginCall(r, true)
	err := refusal(refuser.QueueFull)
	b.ReportAllocs()
	for b.Loop() {
		r.Begin(c)
		c.retries = 0
		r.Retry(c, err)
		r.HedgeAfter(c)
		r.ObserveLatency("proofs", 5*time.Millisecond)
	}
}
