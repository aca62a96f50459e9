package picker_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

func longRequest(excluded ...string) picker.Request {
	r := requestExcluding(excluded...)
	r.Long = true
	return r
}

// report runs a short attempt at the only endpoint that is not excluded, with a load
// report in the response.
func report(t *testing.T, p *picker.Picker, l reporter.Load, excluded ...string) {
	t.Helper()
	a, err := p.Pick(requestExcluding(excluded...))
	is.New(t).NoErr(err)
	a.Report(l)
	a.Done(picker.Succeeded)
}

func longReport(inFlight, longInFlight, queuedLong int) reporter.Load {
	return reporter.Load{
		InFlight:     inFlight,
		QueuedLong:   queuedLong,
		Slots:        12,
		LongInFlight: longInFlight,
		LongSlots:    3,
		ServiceTime:  time.Millisecond,
	}
}

// Guards against a long request that queues behind full long slots because the
// endpoint's other slots are idle, and against a short request that avoids an endpoint
// because its long slots are full.
func TestLongRequestsFollowLongLoad(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &picker.Picker{Seed: seed}
			p.SetEndpoints("proofs", endpoints(2, 1))
			report(t, p, longReport(3, 3, 1), "1")
			report(t, p, longReport(8, 0, 0), "0")
			long, err := p.Pick(longRequest())
			is.NoErr(err)
			is.Equal(long.Endpoint.ID, "1")
			is.True(long.LeastLoad > 1.2) // the long slots of the other endpoint are full and one long request is queued
			short, err := p.Pick(requestExcluding())
			is.NoErr(err)
			is.Equal(short.Endpoint.ID, "0")
			short.Done(picker.Cancelled)
			// The reports are now too old for short requests, but not for long ones.
			time.Sleep(20 * time.Millisecond)
			long, err = p.Pick(longRequest())
			is.NoErr(err)
			is.Equal(long.Endpoint.ID, "1")
		})
	}
}

// Guards against long requests of this node that are not counted, and against a least
// load of -1 before the first report, which would keep the first uploads of a node at
// full endpoints.
func TestLocalLongRequestsAreCounted(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &picker.Picker{Seed: seed}
			p.SetEndpoints("proofs", endpoints(3, 1))
			counts := map[string]int{}
			for i := range 9 {
				a, err := p.Pick(longRequest())
				is.NoErr(err)
				counts[a.Endpoint.ID]++
				is.Equal(fmt.Sprintf("%.2f", a.LeastLoad), fmt.Sprintf("%.2f", float64((i+1)/3)/3))
			}
			is.Equal(counts, map[string]int{"0": 3, "1": 3, "2": 3})
		})
	}
}

// Guards against a refused long request that is subtracted from the load of other nodes,
// which makes a full endpoint look free.
func TestRefusedLongRequestKeepsRemoteLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(3, 1))
		_, err := p.Pick(longRequest("1", "2"))
		is.NoErr(err)
		refused, err := p.Pick(longRequest("1", "2"))
		is.NoErr(err)
		is.Equal(refused.LeastLoad, -1.0) // all other endpoints are excluded
		refused.Report(longReport(3, 3, 0))
		refused.Done(picker.Refused)
		a, err := p.Pick(longRequest("1"))
		is.NoErr(err)
		is.Equal(a.LeastLoad, 1.0)
	})
}

// Guards against a report of an older version, which has no long slots, being read as
// free long slots.
func TestReportWithoutLongSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(2, 1))
		old := longReport(4, 0, 4)
		old.LongSlots = 0
		report(t, p, old, "1")
		report(t, p, longReport(8, 1, 0), "0")
		a, err := p.Pick(longRequest())
		is.NoErr(err)
		is.Equal(a.Endpoint.ID, "1")
	})
}

// Guards against uploads whose latency or refusal affects the choice of endpoints for
// short requests.
func TestLongRequestsDoNotAffectShortOnes(t *testing.T) {
	for seed := range uint64(seeds) {
		var orders [2][]string
		for i, uploads := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				p := &picker.Picker{Seed: seed}
				p.SetEndpoints("proofs", endpoints(2, 1))
				runAttempts(p, 100, succeed)
				for range 50 {
					if uploads {
						// Only one endpoint is eligible, so no random number is drawn.
						a, err := p.Pick(longRequest("1"))
						is.New(t).NoErr(err)
						time.Sleep(10 * time.Millisecond)
						a.Done(picker.Refused)
						a, err = p.Pick(longRequest("1"))
						is.New(t).NoErr(err)
						time.Sleep(90 * time.Millisecond)
						a.Done(picker.Succeeded)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
				for range 100 {
					runAttempts(p, 1, func(id string) picker.Outcome {
						orders[i] = append(orders[i], id)
						return picker.Succeeded
					})
				}
			})
		}
		is.New(t).True(slices.Equal(orders[0], orders[1]))
	}
}
