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

func upload(excluded ...string) picker.Request {
	r := excluding(excluded...)
	r.Long = true
	return r
}

// report ends a short attempt at the endpoint that is not excluded with a report.
func report(t *testing.T, p *picker.Picker, l reporter.Load, excluded ...string) {
	t.Helper()
	a, err := p.Pick(excluding(excluded...))
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

// Guards against a long request that queues for full long slots because the rest of
// the endpoint is idle, and against a short one that avoids them for that reason.
func TestLongLoadDecidesForLong(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &picker.Picker{Seed: seed}
			p.SetEndpoints("proofs", endpoints(2, 1))
			report(t, p, longReport(3, 3, 1), "1")
			report(t, p, longReport(8, 0, 0), "0")
			long, err := p.Pick(upload())
			is.NoErr(err)
			is.Equal(long.Endpoint.ID, "1")
			is.True(long.LeastLoad > 1.2) // the other one is full and has one queued
			short, err := p.Pick(excluding())
			is.NoErr(err)
			is.Equal(short.Endpoint.ID, "0")
			short.Done(picker.Cancelled)
			// Short reports are out of date by now, the load of uploads is not.
			time.Sleep(20 * time.Millisecond)
			long, err = p.Pick(upload())
			is.NoErr(err)
			is.Equal(long.Endpoint.ID, "1")
		})
	}
}

// Guards against own long requests that are not counted, and against a least load of
// -1 that would keep the first uploads of a node at full endpoints.
func TestOwnLongRequests(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := &picker.Picker{Seed: seed}
			p.SetEndpoints("proofs", endpoints(3, 1))
			held := map[string]int{}
			for i := range 9 {
				a, err := p.Pick(upload())
				is.NoErr(err)
				held[a.Endpoint.ID]++
				is.Equal(fmt.Sprintf("%.2f", a.LeastLoad), fmt.Sprintf("%.2f", float64((i+1)/3)/3))
			}
			is.Equal(held, map[string]int{"0": 3, "1": 3, "2": 3})
		})
	}
}

// Guards against a refused long request that is subtracted from the load of others,
// which would make a full endpoint look free.
func TestRefusedLongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(3, 1))
		_, err := p.Pick(upload("1", "2"))
		is.NoErr(err)
		refused, err := p.Pick(upload("1", "2"))
		is.NoErr(err)
		is.Equal(refused.LeastLoad, -1.0) // no other one is left
		refused.Report(longReport(3, 3, 0))
		refused.Done(picker.Refused)
		a, err := p.Pick(upload("1"))
		is.NoErr(err)
		is.Equal(a.LeastLoad, 1.0)
	})
}

// Guards against reports of an older version that are taken for free long slots.
func TestReportWithoutLongSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(2, 1))
		old := longReport(4, 0, 4)
		old.LongSlots = 0
		report(t, p, old, "1")
		report(t, p, longReport(8, 1, 0), "0")
		a, err := p.Pick(upload())
		is.NoErr(err)
		is.Equal(a.Endpoint.ID, "1")
	})
}

// Guards against uploads whose latency or refusal changes the choice for short requests.
func TestLongLatencyLeavesShortEstimate(t *testing.T) {
	for seed := range uint64(seeds) {
		var orders [2][]string
		for i, uploads := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				p := &picker.Picker{Seed: seed}
				p.SetEndpoints("proofs", endpoints(2, 1))
				shares(p, 100, succeed)
				for range 50 {
					if uploads {
						// One endpoint is left, so that no random number is drawn.
						a, err := p.Pick(upload("1"))
						is.New(t).NoErr(err)
						time.Sleep(10 * time.Millisecond)
						a.Done(picker.Refused)
						a, err = p.Pick(upload("1"))
						is.New(t).NoErr(err)
						time.Sleep(90 * time.Millisecond)
						a.Done(picker.Succeeded)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
				for range 100 {
					shares(p, 1, func(id string) picker.Outcome {
						orders[i] = append(orders[i], id)
						return picker.Succeeded
					})
				}
			})
		}
		is.New(t).True(slices.Equal(orders[0], orders[1]))
	}
}
