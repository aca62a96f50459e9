// Package meter holds the metrics of a sidecar: the table that describes them, also for the
// reference page, and the Meter that records them and serves them in the Prometheus text
// format.
package meter

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Kind is the type of a metric, as the Prometheus text format names it.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Name is the name of a metric, in kebab case. The Prometheus text format has underscores in
// place of the hyphens.
type Name string

// The metrics. Table describes each of them.
const (
	CallerRequests     Name = "caller-requests"
	CallerSeconds      Name = "caller-seconds"
	WorkspaceRequests  Name = "workspace-requests"
	EndpointRequests   Name = "endpoint-requests"
	EndpointSeconds    Name = "endpoint-seconds"
	QueueSeconds       Name = "queue-seconds"
	AddedSeconds       Name = "added-seconds"
	Attempts           Name = "attempts"
	RelayedAttempts    Name = "relayed-attempts"
	RelayedRequests    Name = "relayed-requests"
	PipelinedRequests  Name = "pipelined-requests"
	PipelinedRunning   Name = "pipelined-running"
	PipelinedBytes     Name = "pipelined-bytes"
	StoreCalls         Name = "store-calls"
	StoreEra           Name = "store-era"
	Probes             Name = "probes"
	ReportsRejected    Name = "reports-rejected"
	LogLinesDropped    Name = "log-lines-dropped"
	Members            Name = "members"
	MembersAge         Name = "members-age-seconds"
	TableVersion       Name = "table-version"
	TableAge           Name = "table-age-seconds"
	Running            Name = "running"
	Waiting            Name = "waiting"
	Capacity           Name = "capacity"
	Slowness           Name = "slowness-percent"
	EarlyRetries       Name = "early-retries"
	WorkspaceDecisions Name = "workspace-decisions"
	QuotaDecisions     Name = "quota-decisions"
	QuotaMessages      Name = "quota-messages"
	ColdRate           Name = "cold-rate"
	ColdChanges        Name = "cold-changes"
	EvacuatedZones     Name = "evacuated-zones"
	EvacuationChanges  Name = "evacuation-changes"
	ConnectionsClosed  Name = "connections-closed"
	RequestBytes       Name = "request-bytes"
)

// Row describes one metric.
type Row struct {
	Name   Name
	Kind   Kind
	Labels []string
	Help   string
}

// Table describes all metrics.
var Table = []Row{
	{
		Name:   CallerRequests,
		Kind:   Counter,
		Labels: []string{"service", "outcome"},
		Help:   "requests from callers and from the local endpoint, by service and outcome (a status class or a refusal reason)",
	},
	{
		Name:   CallerSeconds,
		Kind:   Histogram,
		Labels: []string{"service"},
		Help:   "time from the arrival of a request at its first node to its response or refusal",
	},
	{
		Name:   WorkspaceRequests,
		Kind:   Counter,
		Labels: []string{"workspace", "outcome"},
		Help:   "requests with the API key of a workspace, by workspace and outcome (a status class or a refusal reason); workspaces beyond the limit on label values count as other",
	},
	{
		Name:   EarlyRetries,
		Kind:   Counter,
		Labels: []string{"workspace"},
		Help:   "requests of callers that retried a refused request before the Retry-After that they were given, by workspace (none for public routes without a key)",
	},
	{
		Name:   WorkspaceDecisions,
		Kind:   Counter,
		Labels: []string{"workspace", "decision"},
		Help:   "decisions on requests for slots of the local endpoint, by workspace and decision (the verdict; over-share, displaced or early-retry for a refusal of that reason; expired for a request that waited in the queue until it could no longer finish in time)",
	},
	{
		Name:   QuotaDecisions,
		Kind:   Counter,
		Labels: []string{"workspace", "verdict"},
		Help:   "decisions on the quota of a workspace by its verdict: refused, refused-alone (without an accountant), refused-unknown (the members are not known yet), limited and free (both at the node that accounts for the workspace)",
	},
	{
		Name:   QuotaMessages,
		Kind:   Counter,
		Labels: []string{"direction"},
		Help:   "messages about quotas that were sent to and received from other nodes",
	},
	{
		Name:   EndpointRequests,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "requests for the local endpoint, by outcome (a status class or a refusal reason)",
	},
	{
		Name: EndpointSeconds,
		Kind: Histogram,
		Help: "service time of a request at the local endpoint",
	},
	{
		Name: QueueSeconds,
		Kind: Histogram,
		Help: "queue wait of a request for a slot of the local endpoint; zero if it got a slot immediately or was refused while it waited",
	},
	{
		Name: AddedSeconds,
		Kind: Histogram,
		Help: "time of a request with a response that was not spent in its last attempt, such as receiving its body and earlier attempts",
	},
	{
		Name:   Attempts,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "attempts at nodes, by outcome; all but the first attempt of a request are moves to another node, retries or hedges",
	},
	{
		Name:   RelayedAttempts,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "attempts that this node sent through a node of a third availability zone, by outcome; attempts counts them too",
	},
	{
		Name:   RelayedRequests,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "requests that this node passed on between nodes of other availability zones, by outcome: passed for a response or refusal of the node beside the endpoint, or this node's own refusal",
	},
	{
		Name:   PipelinedRequests,
		Kind:   Counter,
		Labels: []string{"start"},
		Help:   "requests that arrived before the response to an earlier one on their connection, by how they were started: early, or in their turn for one of the reasons not-repeatable (it or one ahead is not a GET or HEAD without a body that may run more than once), no-free-slot, node-limit, memory and stopping",
	},
	{
		Name: PipelinedRunning,
		Kind: Gauge,
		Help: "requests that were started before the responses ahead of them had been sent, and have no response yet",
	},
	{
		Name: PipelinedBytes,
		Kind: Gauge,
		Help: "bytes of pipelined requests that were read ahead, and of responses that wait for their turn or have room reserved for them",
	},
	{
		Name:   StoreCalls,
		Kind:   Counter,
		Labels: []string{"operation", "outcome"},
		Help:   "calls of the platform's store, by operation and outcome (done, unavailable, unknown)",
	},
	{
		Name: StoreEra,
		Kind: Gauge,
		Help: "highest known era of the platform's store, which rises with each restore from an older copy; not served before the first one",
	},
	{
		Name:   Probes,
		Kind:   Counter,
		Labels: []string{"outcome"},
		Help:   "health probes of the local endpoint, by outcome",
	},
	{
		Name: ReportsRejected,
		Kind: Counter,
		Help: "reports of endpoints that could not be decoded, named another service or address than the settings, or had no positive number of slots",
	},
	{
		Name:   ConnectionsClosed,
		Kind:   Counter,
		Labels: []string{"address", "reason"},
		Help:   "connections that were closed or not accepted because of a limit on connections or headers, by address (callers, nodes, ready, reports, metrics) and reason (closed-for-new, not-accepted, slow-header, idle, header-too-large, headers-full)",
	},
	{
		Name: RequestBytes,
		Kind: Gauge,
		Help: "memory counted for request bodies, of callers and of other nodes",
	},
	{
		Name: LogLinesDropped,
		Kind: Counter,
		Help: "log lines dropped because the buffer was too full; lines below warn are dropped first",
	},
	{
		Name: Members,
		Kind: Gauge,
		Help: "nodes that are alive or suspected to have failed, including this one",
	},
	{
		Name: MembersAge,
		Kind: Gauge,
		Help: "time since the last change of the members",
	},
	{
		Name: TableVersion,
		Kind: Gauge,
		Help: "version of the active routing table; not served before the first one",
	},
	{
		Name: TableAge,
		Kind: Gauge,
		Help: "time since the active routing table was received; not served before the first one",
	},
	{
		Name: Running,
		Kind: Gauge,
		Help: "requests running at the local endpoint",
	},
	{
		Name: Waiting,
		Kind: Gauge,
		Help: "requests waiting for a slot of the local endpoint",
	},
	{
		Name: Capacity,
		Kind: Gauge,
		Help: "number of concurrent requests at which the local endpoint has its highest throughput, at most its slots",
	},
	{
		Name: Slowness,
		Kind: Gauge,
		Help: "service time at the local endpoint in percent of the normal service time; 100 without a recent report of the endpoint",
	},
	{
		Name: ColdRate,
		Kind: Gauge,
		Help: "requests a second that the local endpoint accepts while it is cold; zero if it is not cold or has no such limit",
	},
	{
		Name:   ColdChanges,
		Kind:   Counter,
		Labels: []string{"cause"},
		Help:   "changes of the local endpoint's cold state and signs of one, by cause (a statement: report, health-check; a sign: unknown, started, unreachable, failed, suspended, slowed, unused)",
	},
	{
		Name: EvacuatedZones,
		Kind: Gauge,
		Help: "availability zones that the operator has evacuated, as this node knows",
	},
	{
		Name:   EvacuationChanges,
		Kind:   Counter,
		Labels: []string{"source"},
		Help:   "changes of the evacuated zones, by source (store, member)",
	},
}

