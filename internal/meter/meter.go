// Package meter holds the metrics of a sidecar: a table that drives the metrics and their
// page, and the scope that serves them in Prometheus' text format.
package meter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Name is the name of a metric, in kebab case. The text format has underscores instead.
type Name string

// The metrics. Table describes each.
const (
	CallerRequests   Name = "caller-requests"
	CallerSeconds    Name = "caller-seconds"
	EndpointRequests Name = "endpoint-requests"
	EndpointSeconds  Name = "endpoint-seconds"
	QueueSeconds     Name = "queue-seconds"
	AddedSeconds     Name = "added-seconds"
	Attempts         Name = "attempts"
	StoreCalls       Name = "store-calls"
	Probes           Name = "probes"
	ReportsRejected  Name = "reports-rejected"
	LogLinesDropped  Name = "log-lines-dropped"
	Members          Name = "members"
	MembersAge       Name = "members-age-seconds"
	TableVersion     Name = "table-version"
	TableAge         Name = "table-age-seconds"
	Running          Name = "running"
	Waiting          Name = "waiting"
	Capacity         Name = "capacity"
	Slowness         Name = "slowness-percent"
)

// Row describes one metric.
type Row struct {
	Name   Name
	Kind   Kind
	Labels []string
	Help   string
}

// Table lists every metric.
var Table = []Row{
	{
		Name:   CallerRequests,
		Kind:   Counter,
		Labels: []string{"service", "outcome"},
		Help:   "requests of callers and of the local endpoint by service and outcome: a status class or a refusal reason",
	},
	{
		Name:   CallerSeconds,
		Kind:   Histogram,
		Labels: []string{"service"},
		Help:   "time from the arrival of a request at its first node to its answer",
	},
	{
		Name:   EndpointRequests,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "requests for the node's own endpoint by outcome: a status class or a refusal reason",
	},
	{
		Name: EndpointSeconds,
		Kind: Histogram,
		Help: "time of a request at the node's own endpoint",
	},
	{
		Name: QueueSeconds,
		Kind: Histogram,
		Help: "wait of a request for a slot of the node's own endpoint",
	},
	{
		Name: AddedSeconds,
		Kind: Histogram,
		Help: "part of the time of an answered request that its last endpoint did not take, such as waiting, moves and earlier attempts",
	},
	{
		Name:   Attempts,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "attempts at nodes by outcome; those beyond the first of a request are moves and repeats",
	},
	{
		Name:   StoreCalls,
		Kind:   Counter,
		Labels: []string{"operation", "outcome"},
		Help:   "calls of the platform's store by operation and outcome (done, unavailable, unknown)",
	},
	{
		Name:   Probes,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "health probes of the node's own endpoint",
	},
	{
		Name: ReportsRejected,
		Kind: Counter,
		Help: "reports of endpoints that were refused as unreadable or not genuine",
	},
	{
		Name: LogLinesDropped,
		Kind: Counter,
		Help: "log lines dropped because the buffer was full",
	},
	{
		Name: Members,
		Kind: Gauge,
		Help: "nodes that are alive or only suspected, this one included",
	},
	{
		Name: MembersAge,
		Kind: Gauge,
		Help: "time since the members last changed",
	},
	{
		Name: TableVersion,
		Kind: Gauge,
		Help: "version of the routing table in force; zero before the first",
	},
	{
		Name: TableAge,
		Kind: Gauge,
		Help: "time since the routing table in force was received",
	},
	{
		Name: Running,
		Kind: Gauge,
		Help: "requests at the node's own endpoint",
	},
	{
		Name: Waiting,
		Kind: Gauge,
		Help: "requests that wait for a slot of the node's own endpoint",
	},
	{
		Name: Capacity,
		Kind: Gauge,
		Help: "requests that the node's own endpoint runs at once at its best, at most its slots",
	},
	{
		Name: Slowness,
		Kind: Gauge,
		Help: "time that work takes at the node's own endpoint, in percent of the usual",
	},
}

const (
	// reportInterval separates the transfers from the scope to the served text; a metric
	// is that old at most.
	reportInterval = time.Second
	// maxValues bounds the values of one label; further ones count as otherValue.
	maxValues  = 400
	otherValue = "other"
)

// sanitizer is that of the text format, but for the hyphens of label values, which the
// format allows and the log lines have too.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// buckets are the upper bounds of the histograms, from a hundredth to about ten times the
// targets of the known services.
var buckets = tally.DurationBuckets{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	300 * time.Millisecond,
	400 * time.Millisecond,
	500 * time.Millisecond,
	750 * time.Millisecond,
	time.Second,
	1500 * time.Millisecond,
	2 * time.Second,
	3 * time.Second,
	5 * time.Second,
}

// Meter holds the metrics of one node. Call Open before use.
type Meter struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	closer   interface{ Close() error }
	values   limiter
}

// Open creates the scope.
func (m *Meter) Open() error {
	registry := promclient.NewRegistry()
	var problem error
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(err error) { problem = err },
	})
	if problem != nil {
		return errors.Wrap(problem, "metrics")
	}
	m.reporter = reporter
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "gentianlever",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizer,
		// The scope's own figures say nothing of the node.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return nil
}

// Close ends the transfers.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Add adds to a counter. values are those of its labels, in the order of the table.
func (m *Meter) Add(name Name, n int64, values ...string) {
	m.tagged(name, values).Counter(string(name)).Inc(n)
}

// Set sets a gauge.
func (m *Meter) Set(name Name, v float64) { m.scope.Gauge(string(name)).Update(v) }

// Observe adds a time to a histogram.
func (m *Meter) Observe(name Name, d time.Duration, values ...string) {
	m.tagged(name, values).Histogram(string(name), buckets).RecordDuration(d)
}

func (m *Meter) tagged(name Name, values []string) tally.Scope {
	if len(values) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(values))
	for i, label := range labels(name) {
		tags[label] = m.values.bound(label, values[i])
	}
	return m.scope.Tagged(tags)
}

func labels(name Name) []string {
	for _, row := range Table {
		if row.Name == name {
			return row.Labels
		}
	}
	return nil
}
