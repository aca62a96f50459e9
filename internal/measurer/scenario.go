// Package measurer runs the routing and admission decisions against simulated
// endpoints in virtual time and measures them. It must run inside a
// testing/synctest bubble, which provides the clock.
package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Scenario describes one simulated service and its load.
type Scenario struct {
	Seed uint64
	// Servers is the number of endpoints, spread over Zones availability zones.
	Servers int
	Zones   int
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// Nodes is the number of callers' nodes, which choose independently.
	Nodes int
	// Mean and Sigma are the mean and the logarithmic standard deviation of the
	// service times, which are log-normal.
	Mean  time.Duration
	Sigma float64
	// Redraw draws the service time anew for each execution of a request, as where
	// it depends on the server's caches or disks; otherwise it belongs to the request.
	Redraw bool
	// Load is the offered load as a share of the capacity that remains with noise.
	Load float64
	// Demand multiplies the offered load at a time since the start; nil is 1.
	Demand func(at time.Duration) float64
	// Duration is the time during which requests arrive; those that arrive before
	// Warmup are not measured.
	Duration time.Duration
	Warmup   time.Duration
	// Distance is the one-way delay between a caller's node and an endpoint's node
	// of another availability zone; within one it is a fifth of that.
	Distance time.Duration
	// Timeout is the deadline of each short request.
	Timeout time.Duration
	// Repeatable allows requests to run twice, so that they may be hedged.
	Repeatable bool
	Noise      Noise
	Long       Long
	Faults     []Fault
}

// Noise is the effect of noisy neighbours on each server.
type Noise struct {
	// Speed is the server's speed during a slow period, relative to its own.
	Speed float64
	// Share is the share of the time that slow periods take.
	Share float64
	// Period is the mean length of a slow period.
	Period time.Duration
}

// Long describes the long requests of a scenario.
type Long struct {
	// Share is the share of the slots' time that long requests ask for.
	Share float64
	// Factor is the service time of a long request relative to the mean of short ones.
	Factor float64
	// SlotShare is the share of the slots that long requests may hold.
	SlotShare float64
}

// Fault changes the behaviour of one server for a time.
type Fault struct {
	Server int
	From   time.Duration
	To     time.Duration
	// Speed is the server's speed relative to its own; 0 means unchanged.
	Speed float64
	// FailFast makes the server answer each request at once with an error.
	FailFast bool
	// Unreachable makes the server's node and VM unreachable.
	Unreachable bool
}

// Result holds the figures of one run.
type Result struct {
	// Short and Long hold the latencies of answered requests, in microseconds,
	// from the intended arrival to the end of the answer.
	Short *hdrhistogram.Histogram
	Long  *hdrhistogram.Histogram
	// Offered is the number of measured short requests, Answered of those answered
	// within their deadline, and Failed of the others.
	Offered  int
	Answered int
	Failed   int
	// OfferedLong and AnsweredLong count long requests.
	OfferedLong  int
	AnsweredLong int
	// QueuedLong counts long requests that waited for a slot, and MisplacedLong those
	// of them that began to wait for a long slot while one was free at another server.
	// TriesLong is the number of their attempts between nodes. The baselines, whose
	// long requests hold any slot, leave the first two at zero.
	QueuedLong    int
	MisplacedLong int
	TriesLong     int
	// Tries is the number of attempts between nodes, and Runs of executions at
	// endpoints, both for short requests and with hedged copies.
	Tries  int
	Runs   int
	Hedges int
	// Errors is the number of failures of servers that nodes met since the time at
	// which faults begin.
	Errors int
	// Windows holds the latencies by the second of the intended arrival.
	Windows []*hdrhistogram.Histogram
	// AnsweredIn counts the answers by the second of the intended arrival.
	AnsweredIn []int
}

// maxLatency bounds the histograms; longer latencies are counted there.
const maxLatency = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Quantile returns a quantile of a histogram in milliseconds; q is in percent.
func Quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// capacity returns the short requests a second that all servers can run.
func (s *Scenario) capacity() float64 {
	speed := 1 - s.Noise.Share*(1-s.Noise.Speed)
	return float64(s.Servers*s.Slots) * speed / s.Mean.Seconds()
}

// The streams of random numbers of one request or server. Each has its own
// generator, so that the order in which goroutines run does not change a draw.
const (
	streamArrivals = iota
	streamSpeed
	streamRequest
	streamExecution
)

func (s *Scenario) random(stream, id uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, stream<<56|id))
}

// serviceTime draws a log-normal service time.
func (s *Scenario) serviceTime(random *rand.Rand) time.Duration {
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*random.NormFloat64()))
}
