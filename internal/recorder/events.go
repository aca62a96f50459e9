package recorder

// Event identifies the kind of a log line. It is written in the field msg.
type Event = string

// The events. Events describes each of them.
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
	TableAnnounced       Event = "table-announced"
	TableTransferred     Event = "table-transferred"
	TableApplied         Event = "table-applied"
	TableUnavailable     Event = "table-unavailable"
	TableAvailable       Event = "table-available"
	StoreCallFailed      Event = "store-call-failed"
	StoreRegained        Event = "store-regained"
	StoreRestored        Event = "store-restored"
	RowsRewritten        Event = "rows-rewritten"
	EndpointChanged      Event = "endpoint-changed"
	ReportLate           Event = "report-late"
	ReportRejected       Event = "report-rejected"
	DepartureUnreadable  Event = "departure-unreadable"
	DeparturesUnknown    Event = "departures-unknown"
	DepartureNotRecorded Event = "departure-not-recorded"
	DepartureRecorded    Event = "departure-recorded"
	DepartureUnconfirmed Event = "departure-unconfirmed"
	DepartureNotCopied   Event = "departure-not-copied"
	DeparturesReturned   Event = "departures-returned"
	DeparturesRestored   Event = "departures-restored"
	ProbeFailed          Event = "probe-failed"
	RateLimitChanged     Event = "rate-limit-changed"
	ColdChanged          Event = "cold-changed"
	ZonesEvacuated       Event = "zones-evacuated"
	EvacuationNotPassed  Event = "evacuation-not-passed"
	RequestMalformed     Event = "request-malformed"
	ConnectionsClosed    Event = "connections-closed"
	RequestQuarantined   Event = "request-quarantined"
	RequestSuspected     Event = "request-suspected"
	SuspectCleared       Event = "suspect-cleared"
	QuotaLimited         Event = "quota-limited"
	RequestRelayed       Event = "request-relayed"
	CallerRequest        Event = "caller-request"
	EndpointRequest      Event = "endpoint-request"
	LogLinesDropped      Event = "log-lines-dropped"
)

// EventRow describes one event.
type EventRow struct {
	Name Event
	// Fields lists the fields of the line in addition to time, level and msg.
	Fields []string
	Help   string
}

