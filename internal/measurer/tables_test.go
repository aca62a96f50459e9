package measurer

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/retrier"
)

var measure = flag.Bool("measure", false, "run all measurements and write docs/measurements.md")

const (
	measurementsPage = "../../docs/measurements.md"
	seeds            = 5
	fleetHeading     = "## The large fleet on the users' platform\n"
)

var tailLoads = []float64{0.5, 0.7, 0.85, 0.95}

func disableHedging(r *retrier.Retrier) { r.NoHedging = true }

var (
	fullPolicy    = Gentianlever(Options{})
	noHedgePolicy = Gentianlever(Options{
		Name:    "gentianlever, not hedged",
		Retrier: disableHedging,
	})
	baselines = []Policy{Random, RoundRobin, TwoChoicesDelayedReports, LeastOutstanding}
)

// measurement holds what is simulated and measured for one row of a table.
type measurement struct {
	scenario func(seed uint64) *Scenario
	policy   Policy
	metrics  func(s *Scenario, r *Result) []float64
}

// run simulates the measurement with every seed and returns the spread of each metric.
func (m measurement) run(t *testing.T) []Spread {
	var columns [][]float64
	for seed := uint64(1); seed <= seeds; seed++ {
		s := m.scenario(seed)
		for i, f := range m.metrics(s, simulate(t, s, m.policy)) {
			if len(columns) <= i {
				columns = append(columns, nil)
			}
			columns[i] = append(columns[i], f)
		}
	}
	result := make([]Spread, len(columns))
	for i, column := range columns {
		result[i] = newSpread(column)
	}
	return result
}

// runAll runs measurements in parallel, each in its own synctest bubble.
func runAll(t *testing.T, measurements []measurement) [][]Spread {
	results := make([][]Spread, len(measurements))
	var mu sync.Mutex
	t.Run("measurements", func(t *testing.T) {
		for i, m := range measurements {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				r := m.run(t)
				mu.Lock()
				defer mu.Unlock()
				results[i] = r
			})
		}
	})
	return results
}

func perRequest(n int, r *Result) float64 { return float64(n) / float64(max(1, r.Offered)) }

func tailMetrics(_ *Scenario, r *Result) []float64 {
	return []float64{Quantile(r.Short, 99), Quantile(r.Short, 99.9), perRequest(r.Attempts, r), perRequest(r.Executions, r)}
}

func formatSpreads(spreads []Spread) []string {
	var cells []string
	for _, s := range spreads {
		cells = append(cells, s.String())
	}
	return cells
}

// makeRepeatable marks the short requests of a scenario as repeatable, which allows hedging.
func makeRepeatable(s *Scenario) *Scenario {
	s.Repeatable = true
	return s
}

// buildTable runs the measurements and adds a row for each to the table. rows holds the
// leading cells of each row, separated by "|".
func buildTable(t *testing.T, table Table, rows []string, measurements []measurement) Table {
	for i, spreads := range runAll(t, measurements) {
		table.Rows = append(table.Rows, append(strings.Split(rows[i], "|"), formatSpreads(spreads)...))
	}
	return table
}

func tailTable(t *testing.T, w Workload) Table {
	var rows []string
	var measurements []measurement
	for _, load := range tailLoads {
		for _, p := range append(append([]Policy{}, baselines...), SharedQueue, noHedgePolicy, fullPolicy) {
			rows = append(rows, fmt.Sprintf("%.0f%%|%s", load*100, p.Name))
			measurements = append(measurements, measurement{
				scenario: func(seed uint64) *Scenario { return makeRepeatable(LookupService(seed, w, load)) },
				policy:   p,
				metrics:  tailMetrics,
			})
		}
	}
	return buildTable(t, Table{
		Title:  "Tail latency: " + w.Name,
		Text:   "6 servers of 12 slots with noisy neighbours, 13 nodes; latencies in ms.",
		Header: []string{"load", "policy", "p99", "p99.9", "tries per call", "runs per call"},
	}, rows, measurements)
}

func mechanismTable(t *testing.T, w Workload) Table {
	options := []Options{
		{Name: "all"},
		{
			Name:    "without hedging",
			Retrier: disableHedging,
		},
		{
			Name:   "without age discount",
			Picker: func(p *picker.Picker) { p.NoReportDecay = true },
		},
		{
			Name:   "without slow-down detection",
			Picker: func(p *picker.Picker) { p.NoSlowdownDetection = true },
		},
		{
			Name:   "without zone distance",
			Picker: func(p *picker.Picker) { p.NoZoneDistance = true },
		},
		{
			Name:     "without placement refusal",
			Admitter: func(a *admitter.Admitter) { a.NoPlacement = true },
		},
		{
			Name:     "without arrival order",
			Admitter: func(a *admitter.Admitter) { a.NoArrivalOrder = true },
		},
		{
			Name:      "without adaptive limit",
			NoLimiter: true,
		},
	}
	var rows []string
	var measurements []measurement
	for _, o := range options {
		for _, load := range []float64{0.7, 0.85} {
			rows = append(rows, fmt.Sprintf("%s|%.0f%%", o.Name, load*100))
			measurements = append(measurements, measurement{
				scenario: func(seed uint64) *Scenario { return makeRepeatable(LookupService(seed, w, load)) },
				policy:   Gentianlever(o),
				metrics:  tailMetrics,
			})
		}
	}
	return buildTable(t, Table{
		Title:  "Mechanisms with and without: " + w.Name,
		Text:   "As above; each row leaves out one mechanism.",
		Header: []string{"mechanisms", "load", "p99", "p99.9", "tries per call", "runs per call"},
	}, rows, measurements)
}

