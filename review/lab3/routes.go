package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stream is a stream of safe requests on one route.
type stream struct {
	name string
	// later is set if the route was added by a later desired state.
	later bool
	every time.Duration
	path  func(i int) string
}

// window is the time over which the served requests are counted for the record.
const window = 3 * time.Second

// count is the number of requests asked and served.
type count struct {
	asked  int
	served int
	status map[int]int
}

func (c *count) share() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// played is what became of the requests of the streams.
type played struct {
	mu      sync.Mutex
	steady  map[bool]*count
	windows map[string]*count
}

// playStreams sends the requests of the streams to the machines in turn until length has passed. Those that
// are sent after steadyFrom count for the rule.
func playStreams(r *record, targets []*machine, streams []stream, length, steadyFrom time.Duration, deadline time.Duration) *played {
	p := &played{
		steady: map[bool]*count{
			false: {status: make(map[int]int)},
			true:  {status: make(map[int]int)},
		},
		windows: make(map[string]*count),
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for k, s := range streams {
		wg.Go(func() {
			for i := 0; time.Since(begin) < length; i++ {
				m := targets[i%len(targets)]
				id := fmt.Sprintf("%016x", uint64(i*len(streams)+k+1)*0x9e3779b97f4a7c15)
				at := time.Since(begin)
				wg.Go(func() {
					a := m.send(request{
						id:       id,
						method:   http.MethodGet,
						path:     s.path(i),
						deadline: deadline,
					})
					p.add(s, at, at >= steadyFrom, a)
					if i%50 == 0 || a.status != http.StatusOK && i%10 == 0 {
						r.printf("at %.3f s request %s on %s: status %d, reason %q, error %v", at.Seconds(), id, s.name, a.status, a.header.Get("Gentianlever-Refused"), a.err)
					}
				})
				time.Sleep(s.every)
			}
		})
	}
	wg.Wait()
	for at := time.Duration(0); at < length; at += window {
		for _, s := range streams {
			if c := p.windows[windowKey(s, at)]; c != nil {
				r.printf("from %2.0f s, %s: %d asked, %d served, by status %v", at.Seconds(), s.name, c.asked, c.served, c.status)
			}
		}
	}
	return p
}

func windowKey(s stream, at time.Duration) string { return fmt.Sprint(s.name, int(at/window)) }

func (p *played) add(s stream, at time.Duration, steady bool, a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := windowKey(s, at)
	if p.windows[key] == nil {
		p.windows[key] = &count{status: make(map[int]int)}
	}
	counts := []*count{p.windows[key]}
	if steady {
		counts = append(counts, p.steady[s.later])
	}
	for _, c := range counts {
		c.asked++
		c.status[a.status]++
		if a.status == http.StatusOK && a.err == nil {
			c.served++
		}
	}
}

// judgeLaterRoutes checks the rule on routes that were added later.
func (p *played) judgeLaterRoutes(r *record) error {
	first, later := p.steady[false], p.steady[true]
	r.printf("in steady state, first routes: %d asked, %d served; routes added later: %d asked, %d served, by status %v",
		first.asked, first.served, later.asked, later.served, later.status)
	if first.asked < 20 || later.asked < 20 || first.share() < 0.5 {
		return fmt.Errorf("too few requests in steady state")
	}
	if later.share() < first.share()/4 {
		return errBroken
	}
	return nil
}
