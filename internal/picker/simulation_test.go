package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// simulation runs pickers against fake endpoints on one goroutine in virtual time,
// so that a seed gives the same figures on every machine.
type simulation struct {
	callers   []*picker.Picker
	endpoints []*fake
	load      float64
	length    time.Duration
	// from is when measuring begins; fault is applied at faultAt.
	from    time.Duration
	faultAt time.Duration
	fault   func(e *fake)

	random *rand.Rand
	begin  time.Time
	// events are in the order of time.
	events    []event
	latencies []time.Duration
	failed    int
}

const (
	meanService = 5 * time.Millisecond
	fakeSlots   = 12
	network     = 200 * time.Microsecond
)

type fake struct {
	busy  int
	queue []func()
	slow  time.Duration
	fails bool
	lies  bool
	// served counts requests that arrived after measuring began.
	served int
}

type event struct {
	at time.Time
	do func()
}

func (s *simulation) after(d time.Duration, do func()) {
	at := time.Now().Add(d)
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(at) })
	s.events = slices.Insert(s.events, i, event{
		at: at,
		do: do,
	})
}

func (s *simulation) exponential() time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(meanService))
}

func (s *simulation) run() {
	s.begin = time.Now()
	for _, p := range s.callers {
		p.SetEndpoints("proofs", endpoints(len(s.endpoints), 1))
	}
	if s.fault != nil {
		s.after(s.faultAt, func() { s.fault(s.endpoints[0]) })
	}
	s.arrivals()
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// arrivals is an open loop: the time of the next call doesn't depend on answers.
func (s *simulation) arrivals() {
	if time.Since(s.begin) > s.length {
		return
	}
	s.call(s.callers[s.random.IntN(len(s.callers))], time.Now(), nil)
	s.after(time.Duration(float64(s.exponential())/(s.load*float64(fakeSlots*len(s.endpoints)))), s.arrivals)
}

func (s *simulation) call(p *picker.Picker, intended time.Time, excluded []string) {
	a, err := p.Pick(picker.Request{
		Service:  "proofs",
		Excluded: excluded,
	})
	if err != nil {
		return
	}
	i, _ := strconv.Atoi(a.Endpoint.ID)
	e := s.endpoints[i]
	if time.Since(s.begin) > s.from {
		e.served++
	}
	s.after(network, func() {
		if e.fails {
			s.failed++
			a.Done(picker.Failed)
			s.call(p, intended, append(excluded, a.Endpoint.ID))
			return
		}
		e.arrive(s, func(l reporter.Load) {
			s.after(network, func() {
				a.Report(l)
				a.Done(picker.Succeeded)
				if intended.Sub(s.begin) > s.from {
					s.latencies = append(s.latencies, time.Since(intended))
				}
			})
		})
	})
}

func (e *fake) arrive(s *simulation, answer func(reporter.Load)) {
	start := func() {
		e.busy++
		s.after(s.exponential()*max(1, e.slow), func() {
			answer(e.report())
			e.busy--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	if e.busy < fakeSlots {
		start()
		return
	}
	e.queue = append(e.queue, start)
}

func (e *fake) report() reporter.Load {
	l := reporter.Load{
		InFlight:    e.busy,
		QueuedShort: len(e.queue),
		Slots:       fakeSlots,
		ServiceTime: meanService,
		Incarnation: 1,
	}
	if e.lies {
		l.InFlight, l.QueuedShort = 0, 0
	}
	return l
}

// figures are the medians and sums of one variant over the seeds.
type figures struct {
	mean, p99 time.Duration
	// failed counts failed attempts, served those at the faulty endpoint.
	failed, served int
}

func (f figures) String() string {
	return fmt.Sprintf("mean %v p99 %v failed %d served %d", f.mean, f.p99, f.failed, f.served)
}

const seeds = 5

func measure(t *testing.T, callers int, base simulation, variant func(p *picker.Picker)) (f figures) {
	t.Helper()
	var mean, p99 []time.Duration
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			s := base
			s.random = rand.New(rand.NewPCG(seed, 1))
			s.endpoints = []*fake{{}, {}, {}, {}}
			for i := range callers {
				p := &picker.Picker{Seed: seed*1000 + uint64(i)}
				variant(p)
				s.callers = append(s.callers, p)
			}
			s.run()
			slices.Sort(s.latencies)
			n := len(s.latencies)
			sum := time.Duration(0)
			for _, l := range s.latencies {
				sum += l
			}
			mean, p99 = append(mean, sum/time.Duration(n)), append(p99, s.latencies[n*99/100])
			f.failed += s.failed
			f.served += s.endpoints[0].served
		})
	}
	f.mean, f.p99 = median(mean), median(p99)
	return f
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2].Round(10 * time.Microsecond)
}