func peakTable(t *testing.T, w Workload) Table {
	policies := []Policy{
		RoundRobin, LeastOutstanding, SharedQueue, fullPolicy,
		Gentianlever(Options{
			Name:     "gentianlever without deadline refusal",
			Admitter: func(a *admitter.Admitter) { a.NoDeadlineRefusal = true },
		}),
		Gentianlever(Options{
			Name:    "gentianlever without retry budget",
			Retrier: func(r *retrier.Retrier) { r.NoBudget = true },
		}),
		Gentianlever(Options{
			Name:      "gentianlever without adaptive limit",
			NoLimiter: true,
		}),
	}
	var rows []string
	var measurements []measurement
	for _, multiple := range []float64{1.5, 2} {
		for _, p := range policies {
			rows = append(rows, fmt.Sprintf("%.1f|%s", multiple, p.Name))
			measurements = append(measurements, measurement{
				scenario: func(seed uint64) *Scenario { return makeRepeatable(Peak(seed, w, multiple)) },
				policy:   p,
				metrics: func(s *Scenario, r *Result) []float64 {
					return []float64{s.PeakGoodput(r), PeakRecoveryRatio(r), perRequest(r.Attempts, r), perRequest(r.Executions, r)}
				},
			})
		}
	}
	return buildTable(t, Table{
		Title:  "Peak of demand: " + w.Name,
		Text:   "Demand rises from 0.6 times capacity to a multiple within a second for ten seconds; deadline 500 ms. Answers within the deadline during the peak as a share of what capacity allows (target 0.95), and the p99 of the second that begins one second after the peak over that before it.",
		Header: []string{"demand", "policy", "answered of capacity", "p99 after / before", "tries per call", "runs per call"},
	}, rows, measurements)
}

func blockingTable(t *testing.T, w Workload) Table {
	policies := []Policy{
		LeastOutstanding, fullPolicy,
		Gentianlever(Options{
			Name:     "gentianlever without lanes",
			Admitter: func(a *admitter.Admitter) { a.NoClassQueues = true },
		}),
	}
	var rows []string
	var measurements []measurement
	for _, share := range []float64{0, 0.1, 0.2, 0.4} {
		for _, p := range policies {
			rows = append(rows, fmt.Sprintf("%.0f%%|%s", share*100, p.Name))
			measurements = append(measurements, measurement{
				scenario: func(seed uint64) *Scenario { return makeRepeatable(HeadOfLineBlocking(seed, w, share)) },
				policy:   p,
				metrics: func(s *Scenario, r *Result) []float64 {
					busy := float64(r.AnsweredLong) * s.Mean.Seconds() * s.Long.Factor / (s.Duration - s.Warmup).Seconds() / float64(s.Servers*s.Slots)
					return []float64{Quantile(r.Short, 99), Quantile(r.Short, 99.9), busy}
				},
			})
		}
	}
	return buildTable(t, Table{
		Title:  "Head-of-line blocking: " + w.Name,
		Text:   "3 servers, short requests at 50% load; long requests take 100 times as long and ask for a share of the slots' time; they may hold a quarter of the slots. Latencies of short requests in ms.",
		Header: []string{"long offered", "policy", "p99", "p99.9", "slots' time given to long requests"},
	}, rows, measurements)
}

func faultTable(t *testing.T, w Workload) Table {
	var rows []string
	var measurements []measurement
	for _, c := range FaultCases {
		for _, p := range []Policy{LeastOutstanding, SharedQueue, fullPolicy, noHedgePolicy} {
			rows = append(rows, c.Name+"|"+p.Name)
			measurements = append(measurements, measurement{
				scenario: func(seed uint64) *Scenario { return makeRepeatable(FaultScenario(seed, w, c)) },
				policy:   p,
				metrics: func(s *Scenario, r *Result) []float64 {
					return []float64{Quantile(r.Short, 99), Quantile(r.Short, 99.9), perRequest(r.Failed, r) * 100, float64(r.ServerErrors) / float64(s.Nodes)}
				},
			})
		}
	}
	return buildTable(t, Table{
		Title:  "Faults: " + w.Name,
		Text:   "Load 50%; figures from 250 ms after the change. A request that was not answered counts with its timeout of 2 s.",
		Header: []string{"fault", "policy", "p99", "p99.9", "not answered, %", "errors seen per node"},
	}, rows, measurements)
}

// TestMeasurements writes docs/measurements.md when run by "make measure".
func TestMeasurements(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure only, because it takes minutes and asserts nothing")
	}
	var b strings.Builder
	b.WriteString("# Measurements of the decisions\n\n`make measure` writes this page (`go test ./internal/measurer -run TestMeasurements -measure`). Decisions run in virtual time: one seed gives one figure on any machine. Each figure is the median of 5 seeds with its range. In the workload \"service time by execution\" each execution draws its own service time (caches, disks, neighbours), in \"service time by request\" the time belongs to the request, so a second copy takes as long.\n\nThe limit is one queue over all slots with perfect knowledge; it does not hedge.\n\n")
	for _, w := range Workloads {
		for _, build := range []func(*testing.T, Workload) Table{tailTable, mechanismTable, blockingTable, faultTable} {
			table := build(t, w)
			b.WriteString(table.Markdown() + "\n")
		}
	}
	table := peakTable(t, Workloads[0])
	b.WriteString(table.Markdown())
	old, err := os.ReadFile(measurementsPage)
	is.New(t).NoErr(err)
	// The part on the large fleet is measured by "make fleet".
	_, fleet, _ := strings.Cut(string(old), fleetHeading)
	b.WriteString("\n" + fleetHeading + fleet)
	is.New(t).NoErr(os.WriteFile(measurementsPage, []byte(strings.TrimRight(b.String(), "\n")+"\n"), 0o644))
}
