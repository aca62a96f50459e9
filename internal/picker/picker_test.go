package picker_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

func endpoints(n int, incarnation uint64) []picker.Endpoint {
	list := make([]picker.Endpoint, n)
	for i := range list {
		list[i] = picker.Endpoint{
			ID:               fmt.Sprint(i),
			AvailabilityZone: fmt.Sprint("zone-", i),
			Incarnation:      incarnation,
		}
	}
	return list
}

func requestExcluding(ids ...string) picker.Request {
	return picker.Request{
		Service:  "proofs",
		Excluded: ids,
	}
}

// runAttempts runs n attempts of a millisecond each and counts them by endpoint.
func runAttempts(p *picker.Picker, n int, outcome func(id string) picker.Outcome) map[string]int {
	counts := map[string]int{}
	for range n {
		a, err := p.Pick(requestExcluding())
		if err != nil {
			continue
		}
		counts[a.Endpoint.ID]++
		time.Sleep(time.Millisecond)
		a.Report(reporter.Load{
			Slots:       12,
			ServiceTime: time.Millisecond,
		})
		a.Done(outcome(a.Endpoint.ID))
	}
	return counts
}

func succeed(string) picker.Outcome { return picker.Succeeded }

func failEndpoint0(id string) picker.Outcome {
	if id == "0" {
		return picker.Failed
	}
	return picker.Succeeded
}

// Guards against an ejected endpoint that never returns, and against concurrent trial
// requests or normal traffic before a trial has succeeded.
func TestEjectionAndTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{
			Seed:           1,
			NoErrorPenalty: true,
		}
		p.SetEndpoints("proofs", endpoints(4, 1))
		is.Equal(runAttempts(p, 500, failEndpoint0)["0"], 3)
		time.Sleep(time.Second)
		trial, err := p.Pick(requestExcluding())
		is.NoErr(err)
		is.Equal(trial.Endpoint.ID, "0")
		is.Equal(runAttempts(p, 100, succeed)["0"], 0)
		trial.Done(picker.Failed)
		time.Sleep(1900 * time.Millisecond)
		is.Equal(runAttempts(p, 50, succeed)["0"], 0)
		time.Sleep(100 * time.Millisecond)
		is.True(runAttempts(p, 400, succeed)["0"] > 50)
	})
}

// Guards against a service without usable endpoints after all of them failed at once,
// and against a choice of an excluded endpoint.
func TestAtMostHalfEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{NoErrorPenalty: true}
		p.SetEndpoints("proofs", endpoints(4, 1))
		runAttempts(p, 100, func(string) picker.Outcome { return picker.Failed })
		is.Equal(len(runAttempts(p, 100, succeed)), 2)
		_, err := p.Pick(requestExcluding("0", "1", "2", "3"))
		var refusal *refuser.Refusal
		is.True(errors.As(err, &refusal) && refusal.Reason == refuser.NoEndpoint)
	})
}

// Guards against a new incarnation that gets its full share at once, and against a
// draining endpoint that gets requests again before its incarnation changes.
func TestNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, noSlowStart := range []bool{false, true} {
			p := &picker.Picker{NoSlowStart: noSlowStart}
			p.SetEndpoints("proofs", endpoints(2, 1))
			runAttempts(p, 10, succeed)
			a, err := p.Pick(requestExcluding("1"))
			is.NoErr(err)
			a.Report(reporter.Load{
				Slots:    12,
				Draining: true,
			})
			a.Report(reporter.Load{Slots: 12})
			a.Done(picker.Refused)
			is.Equal(runAttempts(p, 10, succeed)["0"], 0)
			restarted := endpoints(2, 1)
			restarted[0].Incarnation = 2
			p.SetEndpoints("proofs", restarted)
			counts := map[string]int{}
			for range 24 {
				a, err := p.Pick(requestExcluding())
				is.NoErr(err)
				counts[a.Endpoint.ID]++
			}
			is.Equal(counts["0"] < 6, !noSlowStart)
		}
	})
}

