package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// A day of failures must not make nodes together repeat more than the budget: in any
// window of 10 s, sliding, 0.2 per request and 58 besides, over 11 nodes, and less, since
// the calls that repeated runs make again count too.
func TestSumOfAllNodesStaysWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const nodes = 11
	budgets := make([]*Budgeter, nodes)
	for i := range budgets {
		budgets[i] = &Budgeter{
			Ratio:  0.2,
			Slack:  58,
			Window: 10 * time.Second,
			Nodes:  func() int { return nodes },
		}
	}
	var requests, repeats []int // by 100 ms
	for ms := 0; ms < 40000; ms += 100 {
		r, p := 0, 0
		// Demand stops and comes back, as after an outage.
		if ms%20000 < 12000 {
			for i, b := range budgets {
				if (ms/100+i)%2 == 0 {
					b.Request("proofs", at(ms))
					r++
				}
				for b.Take("proofs", true, at(ms)) {
					p++
				}
			}
		}
		requests, repeats = append(requests, r), append(repeats, p)
	}
	for end := 200; end <= len(repeats); end++ {
		sent, before, again := total(requests[end-100:end]), total(requests[end-200:end-100]), total(repeats[end-100:end])
		is.True(float64(again) <= 0.2*float64(max(sent, before))+58)
	}
	is.True(total(repeats) > 0)
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Changed settings hold at once.
func TestResize(t *testing.T) {
	is := is.New(t)
	b := &Budgeter{
		Slack:  100,
		Window: time.Second,
		Nodes:  func() int { return 1 },
	}
	is.True(b.Take("proofs", true, at(0)))
	b.Resize(0, 0, time.Second)
	is.True(!b.Take("proofs", true, at(0)))
}

// Calls of running work are the last to go without a repeat, because each saves a run; what
// a repeated run calls again counts against the budget.
func TestCallsOfRunningWorkComeFirst(t *testing.T) {
	is := is.New(t)
	b := &Budgeter{
		Ratio:  0.2,
		Window: 10 * time.Second,
		Nodes:  func() int { return 1 },
	}
	for range 100 {
		b.Request("proofs", at(0))
	}
	callers, nested := 0, 0
	for b.Take("proofs", false, at(0)) {
		callers++
	}
	for b.Take("proofs", true, at(0)) {
		nested++
	}
	is.Equal(callers, 9) // 0.2 * 0.75 * 0.6 of 100
	is.Equal(nested, 6)  // up to 15
	b.Repeat("proofs", at(0))
	is.True(!b.Take("proofs", true, at(0)))
}
