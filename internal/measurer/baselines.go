package measurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// baseline is a policy whose servers queue first in, first out, and never refuse.
// choose returns the server for a request; answered is told of its end.
type baseline struct {
	*cluster
	mu       sync.Mutex
	slots    []chan struct{}
	choose   func(r *request) int
	answered func(r *request, server int)
}

func (b *baseline) open(c *cluster) {
	b.cluster = c
	for range c.servers {
		b.slots = append(b.slots, make(chan struct{}, c.Slots))
	}
}

// lock runs f while the policy's state is locked.
func (b *baseline) lock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *baseline) serve(ctx context.Context, r *request) (tally, bool) {
	var index int
	b.lock(func() { index = b.choose(r) })
	defer b.lock(func() { b.answered(r, index) })
	sv := b.servers[index]
	t := tally{tries: 1}
	f, faulty := sv.fault()
	if faulty && f.Unreachable {
		t.errors++
		return t, false
	}
	b.travel(ctx, r.node, sv)
	select {
	case b.slots[index] <- struct{}{}:
	case <-ctx.Done():
		return t, false
	}
	defer func() { <-b.slots[index] }()
	t.runs++
	if faulty && f.FailFast {
		t.errors++
		return t, false
	}
	ok := sv.run(ctx, b.workAt(r, index))
	return t, ok && b.travel(ctx, r.node, sv)
}

func nothing(*request, int) {}

// Random sends each request to a random server.
var Random = Policy{
	Name: "random",
	Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
		b := &baseline{answered: nothing}
		b.open(c)
		b.choose = func(r *request) int { return int(mix(c.Seed, r.id) % uint64(c.Servers)) }
		return b.serve
	},
}

// RoundRobin lets each node send to one server after the other.
var RoundRobin = Policy{
	Name: "round robin",
	Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
		b := &baseline{answered: nothing}
		b.open(c)
		next := make([]int, c.Nodes)
		for n := range next {
			next[n] = n
		}
		b.choose = func(r *request) int {
			next[r.node]++
			return next[r.node] % c.Servers
		}
		return b.serve
	},
}

// LeastOutstanding lets each node send to the server with the fewest of the node's
// own outstanding requests.
var LeastOutstanding = Policy{
	Name: "least outstanding",
	Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
		b := &baseline{}
		b.open(c)
		own := make([][]int, c.Nodes)
		for n := range own {
			own[n] = make([]int, c.Servers)
		}
		b.choose = func(r *request) int {
			index := least(own[r.node], int(mix(c.Seed, r.id)%uint64(c.Servers)))
			own[r.node][index]++
			return index
		}
		b.answered = func(r *request, server int) { own[r.node][server]-- }
		return b.serve
	},
}

// reportInterval is the age that reports of load reach in the baseline of delayed reports.
const reportInterval = 100 * time.Millisecond

// DelayedReports takes the better of two random servers by reports of their load
// that are renewed every 100 ms.
var DelayedReports = Policy{
	Name: "two choices, reports 100 ms old",
	Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
		b := &baseline{}
		b.open(c)
		load := make([]int, c.Servers)
		reported := make([]int, c.Servers)
		var at time.Time
		b.choose = func(r *request) int {
			if time.Since(at) >= reportInterval {
				copy(reported, load)
				at = time.Now()
			}
			first := int(mix(c.Seed, r.id) % uint64(c.Servers))
			index := int(mix(c.Seed+1, r.id) % uint64(c.Servers))
			if reported[first] < reported[index] {
				index = first
			}
			load[index]++
			return index
		}
		b.answered = func(_ *request, server int) { load[server]-- }
		return b.serve
	},
}

// Limit is one queue over all slots with perfect knowledge of which are free. It
// does not hedge and does not know a server's speed.
var Limit = Policy{
	Name: "limit: one queue, perfect knowledge",
	Open: func(c *cluster) func(context.Context, *request) (tally, bool) {
		free := make(chan *server, c.Servers*c.Slots)
		order := rand.New(rand.NewPCG(c.Seed, 0)).Perm(c.Servers * c.Slots)
		for _, i := range order {
			free <- c.servers[i%c.Servers]
		}
		return func(ctx context.Context, r *request) (tally, bool) {
			sleep(ctx, c.Distance)
			t := tally{tries: 1}
			var sv *server
			select {
			case sv = <-free:
			case <-ctx.Done():
				return t, false
			}
			t.runs++
			ok := sv.run(ctx, c.workAt(r, sv.index))
			free <- sv
			return t, ok && sleep(ctx, c.Distance)
		}
	},
}

// least returns the index of the least value, searching from an offset so that
// equal values are not always decided alike.
func least(values []int, offset int) int {
	best := offset
	for i := range values {
		j := (offset + i) % len(values)
		if values[j] < values[best] {
			best = j
		}
	}
	return best
}

// mix returns well-distributed bits of a seed and an identifier.
func mix(seed, id uint64) uint64 {
	return rand.NewPCG(seed, id).Uint64()
}
