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

// simulation runs pickers against simulated endpoints on one goroutine in virtual time,
// so that a seed gives the same results on every machine.
type simulation struct {
	callers   []*picker.Picker
	endpoints []*fakeEndpoint
	load      float64
	length    time.Duration
	// measureFrom is when measuring begins. fault is applied to the first endpoint at
	// faultAt.
	measureFrom time.Duration
	faultAt     time.Duration
	fault       func(e *fakeEndpoint)

	random *rand.Rand
	begin  time.Time
	// events are sorted by time.
	events    []event
	latencies []time.Duration
	failed    int
}

const (
	meanServiceTime  = 5 * time.Millisecond
	slotsPerEndpoint = 12
	networkDelay     = 200 * time.Microsecond
)

type fakeEndpoint struct {
	busy        int
	queue       []func()
	slowFactor  time.Duration
	failing     bool
	reportsIdle bool
	// served counts the requests that arrived after measuring began.
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
	return time.Duration(s.random.ExpFloat64() * float64(meanServiceTime))
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

// arrivals generates calls in an open loop: the time of the next call doesn't depend on
// responses.
func (s *simulation) arrivals() {
	if time.Since(s.begin) > s.length {
		return
	}
	s.call(s.callers[s.random.IntN(len(s.callers))], time.Now(), nil)
	s.after(time.Duration(float64(s.exponential())/(s.load*float64(slotsPerEndpoint*len(s.endpoints)))), s.arrivals)
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
	if time.Since(s.begin) > s.measureFrom {
		e.served++
	}
	s.after(networkDelay, func() {
		if e.failing {
			s.failed++
			a.Done(picker.Failed)
			s.call(p, intended, append(excluded, a.Endpoint.ID))
			return
		}
		e.arrive(s, func(l reporter.Load) {
			s.after(networkDelay, func() {
				a.Report(l)
				a.Done(picker.Succeeded)
				if intended.Sub(s.begin) > s.measureFrom {
					s.latencies = append(s.latencies, time.Since(intended))
				}
			})
		})
	})
}

func (e *fakeEndpoint) arrive(s *simulation, respond func(reporter.Load)) {
	start := func() {
		e.busy++
		s.after(s.exponential()*max(1, e.slowFactor), func() {
			respond(e.report())
			e.busy--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	if e.busy < slotsPerEndpoint {
		start()
		return
	}
	e.queue = append(e.queue, start)
}

func (e *fakeEndpoint) report() reporter.Load {
	l := reporter.Load{
		InFlight:    e.busy,
		QueuedShort: len(e.queue),
		Slots:       slotsPerEndpoint,
		ServiceTime: meanServiceTime,
		Incarnation: 1,
	}
	if e.reportsIdle {
		l.InFlight, l.QueuedShort = 0, 0
	}
	return l
}

// results are the medians and sums of one variant over the seeds.
type results struct {
	mean, p99 time.Duration
	// failed counts failed attempts, served the requests at the faulty endpoint.
	failed, served int
}

func (f results) String() string {
	return fmt.Sprintf("mean %v p99 %v failed %d served %d", f.mean, f.p99, f.failed, f.served)
}

const seeds = 5

func measure(t *testing.T, callers int, base simulation, variant func(p *picker.Picker)) (f results) {
	t.Helper()
	var mean, p99 []time.Duration
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			s := base
			s.random = rand.New(rand.NewPCG(seed, 1))
			s.endpoints = []*fakeEndpoint{{}, {}, {}, {}}
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