// Events describes all events.
var Events = []EventRow{
	{
		Name:   NodeStarted,
		Fields: []string{"node", "service", "zone", "incarnation", "callers"},
		Help:   "the process listens on all addresses",
	},
	{
		Name:   NodeStopping,
		Fields: []string{"grace"},
		Help:   "the process received the stop signal; the node reports that it is not ready, and other nodes stop sending requests",
	},
	{
		Name:   ListenerNotFinished,
		Fields: []string{"address", "error"},
		Help:   "requests of a listener were still in flight at the end of the grace time and were aborted",
	},
	{
		Name:   NodeStopped,
		Fields: []string{"took"},
		Help:   "the node has shut down; all requests in flight have finished or were aborted",
	},
	{
		Name:   NodeFailed,
		Fields: []string{"error"},
		Help:   "the node could not start or continue",
	},
	{
		Name: HangupReceived,
		Help: "the process received the signal to reload the settings",
	},
	{
		Name:   SettingsReloaded,
		Fields: []string{"store", "grace", "retry-ratio", "retry-slack"},
		Help:   "changed settings are in effect",
	},
	{
		Name:   SettingsUnreadable,
		Fields: []string{"file", "error"},
		Help:   "the settings file could not be read; the current settings stay in effect",
	},
	{
		Name:   SettingsFaulty,
		Fields: []string{"file", "error"},
		Help:   "the settings are invalid; the current settings stay in effect",
	},
	{
		Name:   SettingsNotTaken,
		Fields: []string{"file"},
		Help:   "the node is shutting down and ignores changed settings",
	},
	{
		Name: MembershipStarted,
		Help: "the node sends and receives membership messages",
	},
	{
		Name:   MembersChanged,
		Fields: []string{"count", "members"},
		Help:   "the list of known members has changed; each entry has name, start and state",
	},
	{
		Name:   NodeSilent,
		Fields: []string{"peer", "incarnation", "address", "last-heard", "last-heard-any", "outstanding"},
		Help:   "another node does not respond to requests or liveness probes; it gets no new requests, and those in flight that may run again are hedged at other nodes; last-heard is the time since its last message (negative if there was none), last-heard-any the time since the last message of any other node, which is long if the fault is on this side, and outstanding the number of attempts in flight there",
	},
	{
		Name:   NodeHeard,
		Fields: []string{"peer", "incarnation", "address"},
		Help:   "an unresponsive node responds again",
	},
	{
		Name:   TableAnnounced,
		Fields: []string{"member", "version", "current"},
		Help:   "a member announced a version of the routing table that is higher than each one announced before",
	},
	{
		Name:   TableTransferred,
		Fields: []string{"operation", "source", "bytes", "took", "error"},
		Help:   "a transfer of the routing table from the store or a member ended; bytes is the size of the table, or of its compressed difference that a member sent, and error says after how many bytes a failed transfer ended",
	},
	{
		Name:   TableApplied,
		Fields: []string{"version", "source", "routes"},
		Help:   "a version of the routing table is in effect; source is the store or a member",
	},
	{
		Name:   TableUnavailable,
		Fields: []string{"operation", "version", "error"},
		Help:   "a read, wait, fetch, decoding or encoding of the routing table failed; the current version stays in effect",
	},
	{
		Name:   TableAvailable,
		Fields: []string{"operation", "version"},
		Help:   "the routing table is available again; the first success after table-unavailable",
	},
	{
		Name:   StoreCallFailed,
		Fields: []string{"operation", "outcome", "first", "error"},
		Help:   "a call of the store failed; outcome says whether it may have taken effect, and first is true if the previous call succeeded",
	},
	{
		Name:   StoreRegained,
		Fields: []string{"operation"},
		Help:   "a call of the store succeeded after a failed one",
	},
	{
		Name:   StoreRestored,
		Fields: []string{"before", "era", "source", "version"},
		Help:   "the store was restored from an older copy: its era, as the store or a member states it, is higher than before; version is the active routing table's",
	},
	{
		Name:   RowsRewritten,
		Fields: []string{"era", "rows", "error"},
		Help:   "the node wrote its member's row and the known departures again after a restore of the store; rows counts those that the store confirmed, and error is empty if all were",
	},
	{
		Name:   EndpointChanged,
		Fields: []string{"endpoint", "started", "sequence", "draining", "left", "slots", "version", "before"},
		Help:   "the endpoint started, is draining or departed; before is the ID of the endpoint known until then",
	},
	{
		Name:   ReportLate,
		Fields: []string{"endpoint", "started", "sequence", "known", "known-started", "known-sequence"},
		Help:   "a report that is not newer than the last one, by start and sequence, was dropped",
	},
	{
		Name:   ReportRejected,
		Fields: []string{"endpoint", "error"},
		Help:   "a report could not be decoded, named another service or address than the settings, or had no positive number of slots",
	},
	{
		Name:   DepartureUnreadable,
		Fields: []string{"row"},
		Help:   "a departure could not be decoded; row is its key in the store, or the address of the member that sent it",
	},
	{
		Name:   DeparturesUnknown,
		Fields: []string{"after"},
		Help:   "the rows of departed endpoints could not be read in time; the endpoint is used without checking them until they can be read, by this node or through a member (departures-restored)",
	},
	{
		Name:   DepartureNotRecorded,
		Fields: []string{"endpoint", "attempt", "error"},
		Help:   "a departure is in effect, but its row could not be written; the write is repeated until it succeeds",
	},
	{
		Name:   DepartureRecorded,
		Fields: []string{"endpoint", "attempt"},
		Help:   "the row of a departure was written",
	},
	{
		Name:   DepartureUnconfirmed,
		Fields: []string{"endpoint", "error"},
		Help:   "the endpoint got status 503 for a departure: the store has not taken its row in time, and the departure is in effect and is confirmed when the endpoint repeats it after departure-recorded; or it is older than the endpoint's last report, and not in effect",
	},
	{
		Name:   DepartureNotCopied,
		Fields: []string{"endpoint", "error"},
		Help:   "no other member has taken a copy of a departure; if its row can't be written either, a restart of the node forgets it",
	},
	{
		Name:   DeparturesReturned,
		Fields: []string{"member", "departures", "error"},
		Help:   "the node returned the copies of a member's departures after the member's restart; error is empty if they arrived, else they are sent again",
	},
	{
		Name:   DeparturesRestored,
		Fields: []string{"source", "departures"},
		Help:   "departures from before the start took effect: all that the store had, read by this node (source store) or through a member (source member), or one that another member kept (its address)",
	},
	{
		Name:   ProbeFailed,
		Fields: []string{"error"},
		Help:   "a health probe of the endpoint failed",
	},
	{
		Name:   RateLimitChanged,
		Fields: []string{"before", "limit", "error"},
		Help:   "the endpoint states another limit of requests a second in its responses, or none; error is set for an invalid one, which changes nothing",
	},
	{
		Name:   ColdChanged,
		Fields: []string{"cause", "cold", "for", "since-sign", "accepted", "rate"},
		Help:   "the endpoint states that it is cold or no longer is (cause report or health-check), or a sign lets it count as cold until it states otherwise; for is the time left, since-sign the age of the last sign, accepted the requests sent to it in the last second and rate the requests a second that it tolerates",
	},
	{
		Name:   ZonesEvacuated,
		Fields: []string{"zones", "before", "age", "era", "position", "changed", "source"},
		Help:   "the set of evacuated availability zones has changed; before was known for age. era, position and changed order the sets: position is that of the store's history up to which the set holds, changed that of the last known change",
	},
	{
		Name:   EvacuationNotPassed,
		Fields: []string{"member", "error"},
		Help:   "the evacuated zones could not be exchanged with a member, or its statement is not valid; the node learns of them from another one",
	},
	{
		Name:   RequestMalformed,
		Fields: []string{"reason"},
		Help:   "a request was refused and its connection closed, because its headers or the lines of its chunked body gave an invalid or ambiguous length",
	},
	{
		Name:   ConnectionsClosed,
		Fields: []string{"address", "reason", "count", "open", "limit"},
		Help:   "count connections of an address were closed or not accepted since the last such line, at most two lines a second for each reason; open are those left, of the limit that follows from the settings memory and descriptors",
	},
	{
		Name:   RequestQuarantined,
		Fields: []string{"id", "fingerprint"},
		Help:   "a request was refused, because it crashed an endpoint or is suspected to have done so",
	},
	{
		Name:   RequestSuspected,
		Fields: []string{"fingerprint", "crash", "suspected", "trial"},
		Help:   "a crash of the endpoint broke a run of a request; crash numbers the crashes of the endpoint, suspected is true if the request was a suspect when it was sent, and trial is the node whose endpoint may run it next",
	},
	{
		Name:   SuspectCleared,
		Fields: []string{"fingerprint"},
		Help:   "a request that was suspected of a crash has succeeded and is accepted by all nodes again",
	},
	{
		Name:   QuotaLimited,
		Fields: []string{"workspace", "limited", "share", "demand", "rate", "level", "fraction"},
		Help:   "at the node that accounts for a workspace: the nodes begin (limited true) or cease to refuse its requests; demand is in requests a second, level the requests left in its token bucket, and fraction the part of the recently known members that the node reaches",
	},
	{
		Name:   RequestRelayed,
		Fields: []string{"id", "node", "from", "last-heard", "status", "outcome", "detail", "took"},
		Help:   "the request of another node was passed on to the node beside an endpoint, which the sender does not reach, or refused; last-heard is the age of that node's last message, negative if there was none",
	},
	{
		Name:   CallerRequest,
		Fields: []string{"id", "route", "service", "table", "attempt", "nested", "workspace", "early", "ran", "detail", "outcome", "status", "endpoint", "served", "no-retry", "no-hedge", "pipelined", "attempts"},
		Help:   "outcome of a request at its first node; early is set if its caller did not wait for the Retry-After of an earlier refusal; no-retry says why no attempt followed the last one, no-hedge why an attempt that took long was not hedged; pipelined says how a request was started that arrived before the response to an earlier one on its connection (early, or the reason why it waited for its turn); attempts lists for each attempt the node, the time since the arrival of the request, the expected time, the load data used to select the node with their age, the time taken, the outcome, \"hedge\" for a second copy of a request that takes long, and \"unresponsive\" if the node left probes unanswered meanwhile",
	},
	{
		Name:   EndpointRequest,
		Fields: []string{"id", "route", "service", "table", "attempt", "nested", "workspace", "early", "ran", "detail", "outcome", "status", "endpoint", "served", "verdict", "expected-wait", "expected-work", "waited", "slowness", "slowness-age", "running", "queued", "ahead", "displaced", "target-left-us", "time-left-us", "final", "used", "share"},
		Help:   "decision and outcome of a request at the node of its endpoint; ahead counts the queued requests that went before it, displaced those that it displaced; used is the service time that its workspace had consumed there, decayed to the time of the decision, and share the part of the capacity that is its share; times are in nanoseconds unless their name ends in -us",
	},
	{
		Name:   LogLinesDropped,
		Fields: []string{"count"},
		Help:   "log lines were dropped because the buffer was too full; lines below warn are dropped first",
	},
}
