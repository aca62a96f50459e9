package validator

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
)

// Limits of the settings of a sidecar.
const (
	maxBoundsDuration = time.Hour
	maxRetrySlack     = 1e6
	maxRetryRatio     = 100
	maxResponseMemory = 1 << 30
	minLinkMegabits   = 0.1
	maxLinkMegabits   = 1e6
	// maxPipelinedRequests is far above what a node of the largest size can run at once.
	maxPipelinedRequests = 100_000
	// minPipelinedMemory has room for a connection that pipelines ten usual requests.
	minPipelinedMemory = 1 << 20
	// minMemory and maxMemory bound the memory of a process in megabytes, minDescriptors and
	// maxDescriptors the number of its file descriptors. Below the minimums a node can't run.
	minMemory      = 64
	maxMemory      = 1 << 20
	minDescriptors = 512
	maxDescriptors = 1 << 20
	megabyte       = 1_000_000
)

// DefaultPipelinedMemory is the value of PipelinedMemory if the settings have none: half of the default
// of ResponseMemory.
const DefaultPipelinedMemory = 8 << 20

// SidecarSettings holds the settings of a sidecar: a node that reads its routing table from the
// platform's store.
type SidecarSettings struct {
	// Name is the unique name of the node's VM.
	Name string
	// Service is the service of the local endpoint.
	Service string
	// AvailabilityZone is one of AvailabilityZones.
	AvailabilityZone  string
	AvailabilityZones []AvailabilityZone
	// CallersAddress receives requests from callers and from the local endpoint.
	CallersAddress netip.AddrPort
	// NodesAddress receives requests and messages from other nodes, over TCP and UDP.
	NodesAddress netip.AddrPort
	// LoadAddress receives load messages from other nodes, over UDP.
	LoadAddress netip.AddrPort
	// ReadyAddress serves readiness checks.
	ReadyAddress netip.AddrPort
	// ReportsAddress receives the reports of the local endpoint.
	ReportsAddress netip.AddrPort
	// MetricsAddress serves the metrics.
	MetricsAddress netip.AddrPort
	// EndpointAddress is the address of the local endpoint.
	EndpointAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// MembershipKey authenticates messages between nodes.
	MembershipKey  []byte
	OperatorLimits OperatorLimits
	// ResponseMemory is the total size, in bytes, of the response bodies above 64 KiB that the node
	// holds at one time for its callers, and the same again for its endpoint. The smaller bodies
	// may take as much.
	ResponseMemory int64
	// LinkMegabits is the bandwidth of the VM's link in Mbit/s, or zero if it is not known.
	LinkMegabits float64
	// PipelinedRequests is the number of pipelined requests that the node may have in progress before
	// their turn; zero means that it serves them one after another. PipelinedMemory is the memory, in
	// bytes, for requests and responses that wait for their turn; zero means
	// DefaultPipelinedMemory.
	PipelinedRequests int
	PipelinedMemory   int64
	// Memory is the memory in bytes that the process may take, and Descriptors the number of file
	// descriptors that it may open; zero if no limit is known.
	Memory      int64
	Descriptors int
	LogLevel    slog.Level
}

// OperatorLimits holds the limits agreed with the platform's operators.
type OperatorLimits struct {
	// Grace is the time between the stop signal and the killing of the process.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of a service over all
	// nodes: in each RetryWindow, the nodes together may send RetryRatio retries per request
	// plus RetrySlack retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// HedgeRatio is the number of hedges per first request of a service that all nodes together may
	// send, within the retry budget. If it is nil, only the retry budget limits hedges.
	HedgeRatio *float64
}

// Region returns the region of an availability zone, or "" if the zone is unknown.
func (s *SidecarSettings) Region(zone string) string { return regionOf(s.AvailabilityZones, zone) }

// addressField returns a required field with an IP address and port, which it stores in
// the field of SidecarSettings that target selects.
func addressField(name, help string, target func(s *SidecarSettings) *netip.AddrPort) field[SidecarSettings] {
	return field[SidecarSettings]{
		Field: Field{
			Name:     name,
			Type:     "address",
			Required: true,
			Help:     help,
		},
		set: func(v *value, s *SidecarSettings) { *target(s) = v.addrPort() },
	}
}

