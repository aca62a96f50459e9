package validator

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"
)

// Limits of the settings of a sidecar.
const (
	maxPeriod = time.Hour
	maxSlack  = 1e6
	maxRatio  = 100
)

// Sidecar holds the settings of a node that serves a routing table from the platform's
// store.
type Sidecar struct {
	// Name is the unique name of the node's VM, and Service that of its endpoint.
	Name    string
	Service string
	// AvailabilityZone is one of AvailabilityZones.
	AvailabilityZone  string
	AvailabilityZones []AvailabilityZone
	// CallersAddress takes requests of callers and of the local endpoint.
	CallersAddress netip.AddrPort
	// NodesAddress takes requests and messages of other nodes, TCP and UDP.
	NodesAddress netip.AddrPort
	// LoadAddress takes load messages of other nodes, UDP.
	LoadAddress netip.AddrPort
	// ReadyAddress answers readiness checks.
	ReadyAddress netip.AddrPort
	// ReportsAddress takes the reports of the endpoint.
	ReportsAddress netip.AddrPort
	// MetricsAddress serves the metrics.
	MetricsAddress netip.AddrPort
	// EndpointAddress is the address of the node's endpoint.
	EndpointAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// MembershipKey authenticates messages between nodes.
	MembershipKey []byte
	Bounds        Bounds
	LogLevel      slog.Level
}

// Bounds are the figures that the platform's operators and the system agree on.
type Bounds struct {
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// RetryRatio is the number of repeated requests that all nodes together may send to a
	// service per request, and RetrySlack the number allowed besides in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Region returns the region of an availability zone, empty for an unknown one.
func (s *Sidecar) Region(zone string) string { return regionOf(s.AvailabilityZones, zone) }

// address is a field with an IP address and port.
func address(name, help string, place func(s *Sidecar) *netip.AddrPort) field[Sidecar] {
	return field[Sidecar]{
		Field: Field{
			Name:     name,
			Type:     "address",
			Required: true,
			Help:     help,
		},
		set: func(v *value, s *Sidecar) { *place(s) = v.addrPort() },
	}
}

var sidecarFields = []field[Sidecar]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "unique name of the node's VM",
		},
		set: func(v *value, s *Sidecar) { s.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "service",
			Type:     "name",
			Required: true,
			Help:     "service of the node's endpoint",
		},
		set: func(v *value, s *Sidecar) { s.Service = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zone",
			Type:     "name",
			Required: true,
			Help:     "the node's availability zone, one of availability-zones",
		},
		set: func(v *value, s *Sidecar) { s.AvailabilityZone = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zones",
			Type:     "list of objects",
			Required: true,
			Help:     "every availability zone (name) and its region",
		},
		set: func(v *value, s *Sidecar) {
			s.AvailabilityZones = list(v, func(v *value) AvailabilityZone { return object(v, zoneFields) })
		},
	},
	address("callers-address", "IP address and port for callers and the local endpoint",
		func(s *Sidecar) *netip.AddrPort { return &s.CallersAddress }),
	address("nodes-address", "IP address and port for other nodes, TCP and UDP",
		func(s *Sidecar) *netip.AddrPort { return &s.NodesAddress }),
	address("load-address", "IP address and port for load messages of other nodes, UDP",
		func(s *Sidecar) *netip.AddrPort { return &s.LoadAddress }),
	address("ready-address", "IP address and port for readiness checks",
		func(s *Sidecar) *netip.AddrPort { return &s.ReadyAddress }),
	address("reports-address", "IP address and port for the reports of the endpoint",
		func(s *Sidecar) *netip.AddrPort { return &s.ReportsAddress }),
	address("metrics-address", "IP address and port of the metrics",
		func(s *Sidecar) *netip.AddrPort { return &s.MetricsAddress }),
	address("endpoint-address", "IP address and port of the node's endpoint",
		func(s *Sidecar) *netip.AddrPort { return &s.EndpointAddress }),
	address("store-address", "IP address and port of the platform's store",
		func(s *Sidecar) *netip.AddrPort { return &s.StoreAddress }),
	{
		Field: Field{
			Name:     "membership-key",
			Type:     "base64",
			Required: true,
			Help:     "key of at least 32 bytes that authenticates messages between nodes",
		},
		set: func(v *value, s *Sidecar) { s.MembershipKey = v.base64(minMembershipKeyBytes) },
	},
	{
		Field: Field{
			Name:     "bounds",
			Type:     "object",
			Required: true,
			Help:     "figures agreed on with the platform's operators",
		},
		set: func(v *value, s *Sidecar) { s.Bounds = object(v, boundsFields) },
	},
	{
		Field: Field{
			Name:    "log-level",
			Type:    "debug, info, warn or error",
			Default: "info",
			Help:    "least level of log lines",
		},
		set: func(v *value, s *Sidecar) { s.LogLevel = v.level() },
	},
}

var boundsFields = []field[Bounds]{
	{
		Field: Field{
			Name:     "grace",
			Type:     "duration",
			Required: true,
			Help:     "time from the signal to stop until the process is killed",
		},
		set: func(v *value, b *Bounds) { b.Grace = v.duration(maxPeriod) },
	},
	{
		Field: Field{
			Name:     "retry-ratio",
			Type:     "number",
			Required: true,
			Help:     "repeated requests to a service per request, over all nodes",
		},
		set: func(v *value, b *Bounds) { b.RetryRatio = v.number(0, maxRatio) },
	},
	{
		Field: Field{
			Name:     "retry-slack",
			Type:     "number",
			Required: true,
			Help:     "repeated requests to a service that are allowed besides in each retry-window",
		},
		set: func(v *value, b *Bounds) { b.RetrySlack = v.number(0, maxSlack) },
	},
	{
		Field: Field{
			Name:     "retry-window",
			Type:     "duration",
			Required: true,
			Help:     "time over which repeated requests are counted",
		},
		set: func(v *value, b *Bounds) { b.RetryWindow = v.duration(maxPeriod) },
	},
}

// number reads a number between least and most.
func (v *value) number(least, most float64) float64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.fault("%s is not a number", show(v.raw))
		return 0
	}
	f, err := number.Float64()
	if err != nil || f < least || f > most {
		v.fault("%s is not between %g and %g", number, least, most)
		return 0
	}
	return f
}

// level reads the name of a log level.
func (v *value) level() slog.Level {
	var level slog.Level
	if word := v.oneOf("debug", "info", "warn", "error"); word != "" {
		// The words are slog's own names of its levels.
		_ = level.UnmarshalText([]byte(word))
	}
	return level
}

// ParseSidecar reads the settings of a sidecar. The error is a *FaultsError with every
// fault. file is the name of the input for messages.
func ParseSidecar(file string, data []byte) (*Sidecar, error) {
	return parse("settings", file, data, sidecarFields, func(v *value, s *Sidecar) {
		if s.AvailabilityZone != "" && len(s.AvailabilityZones) > 0 && s.Region(s.AvailabilityZone) == "" {
			v.child("availability-zone", nil).fault("%q is not one of availability-zones", s.AvailabilityZone)
		}
	})
}
