package placer

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

const serviceTime = 100 * time.Millisecond

// fast returns an idle endpoint at normal speed with a recent load report.
func fast(id string) Candidate {
	return Candidate{
		ID: id,
		Load: reporter.Load{
			Slots:    12,
			Slowness: 100,
		},
		Age: 5 * time.Millisecond,
	}
}

func choose(t *testing.T, candidates ...Candidate) string {
	t.Helper()
	i, _ := Choose(candidates, serviceTime, rand.New(rand.NewPCG(1, 1)))
	if i < 0 {
		return ""
	}
	return candidates[i].ID
}

// Guards against the choice of an endpoint that is slow, full, failing, distant or costly to
// send to over one that is not.
func TestChoice(t *testing.T) {
	slow, full, failing, far, costly := fast("slow"), fast("full"), fast("failing"), fast("far"), fast("costly")
	slow.Load.Slowness = 700
	full.Load.InFlight = 12
	failing.Failures = 1
	far.Distance = 20 * time.Millisecond
	costly.TransferTime = 30 * time.Millisecond
	for _, worse := range []Candidate{slow, full, failing, far, costly} {
		t.Run(worse.ID, func(t *testing.T) {
			is.New(t).Equal(choose(t, worse, fast("fast")), "fast")
		})
	}
}

// Guards against preferring an idle endpoint that is seven times as slow to a full one.
func TestFullIsBetterThanSlow(t *testing.T) {
	full, slow := fast("full"), fast("slow")
	full.Load.InFlight = 14
	slow.Load.Slowness = 700
	is.New(t).Equal(choose(t, slow, full), "full")
}

// Guards against an endpoint that gets no requests because of an outdated slowness.
func TestOutdatedSlownessLosesWeight(t *testing.T) {
	is := is.New(t)
	slow := fast("slow")
	slow.Load.Slowness = 700
	recent := EstimateCost(slow, serviceTime)
	slow.Age = 3 * time.Second
	old := EstimateCost(slow, serviceTime)
	is.True(recent.Slowness > 6)
	is.True(old.Slowness < 1.5)
}

// Guards against a new endpoint that gets no requests: when it counted as slower than all with
// load data, it got none until those were full.
func TestEndpointWithoutLoadDataIsTried(t *testing.T) {
	unknown := Candidate{
		ID:  "unknown",
		Age: -1,
	}
	busy := fast("busy")
	busy.Load.InFlight = 6
	is.New(t).Equal(choose(t, busy, unknown), "unknown")
}

// Guards against a thundering herd on an endpoint that just became fast: requests sent since
// the last load report count, and equal endpoints are chosen at random.
func TestNoThunderingHerd(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	candidates := make([]Candidate, 4)
	for i := range candidates {
		candidates[i] = fast(strconv.Itoa(i))
	}
	for range 400 {
		i, _ := Choose(candidates, serviceTime, random)
		candidates[i].Sent++
	}
	for _, c := range candidates {
		is.True(c.Sent > 80 && c.Sent < 120)
	}
}

// Guards against a panic without candidates.
func TestNoCandidates(t *testing.T) {
	is.New(t).Equal(choose(t), "")
}