const (
	// reportInterval is the time between two updates of the served metrics from the scope, and
	// so the maximum age of a served value.
	reportInterval = time.Second
	// maxLabelValues is the maximum number of values of one label, over all metrics that have
	// it. Further ones are counted as otherValue.
	maxLabelValues = 400
	otherValue     = "other"
)

// sanitizeOptions are tally's defaults for Prometheus, except that hyphens in label values
// stay. The text format allows them, and the same values appear with hyphens in log lines.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// buckets are the upper bounds of the histogram buckets, from about a hundredth to about ten
// times the target latencies of the known services.
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

// Meter records and serves the metrics of one node. Call Open before use.
type Meter struct {
	scope       tally.Scope
	reporter    prometheus.Reporter
	closer      interface{ Close() error }
	labelValues limiter
}

// Open creates the scope, which collects the metrics, and the reporter, which serves them.
func (m *Meter) Open() error {
	registry := promclient.NewRegistry()
	var registerErr error
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(err error) { registerErr = err },
	})
	if registerErr != nil {
		return errors.Wrap(registerErr, "metrics")
	}
	m.reporter = reporter
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "gentianlever",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
		// Tally's metrics about the scope itself are of no use to operators.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return nil
}

// Close updates the served metrics a last time and stops the updates.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler returns the handler that serves the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Add adds n to a counter. values are the values of its labels, in the order of Table.
func (m *Meter) Add(name Name, n int64, values ...string) {
	m.taggedScope(name, values).Counter(string(name)).Inc(n)
}

// Set sets a gauge to v.
func (m *Meter) Set(name Name, v float64) { m.scope.Gauge(string(name)).Update(v) }

// Observe adds a duration to a histogram. values are the values of its labels, in the order
// of Table.
func (m *Meter) Observe(name Name, d time.Duration, values ...string) {
	m.taggedScope(name, values).Histogram(string(name), buckets).RecordDuration(d)
}

// taggedScope returns the scope for the given values of the labels of a metric. It replaces
// values beyond the limit of a label by otherValue.
func (m *Meter) taggedScope(name Name, values []string) tally.Scope {
	if len(values) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(values))
	for i, label := range labelNames(name) {
		tags[label] = m.labelValues.limit(label, values[i])
	}
	return m.scope.Tagged(tags)
}

// labelNames returns the names of the labels of a metric.
func labelNames(name Name) []string {
	for _, row := range Table {
		if row.Name == name {
			return row.Labels
		}
	}
	return nil
}
