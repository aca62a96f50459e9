// Package counter holds the table of a node's counters, counts, and writes the values in the
// Prometheus text format.
package counter

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/gentianlever/gentianlever/internal/refuser"
)

// Name is the name of a counter, in kebab case.
type Name string

// The counters. Table describes each of them.
const (
	Calls              Name = "calls"
	CallsFromNodes     Name = "calls-from-nodes"
	EndpointRuns       Name = "endpoint-runs"
	NodeTries          Name = "node-tries"
	Refused            Name = "refused"
	RefusedHere        Name = "refused-here"
	Retried            Name = "retried"
	TruncatedResponses Name = "truncated-answers"
	HedgesSent         Name = "hedges-sent"
	HedgesWon          Name = "hedges-won"
	Probes             Name = "probes"
	ProbesFailed       Name = "probes-failed"
	MessagesSent       Name = "messages-sent"
	MessagesReceived   Name = "messages-received"
	MessageBytesSent   Name = "message-bytes-sent"
	MessagesRejected   Name = "messages-rejected"
	TableReads         Name = "table-reads"
	TableWrites        Name = "table-writes"
	TableErrors        Name = "table-errors"
	ObjectReads        Name = "object-reads"
	ObjectWrites       Name = "object-writes"
	ObjectErrors       Name = "object-errors"
	DocumentsApplied   Name = "documents-applied"
	DocumentConflicts  Name = "document-conflicts"
	TableBehind        Name = "table-behind"
	ClaimsMade         Name = "claims-made"
	ClaimsRepeated     Name = "claims-repeated"
	ClaimsWithdrawn    Name = "claims-withdrawn"
)

// Row describes one counter.
type Row struct {
	Name Name
	// Label is the name of the counter's label. It is empty if the counter has none.
	Label string
	Help  string
}

// Table describes all counters.
var Table = []Row{
	{
		Name: Calls,
		Help: "requests from callers and from the local endpoint",
	},
	{
		Name: CallsFromNodes,
		Help: "requests that other nodes forwarded to this node",
	},
	{
		Name: EndpointRuns,
		Help: "requests sent to the local endpoint",
	},
	{
		Name: NodeTries,
		Help: "attempts at endpoints for requests of this node's callers: first attempts, retries and hedges",
	},
	{
		Name:  Refused,
		Label: "reason",
		Help:  "requests that were refused to their caller, by reason",
	},
	{
		Name:  RefusedHere,
		Label: "reason",
		Help:  "attempts that this node refused for the local endpoint, by reason",
	},
	{
		Name:  Retried,
		Label: "reason",
		Help:  "decisions after a failed attempt, by retry reason",
	},
	{
		Name: TruncatedResponses,
		Help: "responses that broke off after their first bytes were sent to the caller",
	},
	{
		Name: HedgesSent,
		Help: "hedges sent",
	},
	{
		Name: HedgesWon,
		Help: "hedges whose response came first",
	},
	{
		Name: Probes,
		Help: "health probes sent to the local endpoint",
	},
	{
		Name: ProbesFailed,
		Help: "health probes that failed",
	},
	{
		Name: MessagesSent,
		Help: "membership messages sent",
	},
	{
		Name: MessagesReceived,
		Help: "membership messages received",
	},
	{
		Name: MessageBytesSent,
		Help: "bytes in the membership messages sent",
	},
	{
		Name: MessagesRejected,
		Help: "membership messages dropped for lack of a valid authentication code",
	},
	{
		Name: TableReads,
		Help: "reads of the table service",
	},
	{
		Name: TableWrites,
		Help: "writes to the table service",
	},
	{
		Name: TableErrors,
		Help: "operations of the table service that failed, except for failed conditions",
	},
	{
		Name: ObjectReads,
		Help: "reads of the object store",
	},
	{
		Name: ObjectWrites,
		Help: "writes to the object store",
	},
	{
		Name: ObjectErrors,
		Help: "operations of the object store that failed, except for missing objects",
	},
	{
		Name: DocumentsApplied,
		Help: "document versions that took effect on this node",
	},
	{
		Name: DocumentConflicts,
		Help: "edits refused because another edit was accepted first",
	},
	{
		Name: TableBehind,
		Help: "reads in which the table held a lower revision than this node",
	},
	{
		Name: ClaimsMade,
		Help: "claims written for at-most-once requests",
	},
	{
		Name: ClaimsRepeated,
		Help: "at-most-once requests whose response came from the record of an earlier request with the same key",
	},
	{
		Name: ClaimsWithdrawn,
		Help: "claims withdrawn because the request did not run",
	},
}

