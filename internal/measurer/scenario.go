// Package measurer runs the routing and admission code against simulated endpoints in
// virtual time and measures latencies, failures and load. It must run inside a
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
	// Servers is the number of endpoints, spread evenly over Zones availability zones.
	Servers int
	Zones   int
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int
	// Nodes is the number of callers' nodes. Each routes its requests independently.
	Nodes int
	// Mean and Sigma are the mean and the logarithmic standard deviation of the
	// service times, which are log-normal.
	Mean  time.Duration
	Sigma float64
	// ServiceTimePerExecution draws a new service time for each execution of a request, as if
	// it depended on the server's caches or disks. Otherwise all executions of a request take
	// the same service time.
	ServiceTimePerExecution bool
	// Load is the offered load of short requests as a share of the capacity that remains
	// after noise.
	Load float64
	// Demand returns the factor by which the offered load is multiplied at a time since
	// the start. Nil means a constant load.
	Demand func(at time.Duration) float64
	// Duration is the time during which requests arrive. Requests that arrive before
	// Warmup are not measured.
	Duration time.Duration
	Warmup   time.Duration
	// NetworkDelay is the one-way network delay between a caller's node and an endpoint's
	// node in different availability zones. Within a zone, the delay is a fifth of it.
	NetworkDelay time.Duration
	// Timeout is the time from the arrival of a short request to its deadline.
	Timeout time.Duration
	// Repeatable marks short requests as safe to run twice, so that they may be hedged.
	Repeatable bool
	Noise      Noise
	Long       Long
	Faults     []Fault
}

// Noise describes the slow periods that noisy neighbours cause on each server.
type Noise struct {
	// Speed is the server's speed during a slow period, relative to its normal speed.
	Speed float64
	// SlowShare is the share of the time that a server spends in slow periods.
	SlowShare float64
	// Period is the mean length of a slow period.
	Period time.Duration
}

// Long describes the long requests of a scenario.
type Long struct {
	// Load is the offered load of long requests as a share of capacity.
	Load float64
	// Factor is the service time of a long request relative to the mean service time of
	// short requests.
	Factor float64
	// SlotShare is the share of a server's slots that long requests may hold; 0 means all.
	SlotShare float64
}

// Fault changes the behaviour of one server between two times since the start.
type Fault struct {
	Server int
	From   time.Duration
	To     time.Duration
	// Speed multiplies the server's speed; 0 means unchanged.
	Speed float64
	// FailFast makes the server respond to each request immediately with an error.
	FailFast bool
	// Unreachable makes the server's node and its VM unreachable.
	Unreachable bool
}

// Result holds the measurements of one run.
type Result struct {
	// Short and Long hold the latencies in microseconds, from a request's arrival to the
	// end of its response. A short request without a response within its deadline counts
	// with its whole timeout; a long one is not recorded.
	Short *hdrhistogram.Histogram
	Long  *hdrhistogram.Histogram
	// Offered is the number of measured short requests, Answered the number of those that
	// got a response within their deadline, and Failed the number of the others.
	Offered  int
	Answered int
	Failed   int
	// OfferedLong and AnsweredLong are the same counts for long requests.
	OfferedLong  int
	AnsweredLong int
	// QueuedLong counts long requests that waited for a slot, and MisplacedLong those of
	// them that started to wait for a long slot while one was free at another server. Both
	// are zero for the baselines, whose long requests may hold any slot. AttemptsLong is the
	// number of attempts of long requests between nodes.
	QueuedLong    int
	MisplacedLong int
	AttemptsLong  int
	// Attempts is the number of attempts between nodes, and Executions the number of executions
	// at endpoints. Both count short requests only and include hedges.
	Attempts   int
	Executions int
	Hedges     int
	// ServerErrors is the number of server failures that nodes saw for requests that arrived
	// after the start of the faults.
	ServerErrors int
	// LatencyBySecond holds, by the second of their arrival, the latencies of the short
	// requests that got a response within their deadline. It includes the warm-up.
	LatencyBySecond []*hdrhistogram.Histogram
	// AnsweredBySecond counts the latencies in each element of LatencyBySecond.
	AnsweredBySecond []int
}

// maxLatency is the upper bound of the histograms. Longer latencies are recorded as this
// value.
const maxLatency = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Quantile returns a quantile of a latency histogram in milliseconds; q is in percent.
func Quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// capacity returns the number of short requests per second that all servers together can
// run, reduced by the slow periods of Noise.
func (s *Scenario) capacity() float64 {
	speed := 1 - s.Noise.SlowShare*(1-s.Noise.Speed)
	return float64(s.Servers*s.Slots) * speed / s.Mean.Seconds()
}

// Random number streams. Each stream has its own generator for each request or server, so
// that the order in which goroutines run does not change a draw.
const (
	streamArrivals = iota
	streamServerSpeed
	streamRequest
	streamExecution
)

// newRand returns the generator of one request or server in a stream.
func (s *Scenario) newRand(stream, id uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, stream<<56|id))
}

// drawServiceTime draws a service time from the scenario's log-normal distribution.
func (s *Scenario) drawServiceTime(rng *rand.Rand) time.Duration {
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*rng.NormFloat64()))
}