// Guards against an endpoint that gets no requests after the end of its draining, because a
// report of it came before its member record or later than the record of its end, and against
// one that gets requests because of a record that is older than the report.
func TestDrainingEndsWithNewerRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		setRecord := func(incarnation uint64, draining bool) {
			list := endpoints(2, 5)
			list[0].RecordIncarnation = incarnation
			list[0].Draining = draining
			p.SetEndpoints("proofs", list)
		}
		drainingReport := func(since uint64) reporter.Load {
			return reporter.Load{
				Slots:         12,
				Incarnation:   5,
				Draining:      true,
				DrainingSince: since,
			}
		}
		used := func() bool {
			a, err := p.Pick(requestExcluding("1"))
			if err != nil {
				return false
			}
			a.Done(picker.Cancelled)
			return true
		}
		pick := func() *picker.Attempt {
			a, err := p.Pick(requestExcluding("1"))
			is.NoErr(err)
			return a
		}

		setRecord(5, false)
		first, late, last := pick(), pick(), pick()
		first.Report(drainingReport(6))
		first.Done(picker.Refused)
		is.True(!used())
		// The record is older than the report.
		setRecord(5, false)
		is.True(!used())
		setRecord(6, true)
		is.True(!used())
		setRecord(7, false)
		is.True(used())
		// The report is older than the record.
		late.Report(drainingReport(6))
		late.Done(picker.Refused)
		is.True(used())
		// The node refuted a suspicion, then the endpoint drains again.
		setRecord(8, false)
		last.Report(drainingReport(9))
		last.Done(picker.Refused)
		is.True(!used())
		setRecord(10, false)
		is.True(used())
		// The node shuts down: no record ends this draining.
		stopping := pick()
		stopping.Report(drainingReport(0))
		stopping.Done(picker.Refused)
		setRecord(11, false)
		is.True(!used())
	})
}

// Guards against reports that are ignored because the membership's incarnation rose
// without a restart, and against a restart that is known from a report only and is
// undone by an older membership.
func TestIncarnationsInReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		report := func(p *picker.Picker, incarnation uint64, draining bool) {
			a, err := p.Pick(requestExcluding("1"))
			is.NoErr(err)
			a.Report(reporter.Load{
				Slots:       12,
				Incarnation: incarnation,
				Draining:    draining,
			})
			a.Done(picker.Succeeded)
		}
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(2, 5))
		report(p, 5, false)
		p.SetEndpoints("proofs", endpoints(2, 6))
		report(p, 5, true)
		_, err := p.Pick(requestExcluding("1"))
		is.True(err != nil)
		p.SetEndpoints("proofs", endpoints(2, 9))
		report(p, 12, false)
		old := endpoints(2, 9)
		old[0].Draining = true
		p.SetEndpoints("proofs", old)
		report(p, 12, false)
	})
}

// Guards against an endpoint that counts as slow because it runs an upload.
func TestLongRequestIsNoSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{}
		p.SetEndpoints("proofs", endpoints(2, 1))
		runAttempts(p, 100, succeed)
		long, err := p.Pick(picker.Request{
			Service: "proofs",
			Long:    true,
		})
		is.NoErr(err)
		time.Sleep(time.Second)
		counts := runAttempts(p, 200, succeed)
		is.True(counts[long.Endpoint.ID] > 50)
		long.Done(picker.Succeeded)
	})
}

// Guards against calls that leave their availability zone without need, and against a
// least load that is the chosen endpoint's own or from a stale report.
func TestDistanceAndLeastLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &picker.Picker{
			Distance: func(zone string) time.Duration {
				return 3 * time.Millisecond * time.Duration(strings.Compare(zone, "zone-0"))
			},
		}
		p.SetEndpoints("proofs", endpoints(2, 1))
		is.Equal(runAttempts(p, 20, succeed)["1"], 0)
		other, err := p.Pick(requestExcluding("0"))
		is.NoErr(err)
		other.Report(reporter.Load{
			InFlight: 7,
			Slots:    12,
		})
		other.Done(picker.Succeeded)
		a, err := p.Pick(requestExcluding())
		is.NoErr(err)
		is.Equal(a.Endpoint.ID, "0")
		is.True(a.LeastLoad > 0.4 && a.LeastLoad < 0.6)
		time.Sleep(time.Second)
		a, err = p.Pick(requestExcluding())
		is.NoErr(err)
		is.True(a.LeastLoad < 0)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 12, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &picker.Picker{}
			p.SetEndpoints("proofs", endpoints(n, 1))
			runAttempts(p, 4*n, succeed)
			b.ReportAllocs()
			for b.Loop() {
				a, _ := p.Pick(requestExcluding())
				a.Done(picker.Succeeded)
			}
		})
	}
}
