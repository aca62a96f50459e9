package measurer

import (
	"context"
	"sync"
	"time"
)

// request is a simulated request; node is the index of the caller's node that receives it.
type request struct {
	id          uint64
	node        int
	long        bool
	serviceTime time.Duration
	arrival     time.Time
	deadline    time.Time
}

// requestCounts counts the attempts, executions and failures of one request.
type requestCounts struct {
	attempts     int
	executions   int
	hedges       int
	serverErrors int
	// queued and misplaced report whether a long request counts in QueuedLong and
	// MisplacedLong of Result.
	queued    bool
	misplaced bool
}

// Policy is a routing and admission policy.
type Policy struct {
	Name string
	// Open prepares the policy for a cluster and returns the function that serves a
	// request. That function returns the request's counts and whether it got a response.
	Open func(c *cluster) func(ctx context.Context, r *request) (requestCounts, bool)
}

// cluster holds the servers of the simulated service.
type cluster struct {
	*Scenario
	start   time.Time
	servers []*server
}

// sleepNetworkDelay sleeps for the one-way network delay between a caller's node and a
// server. It returns false if ctx ends first.
func (c *cluster) sleepNetworkDelay(ctx context.Context, node int, sv *server) bool {
	return sleep(ctx, c.networkDelay(node, sv.zone))
}

func (c *cluster) networkDelay(node, zone int) time.Duration {
	if node%c.Zones == zone {
		return c.NetworkDelay / 5
	}
	return c.NetworkDelay
}

// cancellationTime is longer than any cancelled attempt continues to sleep.
const cancellationTime = 2 * time.Second

// run is the state of one run of a scenario; mu guards result.
type run struct {
	cluster
	serve  func(ctx context.Context, r *request) (requestCounts, bool)
	mu     sync.Mutex
	result Result
}

// Run simulates the scenario under a policy. It must be called in a synctest bubble.
func (s *Scenario) Run(p Policy) *Result {
	r := &run{
		cluster: cluster{
			Scenario: s,
			start:    time.Now(),
		},
	}
	for i := range s.Servers {
		r.servers = append(r.servers, s.newServer(i, r.start))
	}
	r.result.Short = newHistogram()
	r.result.Long = newHistogram()
	seconds := int(s.Duration/time.Second) + 1
	r.result.AnsweredBySecond = make([]int, seconds)
	for range seconds {
		r.result.LatencyBySecond = append(r.result.LatencyBySecond, newHistogram())
	}
	r.serve = p.Open(&r.cluster)
	var requests sync.WaitGroup
	requests.Go(func() { r.generateArrivals(&requests, false) })
	if s.Long.Load > 0 {
		requests.Go(func() { r.generateArrivals(&requests, true) })
	}
	requests.Wait()
	// Cancelled attempts end within connectTimeout. Wait for them here, because virtual
	// time stops once the function that the synctest bubble runs has returned.
	time.Sleep(cancellationTime)
	return &r.result
}

// generateArrivals starts short or long requests at exponentially distributed intervals
// until the scenario's end.
func (r *run) generateArrivals(requests *sync.WaitGroup, long bool) {
	stream := uint64(0)
	if long {
		stream = 1
	}
	rng := r.newRand(streamArrivals, stream)
	// at is the arrival time before alignment, so that the alignment of one arrival does
	// not delay the next.
	at := time.Duration(0)
	for id := stream << 48; at < r.Duration; id++ {
		at += time.Duration(rng.ExpFloat64() / r.arrivalRate(at, long) * float64(time.Second))
		q := r.newRequest(id, long)
		sleep(q.context(context.Background()), time.Until(r.start.Add(at)))
		r.setTimes(q)
		requests.Go(func() { r.serveAndRecord(q) })
	}
}

// arrivalRate returns the arrivals per second at a time since the start.
func (r *run) arrivalRate(at time.Duration, long bool) float64 {
	if long {
		return r.capacity() * r.Long.Load / r.Long.Factor
	}
	rate := r.capacity() * r.Load
	if r.Demand != nil {
		rate *= r.Demand(at)
	}
	return rate
}

func (r *run) newRequest(id uint64, long bool) *request {
	rng := r.newRand(streamRequest, id)
	q := &request{
		id:          id,
		node:        rng.IntN(r.Nodes),
		long:        long,
		serviceTime: r.drawServiceTime(rng),
	}
	if long {
		q.serviceTime = time.Duration(float64(r.Mean) * r.Long.Factor)
	}
	return q
}

// setTimes sets the arrival and the deadline of a request that arrives now.
func (r *run) setTimes(q *request) {
	timeout := r.Timeout
	if q.long {
		timeout = time.Hour
	}
	q.arrival = time.Now()
	q.deadline = alignToOffset(q.arrival.Add(timeout), timerOffset(q.id, offsetTimer))
}

// context returns a context with the timer offset of the request's primary attempts.
func (q *request) context(ctx context.Context) context.Context {
	kind := int64(offsetPrimary)
	if q.long {
		kind = offsetLong
	}
	return withTimerOffset(ctx, q.id, kind)
}

// serviceTimeAt returns the service time of a request at a server that runs at normal
// speed.
func (s *Scenario) serviceTimeAt(r *request, server int) time.Duration {
	if !s.ServiceTimePerExecution || r.long {
		return r.serviceTime
	}
	return s.drawServiceTime(s.newRand(streamExecution, r.id<<8|uint64(server)))
}

// serveAndRecord serves a request and adds its latency and counts to the result.
func (r *run) serveAndRecord(q *request) {
	ctx, cancel := context.WithDeadline(q.context(context.Background()), q.deadline)
	defer cancel()
	counts, ok := r.serve(ctx, q)
	latency := time.Since(q.arrival)
	at := q.arrival.Sub(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	result := &r.result
	second := int(at / time.Second)
	inTime := ok && !time.Now().After(q.deadline)
	if !q.long && second < len(result.LatencyBySecond) && inTime {
		recordLatency(result.LatencyBySecond[second], latency)
		result.AnsweredBySecond[second]++
	}
	if at >= faultStart {
		result.ServerErrors += counts.serverErrors
	}
	if at < r.Warmup {
		return
	}
	if q.long {
		result.OfferedLong++
		result.AttemptsLong += counts.attempts
		if counts.queued {
			result.QueuedLong++
		}
		if counts.misplaced {
			result.MisplacedLong++
		}
		if inTime {
			result.AnsweredLong++
			recordLatency(result.Long, latency)
		}
		return
	}
	result.Offered++
	result.Attempts += counts.attempts
	result.Executions += counts.executions
	result.Hedges += counts.hedges
	if inTime {
		result.Answered++
	} else {
		result.Failed++
	}
	// A request without a response in time counts with its whole timeout, so that a policy
	// can't improve its latency by refusing requests.
	if !inTime {
		latency = r.Timeout
	}
	recordLatency(result.Short, latency)
}