var sidecarFields = []field[SidecarSettings]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "unique name of the node's VM",
		},
		set: func(v *value, s *SidecarSettings) { s.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "service",
			Type:     "name",
			Required: true,
			Help:     "service of the local endpoint",
		},
		set: func(v *value, s *SidecarSettings) { s.Service = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zone",
			Type:     "name",
			Required: true,
			Help:     "the node's availability zone, one of availability-zones",
		},
		set: func(v *value, s *SidecarSettings) { s.AvailabilityZone = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zones",
			Type:     "list of objects",
			Required: true,
			Help:     "all availability zones, each with its region",
		},
		set: func(v *value, s *SidecarSettings) {
			s.AvailabilityZones = decodeList(v, func(v *value) AvailabilityZone { return decodeObject(v, zoneFields) })
		},
	},
	addressField("callers-address", "IP address and port for callers and the local endpoint",
		func(s *SidecarSettings) *netip.AddrPort { return &s.CallersAddress }),
	addressField("nodes-address", "IP address and port for other nodes, TCP and UDP",
		func(s *SidecarSettings) *netip.AddrPort { return &s.NodesAddress }),
	addressField("load-address", "IP address and port for load messages from other nodes, UDP",
		func(s *SidecarSettings) *netip.AddrPort { return &s.LoadAddress }),
	addressField("ready-address", "IP address and port for readiness checks",
		func(s *SidecarSettings) *netip.AddrPort { return &s.ReadyAddress }),
	addressField("reports-address", "IP address and port for the reports of the local endpoint",
		func(s *SidecarSettings) *netip.AddrPort { return &s.ReportsAddress }),
	addressField("metrics-address", "IP address and port of the metrics",
		func(s *SidecarSettings) *netip.AddrPort { return &s.MetricsAddress }),
	addressField("endpoint-address", "IP address and port of the local endpoint",
		func(s *SidecarSettings) *netip.AddrPort { return &s.EndpointAddress }),
	addressField("store-address", "IP address and port of the platform's store",
		func(s *SidecarSettings) *netip.AddrPort { return &s.StoreAddress }),
	{
		Field: Field{
			Name:     "membership-key",
			Type:     "base64",
			Required: true,
			Help:     "key of at least 32 bytes that authenticates messages between nodes",
		},
		set: func(v *value, s *SidecarSettings) { s.MembershipKey = v.base64(minMembershipKeyBytes) },
	},
	{
		Field: Field{
			Name:     "bounds",
			Type:     "object",
			Required: true,
			Help:     "limits agreed with the platform's operators",
		},
		set: func(v *value, s *SidecarSettings) { s.OperatorLimits = decodeObject(v, operatorLimitFields) },
	},
	{
		Field: Field{
			Name:    "response-memory",
			Type:    "integer",
			Default: strconv.Itoa(collector.DefaultLimit),
			Help:    "bytes of response bodies above 64 KiB that the node holds at one time for its callers, as much of smaller ones, and the same again for its endpoint; further ones wait to be read, from " + strconv.Itoa(collector.MaxBodyBytes) + " to " + strconv.Itoa(maxResponseMemory),
		},
		set: func(v *value, s *SidecarSettings) {
			s.ResponseMemory = v.integer(collector.MaxBodyBytes, maxResponseMemory)
		},
	},
	{
		Field: Field{
			Name: "link-mbps",
			Type: "number",
			Help: "bandwidth of the VM's link in Mbit/s; load messages to other availability zones use at most 1/400 of it; if it is not set, they are not limited",
		},
		set: func(v *value, s *SidecarSettings) { s.LinkMegabits = v.number(minLinkMegabits, maxLinkMegabits) },
	},
	{
		Field: Field{
			Name:    "pipelined-requests",
			Type:    "integer",
			Default: "0",
			Help:    "pipelined requests that the node may have in progress before the responses ahead of them have been sent, from 0 to " + strconv.Itoa(maxPipelinedRequests) + "; with 0 they are served one after another",
		},
		set: func(v *value, s *SidecarSettings) {
			s.PipelinedRequests = int(v.integer(0, maxPipelinedRequests))
		},
	},
	{
		Field: Field{
			Name:    "pipelined-memory",
			Type:    "integer",
			Default: strconv.Itoa(DefaultPipelinedMemory),
			Help:    "bytes of pipelined requests and of responses to them that wait for their turn; while they are used up, further ones are served one after another, from " + strconv.Itoa(minPipelinedMemory) + " to " + strconv.Itoa(maxResponseMemory),
		},
		set: func(v *value, s *SidecarSettings) {
			s.PipelinedMemory = v.integer(minPipelinedMemory, maxResponseMemory)
		},
	},
	{
		Field: Field{
			Name:    "memory",
			Type:    "integer",
			Default: "not limited",
			Help:    "memory that the process may take, in megabytes of 1,000,000 bytes; the bounds on request bodies, headers and connections are derived from it, from " + strconv.Itoa(minMemory) + " to " + strconv.Itoa(maxMemory),
		},
		set: func(v *value, s *SidecarSettings) { s.Memory = v.integer(minMemory, maxMemory) * megabyte },
	},
	{
		Field: Field{
			Name:    "descriptors",
			Type:    "integer",
			Default: "not limited",
			Help:    "file descriptors that the process may open; the bounds on connections are derived from it, from " + strconv.Itoa(minDescriptors) + " to " + strconv.Itoa(maxDescriptors),
		},
		set: func(v *value, s *SidecarSettings) { s.Descriptors = int(v.integer(minDescriptors, maxDescriptors)) },
	},
	{
		Field: Field{
			Name:    "log-level",
			Type:    "debug, info, warn or error",
			Default: "info",
			Help:    "minimum level of log lines",
		},
		set: func(v *value, s *SidecarSettings) { s.LogLevel = v.logLevel() },
	},
}

