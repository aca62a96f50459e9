package picker_test

import (
	"testing"
	"time"

	"github.com/gentianlever/gentianlever/internal/picker"
)

func allMechanisms(*picker.Picker) {}

// Guards against a mechanism that no longer helps: in each scenario the complete picker
// must do better than the one without the mechanism. Only orderings and counts are
// asserted.
func TestMechanisms(t *testing.T) {
	slow := func(e *fakeEndpoint) { e.slowFactor = 10 }
	fail := func(e *fakeEndpoint) { e.failing = true }
	// faulty applies a fault to one endpoint after one second and measures from then on.
	faulty := func(length time.Duration, fault func(e *fakeEndpoint)) simulation {
		return simulation{
			load:        0.5,
			length:      time.Second + length,
			measureFrom: time.Second,
			faultAt:     time.Second,
			fault:       fault,
		}
	}
	cases := []struct {
		name    string
		callers int
		run     simulation
		with    func(p *picker.Picker)
		without func(p *picker.Picker)
		better  func(with, without results) bool
	}{
		{
			name:    "age-discount",
			callers: 24,
			run: simulation{
				load:        0.95,
				length:      2 * time.Second,
				measureFrom: 500 * time.Millisecond,
			},
			with:    allMechanisms,
			without: func(p *picker.Picker) { p.NoReportDecay = true },
			better:  func(with, without results) bool { return with.p99 < without.p99 && with.mean < without.mean },
		},
		{
			name:    "slowdown-detection",
			callers: 4,
			run:     faulty(250*time.Millisecond, slow),
			with:    allMechanisms,
			without: func(p *picker.Picker) { p.NoSlowdownDetection = true },
			better:  func(with, without results) bool { return with.served < without.served && with.p99 < without.p99 },
		},
		{
			name:    "slowdown-detection-stall",
			callers: 4,
			run:     faulty(250*time.Millisecond, func(e *fakeEndpoint) { e.slowFactor = 1000 }),
			with:    allMechanisms,
			without: func(p *picker.Picker) { p.NoSlowdownDetection = true },
			better:  func(with, without results) bool { return with.served < without.served*2/3 },
		},
		{
			name:    "ejection-without-penalty",
			callers: 4,
			run:     faulty(time.Second, fail),
			with:    func(p *picker.Picker) { p.NoErrorPenalty = true },
			without: func(p *picker.Picker) { p.NoErrorPenalty, p.NoEjection = true, true },
			better:  func(with, without results) bool { return with.failed < without.failed/100 },
		},
		{
			name:    "penalty-and-ejection",
			callers: 4,
			run:     faulty(time.Second, fail),
			with:    allMechanisms,
			without: func(p *picker.Picker) { p.NoErrorPenalty, p.NoEjection = true, true },
			better:  func(with, without results) bool { return with.failed <= 3*4*seeds && with.failed < without.failed/100 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			with := measure(t, c.callers, c.run, c.with)
			without := measure(t, c.callers, c.run, c.without)
			t.Logf("with    %v", with)
			t.Logf("without %v", without)
			if !c.better(with, without) {
				t.Errorf("results are not better: with the mechanism %v, without it %v", with, without)
			}
		})
	}
}

// Guards against a slow endpoint that still gets traffic 250 ms after it became slow,
// whether it reports its load or reports that it is idle.
func TestSlowEndpointLosesTraffic(t *testing.T) {
	run := simulation{
		load:        0.5,
		length:      3 * time.Second,
		measureFrom: 1250 * time.Millisecond,
		faultAt:     time.Second,
	}
	steady := measure(t, 4, run, allMechanisms)
	t.Logf("steady %v", steady)
	for _, reportsIdle := range []bool{false, true} {
		run.fault = func(e *fakeEndpoint) { e.slowFactor, e.reportsIdle = 10, reportsIdle }
		slow := measure(t, 4, run, allMechanisms)
		t.Logf("slow endpoint, reports idle %v: %v", reportsIdle, slow)
		if slow.p99 > steady.p99*3/2 {
			t.Errorf("p99 is %v with a slow endpoint (reports idle: %v), %v without", slow.p99, reportsIdle, steady.p99)
		}
	}
}
