package recorder

// Event is the name of a log line, its msg.
type Event = string

// The events. Events describes each.
const (
	NodeStarted          Event = "node-started"
	NodeStopping         Event = "node-stopping"
	ListenerNotFinished  Event = "listener-not-finished"
	NodeStopped          Event = "node-stopped"
	NodeFailed           Event = "node-failed"
	HangupReceived       Event = "hangup-received"
	SettingsReloaded     Event = "settings-reloaded"
	SettingsUnreadable   Event = "settings-unreadable"
	SettingsFaulty       Event = "settings-faulty"
	SettingsNotTaken     Event = "settings-not-taken"
	MembershipStarted    Event = "membership-started"
	MembersChanged       Event = "members-changed"
	NodeSilent           Event = "node-silent"
	NodeHeard            Event = "node-heard"
	TableApplied         Event = "table-applied"
	TableUnavailable     Event = "table-unavailable"
	TableAvailable       Event = "table-available"
	StoreCallFailed      Event = "store-call-failed"
	StoreRegained        Event = "store-regained"
	EndpointChanged      Event = "endpoint-changed"
	ReportLate           Event = "report-late"
	ReportRejected       Event = "report-rejected"
	DepartureUnreadable  Event = "departure-unreadable"
	DeparturesUnknown    Event = "departures-unknown"
	DepartureNotRecorded Event = "departure-not-recorded"
	ProbeFailed          Event = "probe-failed"
	RequestMalformed     Event = "request-malformed"
	RequestQuarantined   Event = "request-quarantined"
	CallerRequest        Event = "caller-request"
	EndpointRequest      Event = "endpoint-request"
	LogLinesDropped      Event = "log-lines-dropped"
)

// EventRow describes one event.
type EventRow struct {
	Name Event
	// Fields are the fields of the line besides time, level and msg.
	Fields []string
	Help   string
}

// Events lists every event.
var Events = []EventRow{
	{
		Name:   NodeStarted,
		Fields: []string{"node", "service", "zone", "incarnation", "callers"},
		Help:   "the process listens on all addresses",
	},
	{
		Name:   NodeStopping,
		Fields: []string{"grace"},
		Help:   "the signal to stop has come; the node is no longer ready and other nodes stop sending work",
	},
	{
		Name:   ListenerNotFinished,
		Fields: []string{"address", "error"},
		Help:   "requests of a listener were still open at the end of the grace time and were cut",
	},
	{
		Name:   NodeStopped,
		Fields: []string{"took"},
		Help:   "everything in flight is finished",
	},
	{
		Name:   NodeFailed,
		Fields: []string{"error"},
		Help:   "the node could not start or go on",
	},
	{
		Name: HangupReceived,
		Help: "the signal to read the settings again has come",
	},
	{
		Name:   SettingsReloaded,
		Fields: []string{"store", "grace", "retry-ratio", "retry-slack"},
		Help:   "changed settings are in force",
	},
	{
		Name:   SettingsUnreadable,
		Fields: []string{"file", "error"},
		Help:   "the settings file could not be read; the settings in force stay",
	},
	{
		Name:   SettingsFaulty,
		Fields: []string{"file", "error"},
		Help:   "the settings have faults; those in force stay",
	},
	{
		Name:   SettingsNotTaken,
		Fields: []string{"file"},
		Help:   "the node is shutting down and takes no settings",
	},
	{
		Name: MembershipStarted,
		Help: "messages between nodes are sent and received",
	},
	{
		Name:   MembersChanged,
		Fields: []string{"count", "members"},
		Help:   "what is known of the members has changed; each entry has name, start and state",
	},
	{
		Name:   NodeSilent,
		Fields: []string{"peer", "incarnation", "address"},
		Help:   "another node leaves requests and questions without an answer; it gets no new requests and those that may run again go elsewhere",
	},
	{
		Name:   NodeHeard,
		Fields: []string{"peer", "incarnation", "address"},
		Help:   "a node that was silent is heard again",
	},
	{
		Name:   TableApplied,
		Fields: []string{"version", "source", "routes"},
		Help:   "a version of the routing table is in force; source is the store or a member",
	},
	{
		Name:   TableUnavailable,
		Fields: []string{"operation", "version", "error"},
		Help:   "a read, wait, fetch or decoding of the routing table failed; the version in force stays",
	},
	{
		Name:   TableAvailable,
		Fields: []string{"operation", "version"},
		Help:   "the first success after table-unavailable",
	},
	{
		Name:   StoreCallFailed,
		Fields: []string{"operation", "outcome", "first", "error"},
		Help:   "a call of the store failed; outcome says whether it may have taken effect, first whether the call before had succeeded",
	},
	{
		Name:   StoreRegained,
		Fields: []string{"operation"},
		Help:   "the first call of the store that succeeded after a failed one",
	},
	{
		Name:   EndpointChanged,
		Fields: []string{"endpoint", "started", "sequence", "draining", "left", "slots", "version", "before"},
		Help:   "the endpoint started, drains, left, or takes requests again; before is the ID known until then",
	},
	{
		Name:   ReportLate,
		Fields: []string{"endpoint", "started", "sequence", "known", "known-started", "known-sequence"},
		Help:   "a report of an older start or sequence came and was dropped",
	},
	{
		Name:   ReportRejected,
		Fields: []string{"endpoint", "error"},
		Help:   "a report could not be read or is not genuine",
	},
	{
		Name:   DepartureUnreadable,
		Fields: []string{"row"},
		Help:   "a row of a departed endpoint could not be read",
	},
	{
		Name:   DeparturesUnknown,
		Fields: []string{"after"},
		Help:   "the rows of departed endpoints could not be read in time; the endpoint is used without them",
	},
	{
		Name:   DepartureNotRecorded,
		Fields: []string{"endpoint", "error"},
		Help:   "a departure is in force but its row could not be written",
	},
	{
		Name:   ProbeFailed,
		Fields: []string{"error"},
		Help:   "a health probe of the endpoint failed",
	},
	{
		Name:   RequestMalformed,
		Fields: []string{"reason"},
		Help:   "a request was refused before it was read, because its length could be read in two ways",
	},
	{
		Name:   RequestQuarantined,
		Fields: []string{"id", "fingerprint"},
		Help:   "a request crashed endpoints and is kept from others",
	},
	{
		Name:   CallerRequest,
		Fields: []string{"id", "route", "service", "table", "attempt", "nested", "ran", "detail", "outcome", "status", "endpoint", "served", "attempts"},
		Help:   "outcome of a request at its first node; attempts has for each the node, the expected time, the age and figures of the load that decided it, the time taken and the outcome",
	},
	{
		Name:   EndpointRequest,
		Fields: []string{"id", "route", "service", "table", "attempt", "nested", "ran", "detail", "outcome", "status", "endpoint", "served", "verdict", "expected-wait", "expected-work", "waited", "slowness", "slowness-age", "running", "queued", "target-left-us", "time-left-us", "final"},
		Help:   "decision and outcome of a request at the node beside the endpoint; times are in nanoseconds",
	},
	{
		Name:   LogLinesDropped,
		Fields: []string{"count"},
		Help:   "lines were dropped because the buffer was full; ordinary ones go first",
	},
}