// Counters holds one tally counter for each row of Table and each value of its label. Call
// Open before use. Afterwards all methods are safe for concurrent use.
type Counters struct {
	// RetryReasons are the label values of the counter Retried. Set them before Open.
	RetryReasons []string

	scope    tally.Scope
	plain    map[Name]tally.Counter
	labelled map[Name]map[string]tally.Counter
}

// Open creates all counters.
func (c *Counters) Open() {
	c.scope, _ = tally.NewRootScope(tally.ScopeOptions{}, 0)
	c.plain = make(map[Name]tally.Counter)
	c.labelled = make(map[Name]map[string]tally.Counter)
	for _, row := range Table {
		if row.Label == "" {
			c.plain[row.Name] = c.scope.Counter(string(row.Name))
			continue
		}
		values := make(map[string]tally.Counter)
		for _, v := range c.labelValues(row.Name) {
			values[v] = c.scope.Tagged(map[string]string{row.Label: v}).Counter(string(row.Name))
		}
		c.labelled[row.Name] = values
	}
}

// otherValue is the label value under which unknown values are counted, so that a message
// from a newer node can't add counters.
const otherValue = "other"

// labelValues returns the values of the label of a counter. Every label is a reason: a retry
// reason for Retried, a refusal reason otherwise.
func (c *Counters) labelValues(name Name) []string {
	values := []string{otherValue}
	if name == Retried {
		return append(values, c.RetryReasons...)
	}
	for _, row := range refuser.Table {
		values = append(values, string(row.Reason))
	}
	return values
}

// Add adds n to a counter that has no label.
func (c *Counters) Add(name Name, n int64) {
	c.plain[name].Inc(n)
}

// AddLabelled adds one to a counter for the given value of its label.
func (c *Counters) AddLabelled(name Name, value string) {
	values := c.labelled[name]
	counter, ok := values[value]
	if !ok {
		counter = values[otherValue]
	}
	counter.Inc(1)
}

// snapshotter is implemented by tally's scopes.
type snapshotter interface {
	Snapshot() tally.Snapshot
}

// Value returns the value of a counter for a label value, or zero if there is no such
// counter. label is empty if the counter has no label.
func (c *Counters) Value(name Name, label string) int64 {
	for _, s := range c.scope.(snapshotter).Snapshot().Counters() {
		if s.Name() != string(name) {
			continue
		}
		if label == "" && len(s.Tags()) == 0 {
			return s.Value()
		}
		for _, v := range s.Tags() {
			if v == label {
				return s.Value()
			}
		}
	}
	return 0
}

// WriteText writes all counters in the Prometheus text format. It replaces hyphens in names
// by underscores, because that format does not allow hyphens.
func (c *Counters) WriteText(w io.Writer) error {
	samples := make(map[Name][]string)
	for _, s := range c.scope.(snapshotter).Snapshot().Counters() {
		name := Name(s.Name())
		samples[name] = append(samples[name], formatSample(s))
	}
	for _, row := range Table {
		sort.Strings(samples[row.Name])
		metric := metricName(row.Name)
		_, err := fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n%s\n", metric, row.Help, metric, strings.Join(samples[row.Name], "\n"))
		if err != nil {
			return err
		}
	}
	return nil
}

func metricName(name Name) string {
	return "gentianlever_" + strings.ReplaceAll(string(name), "-", "_") + "_total"
}

// formatSample returns the line of the text format for one counter.
func formatSample(s tally.CounterSnapshot) string {
	metric := metricName(Name(s.Name()))
	for label, v := range s.Tags() {
		return fmt.Sprintf("%s{%s=%q} %d", metric, label, v, s.Value())
	}
	return fmt.Sprintf("%s %d", metric, s.Value())
}
