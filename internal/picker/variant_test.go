package picker_test

import (
	"testing"
	"time"

	"github.com/gentianlever/gentianlever/internal/picker"
)

func complete(*picker.Picker) {}

// Guards against a mechanism that no longer helps: in each situation the complete
// picker must beat the one without the mechanism. Orderings and counts are asserted.
func TestMechanisms(t *testing.T) {
	slow := func(e *fake) { e.slow = 10 }
	fail := func(e *fake) { e.fails = true }
	// faulty applies a fault to one endpoint after a second and measures from then on.
	faulty := func(length time.Duration, fault func(e *fake)) simulation {
		return simulation{
			load:    0.5,
			length:  time.Second + length,
			from:    time.Second,
			faultAt: time.Second,
			fault:   fault,
		}
	}
	cases := []struct {
		name    string
		callers int
		run     simulation
		with    func(p *picker.Picker)
		without func(p *picker.Picker)
		better  func(with, without figures) bool
	}{
		{
			name:    "age-discount",
			callers: 24,
			run: simulation{
				load:   0.95,
				length: 2 * time.Second,
				from:   500 * time.Millisecond,
			},
			with:    complete,
			without: func(p *picker.Picker) { p.NoAgeDiscount = true },
			better:  func(with, without figures) bool { return with.p99 < without.p99 && with.mean < without.mean },
		},
		{
			name:    "slowdown-detection",
			callers: 4,
			run:     faulty(250*time.Millisecond, slow),
			with:    complete,
			without: func(p *picker.Picker) { p.NoSlowdownDetection = true },
			better:  func(with, without figures) bool { return with.served < without.served && with.p99 < without.p99 },
		},
		{
			name:    "slowdown-detection-stall",
			callers: 4,
			run:     faulty(250*time.Millisecond, func(e *fake) { e.slow = 1000 }),
			with:    complete,
			without: func(p *picker.Picker) { p.NoSlowdownDetection = true },
			better:  func(with, without figures) bool { return with.served < without.served*2/3 },
		},
		{
			name:    "ejection-without-penalty",
			callers: 4,
			run:     faulty(time.Second, fail),
			with:    func(p *picker.Picker) { p.NoErrorPenalty = true },
			without: func(p *picker.Picker) { p.NoErrorPenalty, p.NoEjection = true, true },
			better:  func(with, without figures) bool { return with.failed < without.failed/100 },
		},
		{
			name:    "penalty-and-ejection",
			callers: 4,
			run:     faulty(time.Second, fail),
			with:    complete,
			without: func(p *picker.Picker) { p.NoErrorPenalty, p.NoEjection = true, true },
			better:  func(with, without figures) bool { return with.failed <= 3*4*seeds && with.failed < without.failed/100 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			with := measure(t, c.callers, c.run, c.with)
			without := measure(t, c.callers, c.run, c.without)
			t.Logf("with    %v", with)
			t.Logf("without %v", without)
			if !c.better(with, without) {
				t.Errorf("the mechanism doesn't help: with %v, without %v", with, without)
			}
		})
	}
}

// Guards against a slow endpoint that keeps traffic 250 ms after the change, whether
// it reports its load or claims to be idle.
func TestSlowEndpointLosesTraffic(t *testing.T) {
	run := simulation{
		load:    0.5,
		length:  3 * time.Second,
		from:    1250 * time.Millisecond,
		faultAt: time.Second,
	}
	steady := measure(t, 4, run, complete)
	t.Logf("steady %v", steady)
	for _, lies := range []bool{false, true} {
		run.fault = func(e *fake) { e.slow, e.lies = 10, lies }
		slow := measure(t, 4, run, complete)
		t.Logf("slow, lying %v: %v", lies, slow)
		if slow.p99 > steady.p99*3/2 {
			t.Errorf("p99 is %v with a slow endpoint (lying %v), %v without", slow.p99, lies, steady.p99)
		}
	}
}
