// Package counter holds the table of counters and serves their values.
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

// The counters. Table describes each.
const (
	Calls             Name = "calls"
	CallsFromNodes    Name = "calls-from-nodes"
	EndpointRuns      Name = "endpoint-runs"
	NodeTries         Name = "node-tries"
	Refused           Name = "refused"
	RefusedHere       Name = "refused-here"
	Retried           Name = "retried"
	TruncatedAnswers  Name = "truncated-answers"
	HedgesSent        Name = "hedges-sent"
	HedgesWon         Name = "hedges-won"
	Probes            Name = "probes"
	ProbesFailed      Name = "probes-failed"
	MessagesSent      Name = "messages-sent"
	MessagesReceived  Name = "messages-received"
	MessageBytesSent  Name = "message-bytes-sent"
	MessagesRejected  Name = "messages-rejected"
	TableReads        Name = "table-reads"
	TableWrites       Name = "table-writes"
	TableErrors       Name = "table-errors"
	ObjectReads       Name = "object-reads"
	ObjectWrites      Name = "object-writes"
	ObjectErrors      Name = "object-errors"
	DocumentsApplied  Name = "documents-applied"
	DocumentConflicts Name = "document-conflicts"
	TableBehind       Name = "table-behind"
	ClaimsMade        Name = "claims-made"
	ClaimsRepeated    Name = "claims-repeated"
	ClaimsWithdrawn   Name = "claims-withdrawn"
)

// Row describes one counter.
type Row struct {
	Name Name
	// Label is the name of the counter's label; empty for none.
	Label string
	Help  string
}

// Table lists every counter.
var Table = []Row{
	{
		Name: Calls,
		Help: "calls of callers and of the local endpoint",
	},
	{
		Name: CallsFromNodes,
		Help: "calls that other nodes forwarded to this node's endpoint",
	},
	{
		Name: EndpointRuns,
		Help: "requests sent to this node's endpoint",
	},
	{
		Name: NodeTries,
		Help: "attempts of this node's callers' calls, first ones and later ones",
	},
	{
		Name:  Refused,
		Label: "reason",
		Help:  "calls that ended in a refusal towards their caller, by reason",
	},
	{
		Name:  RefusedHere,
		Label: "reason",
		Help:  "attempts that this node's endpoint side refused, by reason",
	},
	{
		Name:  Retried,
		Label: "reason",
		Help:  "decisions after a failed attempt, by retry reason",
	},
	{
		Name: TruncatedAnswers,
		Help: "answers that broke off after their first byte went to the caller",
	},
	{
		Name: HedgesSent,
		Help: "second copies sent",
	},
	{
		Name: HedgesWon,
		Help: "second copies that answered first",
	},
	{
		Name: Probes,
		Help: "health probes sent to this node's endpoint",
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
		Help: "bytes of the membership messages sent",
	},
	{
		Name: MessagesRejected,
		Help: "membership messages without a valid authentication code",
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
		Help: "operations of the table service that failed, conditions aside",
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
		Help: "operations of the object store that failed, missing objects aside",
	},
	{
		Name: DocumentsApplied,
		Help: "document versions put in force on this node",
	},
	{
		Name: DocumentConflicts,
		Help: "edits refused because another edit was accepted first",
	},
	{
		Name: TableBehind,
		Help: "times the table held a lower revision than this node",
	},
	{
		Name: ClaimsMade,
		Help: "claims of at-most-once requests written",
	},
	{
		Name: ClaimsRepeated,
		Help: "at-most-once requests answered from the record of an earlier send",
	},
	{
		Name: ClaimsWithdrawn,
		Help: "claims given up because the request did not run",
	},
}

// Counters holds one tally counter for each row of the table and each label
// value. Call Open before use; afterwards all methods are safe for concurrent use.
type Counters struct {
	// RetryReasons are the label values of the retried counter.
	RetryReasons []string

	scope    tally.Scope
	plain    map[Name]tally.Counter
	labelled map[Name]map[string]tally.Counter
}

// Open creates the counters.
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

// otherLabel counts label values that the table does not list, so that a message of
// a newer node can't grow the set of counters.
const otherLabel = "other"

func (c *Counters) labelValues(name Name) []string {
	values := []string{otherLabel}
	if name == Retried {
		return append(values, c.RetryReasons...)
	}
	for _, row := range refuser.Table {
		values = append(values, string(row.Reason))
	}
	return values
}

// Add adds n to a counter without label.
func (c *Counters) Add(name Name, n int64) {
	c.plain[name].Inc(n)
}

// AddLabelled adds one to a counter with a label value.
func (c *Counters) AddLabelled(name Name, value string) {
	values := c.labelled[name]
	counter, ok := values[value]
	if !ok {
		counter = values[otherLabel]
	}
	counter.Inc(1)
}

// snapshotter is implemented by tally's scopes.
type snapshotter interface {
	Snapshot() tally.Snapshot
}

// Value returns the value of a counter; label is empty for a counter without one.
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

// WriteText writes all counters in Prometheus' text format. Hyphens become
// underscores, which that format requires.
func (c *Counters) WriteText(w io.Writer) error {
	lines := make(map[Name][]string)
	for _, s := range c.scope.(snapshotter).Snapshot().Counters() {
		name := Name(s.Name())
		lines[name] = append(lines[name], sample(s))
	}
	for _, row := range Table {
		sort.Strings(lines[row.Name])
		metric := metricName(row.Name)
		_, err := fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n%s\n", metric, row.Help, metric, strings.Join(lines[row.Name], "\n"))
		if err != nil {
			return err
		}
	}
	return nil
}

func metricName(name Name) string {
	return "gentianlever_" + strings.ReplaceAll(string(name), "-", "_") + "_total"
}

func sample(s tally.CounterSnapshot) string {
	metric := metricName(Name(s.Name()))
	for label, v := range s.Tags() {
		return fmt.Sprintf("%s{%s=%q} %d", metric, label, v, s.Value())
	}
	return fmt.Sprintf("%s %d", metric, s.Value())
}
