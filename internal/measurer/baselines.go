package measurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// baseline is a policy whose servers have FIFO queues and never refuse a request. choose
// returns the index of the server for a request; finished is called when the request ends.
// mu is held during both calls.
type baseline struct {
	*cluster
	mu       sync.Mutex
	slots    []chan struct{}
	choose   func(r *request) int
	finished func(r *request, server int)
}

// attach binds the policy to a cluster and creates the slots of its servers.
func (b *baseline) attach(c *cluster) {
	b.cluster = c
	for range c.servers {
		b.slots = append(b.slots, make(chan struct{}, c.Slots))
	}
}

// withLock calls f while mu is held.
func (b *baseline) withLock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *baseline) serve(ctx context.Context, r *request) (requestCounts, bool) {
	var index int
	b.withLock(func() { index = b.choose(r) })
	defer b.withLock(func() { b.finished(r, index) })
	sv := b.servers[index]
	counts := requestCounts{attempts: 1}
	fault, faulty := sv.activeFault()
	if faulty && fault.Unreachable {
		counts.serverErrors++
		return counts, false
	}
	b.sleepNetworkDelay(ctx, r.node, sv)
	select {
	case b.slots[index] <- struct{}{}:
	case <-ctx.Done():
		return counts, false
	}
	defer func() { <-b.slots[index] }()
	counts.executions++
	if faulty && fault.FailFast {
		counts.serverErrors++
		return counts, false
	}
	ok := sv.execute(ctx, b.serviceTimeAt(r, index))
	return counts, ok && b.sleepNetworkDelay(ctx, r.node, sv)
}

func ignoreFinished(*request, int) {}

// Random sends each request to a server chosen at random.
var Random = Policy{
	Name: "random",
	Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
		b := &baseline{finished: ignoreFinished}
		b.attach(c)
		b.choose = func(r *request) int { return int(hash(c.Seed, r.id) % uint64(c.Servers)) }
		return b.serve
	},
}

// RoundRobin cycles through the servers, separately for each caller's node.
var RoundRobin = Policy{
	Name: "round robin",
	Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
		b := &baseline{finished: ignoreFinished}
		b.attach(c)
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

// LeastOutstanding sends each request to the server with the fewest outstanding requests
// of the same caller's node.
var LeastOutstanding = Policy{
	Name: "least outstanding",
	Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
		b := &baseline{}
		b.attach(c)
		outstanding := make([][]int, c.Nodes)
		for n := range outstanding {
			outstanding[n] = make([]int, c.Servers)
		}
		b.choose = func(r *request) int {
			index := indexOfLeast(outstanding[r.node], int(hash(c.Seed, r.id)%uint64(c.Servers)))
			outstanding[r.node][index]++
			return index
		}
		b.finished = func(r *request, server int) { outstanding[r.node][server]-- }
		return b.serve
	},
}

// reportInterval is the interval between the load reports of TwoChoicesDelayedReports.
const reportInterval = 100 * time.Millisecond

// TwoChoicesDelayedReports chooses two servers at random and sends the request to the one with
// the lower load in the latest report. Load reports are up to 100 ms old.
var TwoChoicesDelayedReports = Policy{
	Name: "two choices, reports 100 ms old",
	Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
		b := &baseline{}
		b.attach(c)
		load := make([]int, c.Servers)
		reported := make([]int, c.Servers)
		var reportedAt time.Time
		b.choose = func(r *request) int {
			if time.Since(reportedAt) >= reportInterval {
				copy(reported, load)
				reportedAt = time.Now()
			}
			first := int(hash(c.Seed, r.id) % uint64(c.Servers))
			index := int(hash(c.Seed+1, r.id) % uint64(c.Servers))
			if reported[first] < reported[index] {
				index = first
			}
			load[index]++
			return index
		}
		b.finished = func(_ *request, server int) { load[server]-- }
		return b.serve
	},
}

// SharedQueue is an ideal policy for comparison: a single queue for the slots of all servers,
// with exact and immediate information about which slots are free. It does not hedge and
// does not take the servers' speed into account.
var SharedQueue = Policy{
	Name: "limit: one queue, perfect knowledge",
	Open: func(c *cluster) func(context.Context, *request) (requestCounts, bool) {
		freeSlots := make(chan *server, c.Servers*c.Slots)
		permutation := rand.New(rand.NewPCG(c.Seed, 0)).Perm(c.Servers * c.Slots)
		for _, i := range permutation {
			freeSlots <- c.servers[i%c.Servers]
		}
		return func(ctx context.Context, r *request) (requestCounts, bool) {
			sleep(ctx, c.NetworkDelay)
			counts := requestCounts{attempts: 1}
			var sv *server
			select {
			case sv = <-freeSlots:
			case <-ctx.Done():
				return counts, false
			}
			counts.executions++
			ok := sv.execute(ctx, c.serviceTimeAt(r, sv.index))
			freeSlots <- sv
			return counts, ok && sleep(ctx, c.NetworkDelay)
		}
	},
}

// indexOfLeast returns the index of the least value. It searches from an offset, so that
// ties are not always resolved in favour of the same index.
func indexOfLeast(values []int, offset int) int {
	best := offset
	for i := range values {
		j := (offset + i) % len(values)
		if values[j] < values[best] {
			best = j
		}
	}
	return best
}

// hash returns a uniformly distributed hash of a seed and an identifier.
func hash(seed, id uint64) uint64 {
	return rand.NewPCG(seed, id).Uint64()
}