var operatorLimitFields = []field[OperatorLimits]{
	{
		Field: Field{
			Name:     "grace",
			Type:     "duration",
			Required: true,
			Help:     "time between the stop signal and the killing of the process",
		},
		set: func(v *value, l *OperatorLimits) { l.Grace = v.duration(maxBoundsDuration) },
	},
	{
		Field: Field{
			Name:     "retry-ratio",
			Type:     "number",
			Required: true,
			Help:     "retries to a service per request that all nodes together may send",
		},
		set: func(v *value, l *OperatorLimits) { l.RetryRatio = v.number(0, maxRetryRatio) },
	},
	{
		Field: Field{
			Name:     "retry-slack",
			Type:     "number",
			Required: true,
			Help:     "retries to a service that all nodes together may send in each retry-window in addition to retry-ratio",
		},
		set: func(v *value, l *OperatorLimits) { l.RetrySlack = v.number(0, maxRetrySlack) },
	},
	{
		Field: Field{
			Name:     "retry-window",
			Type:     "duration",
			Required: true,
			Help:     "time window over which requests and retries are counted",
		},
		set: func(v *value, l *OperatorLimits) { l.RetryWindow = v.duration(maxBoundsDuration) },
	},
	{
		Field: Field{
			Name: "hedge-ratio",
			Type: "number",
			Help: "hedges (second copies of slow requests that may run more than once) per first request of a service that all nodes together may send, from 0 to 1, within the retry budget; if it is not set, only the retry budget limits them, and a refused hedge is not sent to another endpoint",
		},
		set: func(v *value, l *OperatorLimits) {
			ratio := v.number(0, 1)
			l.HedgeRatio = &ratio
		},
	},
}

// number decodes a number from minimum to maximum, both inclusive.
func (v *value) number(minimum, maximum float64) float64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.errorf("%s is not a number", formatJSON(v.raw))
		return 0
	}
	f, err := number.Float64()
	if err != nil || f < minimum || f > maximum {
		v.errorf("%s is not between %g and %g", number, minimum, maximum)
		return 0
	}
	return f
}

// logLevel decodes the name of a log level.
func (v *value) logLevel() slog.Level {
	var level slog.Level
	if word := v.oneOf("debug", "info", "warn", "error"); word != "" {
		// This can't fail: the allowed words are slog's names of its levels.
		_ = level.UnmarshalText([]byte(word))
	}
	return level
}

// ParseSidecar decodes and validates the settings of a sidecar. file names the input in
// error messages. If the settings are invalid, the error is a *ValidationError with all
// errors found.
func ParseSidecar(file string, data []byte) (*SidecarSettings, error) {
	return parse("settings", file, data, sidecarFields, func(v *value, s *SidecarSettings) {
		if s.AvailabilityZone != "" && len(s.AvailabilityZones) > 0 && s.Region(s.AvailabilityZone) == "" {
			v.child("availability-zone", nil).errorf("%q is not one of availability-zones", s.AvailabilityZone)
		}
	})
}
