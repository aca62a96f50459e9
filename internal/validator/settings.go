package validator

import (
	"encoding/base64"
	"encoding/hex"
	"log/slog"
	"net/netip"
	"time"
)

// Limits and defaults of settings.
const (
	minMembershipKeyBytes = 32
	defaultZoneDistance   = time.Millisecond
	defaultRegionDistance = 30 * time.Millisecond
	maxRoundTripTime      = time.Second
	// maxExpectedNodes limits the time over which the first reads of the table are spread,
	// and which grows with ExpectedNodes, to about 8 minutes.
	maxExpectedNodes = 10000
)

// Settings is the configuration that a node reads once, when it starts.
type Settings struct {
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
	// AdminAddress serves the administration API and the counters.
	AdminAddress netip.AddrPort
	// EndpointAddress is the address of the local endpoint.
	EndpointAddress netip.AddrPort
	// Seeds are the NodesAddresses of the nodes that this node contacts first. It finds the
	// others in the table.
	Seeds []netip.AddrPort
	// ExpectedNodes is the approximate number of nodes in the system. Zero means a few.
	ExpectedNodes int
	Platform      Platform
	// MembershipKey authenticates messages between nodes.
	MembershipKey []byte
	Owners        []Owner
	// ZoneDistance is the round-trip time between availability zones of a region.
	ZoneDistance time.Duration
	// RegionDistance is the round-trip time between regions.
	RegionDistance time.Duration
	LogLevel       slog.Level
}

// AvailabilityZone names an availability zone and its region.
type AvailabilityZone struct {
	Name   string
	Region string
}

// Platform holds the addresses and credentials of the table service and the object store.
type Platform struct {
	TableURL   string
	Table      string
	ObjectsURL string
	Bucket     string
	Region     string
	AccessKey  string
	SecretKey  string
}

// Owner is a team and the SHA-256 digest of its token.
type Owner struct {
	Name        string
	TokenSHA256 [32]byte
}

// Region returns the region of an availability zone, or "" if the zone is unknown.
func (s *Settings) Region(zone string) string { return regionOf(s.AvailabilityZones, zone) }

func regionOf(zones []AvailabilityZone, name string) string {
	for _, z := range zones {
		if z.Name == name {
			return z.Region
		}
	}
	return ""
}

// Distance returns the round-trip time to an availability zone. It is zero for the node's
// own zone.
func (s *Settings) Distance(zone string) time.Duration {
	switch {
	case zone == s.AvailabilityZone:
		return 0
	case s.Region(zone) == s.Region(s.AvailabilityZone):
		return s.ZoneDistance
	default:
		return s.RegionDistance
	}
}

var settingsFields = []field[Settings]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "unique name of the node's VM",
		},
		set: func(v *value, s *Settings) { s.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "service",
			Type:     "name",
			Required: true,
			Help:     "service of the local endpoint",
		},
		set: func(v *value, s *Settings) { s.Service = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zone",
			Type:     "name",
			Required: true,
			Help:     "the node's availability zone, one of availability-zones",
		},
		set: func(v *value, s *Settings) { s.AvailabilityZone = v.name() },
	},
	{
		Field: Field{
			Name:     "availability-zones",
			Type:     "list of objects",
			Required: true,
			Help:     "all availability zones, each with its region",
		},
		set: func(v *value, s *Settings) {
			s.AvailabilityZones = decodeList(v, func(v *value) AvailabilityZone { return decodeObject(v, zoneFields) })
		},
	},
	{
		Field: Field{
			Name:     "callers-address",
			Type:     "address",
			Required: true,
			Help:     "IP address and port for callers and the local endpoint",
		},
		set: func(v *value, s *Settings) { s.CallersAddress = v.addrPort() },
	},
	{
		Field: Field{
			Name:     "nodes-address",
			Type:     "address",
			Required: true,
			Help:     "IP address and port for other nodes, TCP and UDP",
		},
		set: func(v *value, s *Settings) { s.NodesAddress = v.addrPort() },
	},
	{
		Field: Field{
			Name:     "admin-address",
			Type:     "address",
			Required: true,
			Help:     "IP address and port of the administration API and the counters",
		},
		set: func(v *value, s *Settings) { s.AdminAddress = v.addrPort() },
	},
	{
		Field: Field{
			Name:     "endpoint-address",
			Type:     "address",
			Required: true,
			Help:     "IP address and port of the local endpoint",
		},
		set: func(v *value, s *Settings) { s.EndpointAddress = v.addrPort() },
	},
	{
		Field: Field{
			Name: "seeds",
			Type: "list of addresses",
			Help: "nodes-address of each node to contact first; the others are found in the table",
		},
		set: func(v *value, s *Settings) { s.Seeds = decodeList(v, (*value).addrPort) },
	},
	{
		Field: Field{
			Name: "expected-nodes",
			Type: "integer",
			Help: "approximate number of nodes in the system; the first reads of the table are spread over a time that grows with it, because all nodes may start at once",
		},
		set: func(v *value, s *Settings) { s.ExpectedNodes = int(v.integer(1, maxExpectedNodes)) },
	},
	{
		Field: Field{
			Name:     "platform",
			Type:     "object",
			Required: true,
			Help:     "table service and object store",
		},
		set: func(v *value, s *Settings) { s.Platform = decodeObject(v, platformFields) },
	},
	{
		Field: Field{
			Name:     "membership-key",
			Type:     "base64",
			Required: true,
			Help:     "key of at least 32 bytes that authenticates messages between nodes",
		},
		set: func(v *value, s *Settings) { s.MembershipKey = v.base64(minMembershipKeyBytes) },
	},
	{
		Field: Field{
			Name: "owners",
			Type: "list of objects",
			Help: "teams that own documents, each with the digest of its token",
		},
		set: func(v *value, s *Settings) {
			s.Owners = decodeList(v, func(v *value) Owner { return decodeObject(v, ownerFields) })
		},
	},
	{
		Field: Field{
			Name:    "zone-distance",
			Type:    "duration",
			Default: defaultZoneDistance.String(),
			Help:    "round-trip time between availability zones of a region",
		},
		set: func(v *value, s *Settings) { s.ZoneDistance = v.duration(maxRoundTripTime) },
	},
	{
		Field: Field{
			Name:    "region-distance",
			Type:    "duration",
			Default: defaultRegionDistance.String(),
			Help:    "round-trip time between regions",
		},
		set: func(v *value, s *Settings) { s.RegionDistance = v.duration(maxRoundTripTime) },
	},
	{
		Field: Field{
			Name:    "log-level",
			Type:    "debug, info, warn or error",
			Default: "info",
			Help:    "minimum level of log lines",
		},
		set: func(v *value, s *Settings) { s.LogLevel = v.logLevel() },
	},
}

var zoneFields = []field[AvailabilityZone]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "name of the availability zone",
		},
		set: func(v *value, z *AvailabilityZone) { z.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "region",
			Type:     "name",
			Required: true,
			Help:     "region of the availability zone",
		},
		set: func(v *value, z *AvailabilityZone) { z.Region = v.name() },
	},
}

var platformFields = []field[Platform]{
	{
		Field: Field{
			Name:     "table-url",
			Type:     "URL",
			Required: true,
			Help:     "URL of the DynamoDB API of the table service",
		},
		set: func(v *value, p *Platform) { p.TableURL = v.httpURL() },
	},
	{
		Field: Field{
			Name:     "table",
			Type:     "string",
			Required: true,
			Help:     "name of the table, which has the string keys pk and sk",
		},
		set: func(v *value, p *Platform) { p.Table = v.nonEmptyString() },
	},
	{
		Field: Field{
			Name:     "objects-url",
			Type:     "URL",
			Required: true,
			Help:     "URL of the S3 API of the object store",
		},
		set: func(v *value, p *Platform) { p.ObjectsURL = v.httpURL() },
	},
	{
		Field: Field{
			Name:     "bucket",
			Type:     "string",
			Required: true,
			Help:     "bucket in the object store",
		},
		set: func(v *value, p *Platform) { p.Bucket = v.nonEmptyString() },
	},
	{
		Field: Field{
			Name:     "region",
			Type:     "string",
			Required: true,
			Help:     "region name used in request signatures",
		},
		set: func(v *value, p *Platform) { p.Region = v.nonEmptyString() },
	},
	{
		Field: Field{
			Name:     "access-key",
			Type:     "string",
			Required: true,
			Help:     "access key for the table service and the object store",
		},
		set: func(v *value, p *Platform) { p.AccessKey = v.nonEmptyString() },
	},
	{
		Field: Field{
			Name:     "secret-key",
			Type:     "string",
			Required: true,
			Help:     "secret key for the table service and the object store",
		},
		set: func(v *value, p *Platform) { p.SecretKey = v.nonEmptyString() },
	},
}

var ownerFields = []field[Owner]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "name of the team",
		},
		set: func(v *value, o *Owner) { o.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "token-sha256",
			Type:     "hexadecimal",
			Required: true,
			Help:     "SHA-256 digest of the team's token, 64 hexadecimal digits",
		},
		set: func(v *value, o *Owner) { o.TokenSHA256 = v.sha256Digest() },
	},
}

// base64 decodes a base64 string of at least minimum bytes. The error messages omit the
// value, because it is secret.
func (v *value) base64(minimum int) []byte {
	b, err := base64.StdEncoding.DecodeString(v.nonEmptyString())
	if err != nil {
		v.errorf("the value is not valid base64")
		return nil
	}
	if len(b) < minimum {
		v.errorf("the key has %d bytes; at least %d are required", len(b), minimum)
	}
	return b
}

// sha256Digest decodes a SHA-256 digest of 64 hexadecimal digits.
func (v *value) sha256Digest() [32]byte {
	var digest [32]byte
	s := v.nonEmptyString()
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(digest) {
		v.errorf("%q is not a SHA-256 digest of 64 hexadecimal digits", s)
		return digest
	}
	copy(digest[:], b)
	return digest
}

// ParseSettings decodes and validates settings. file names the input in error messages.
// If the settings are invalid, the error is a *ValidationError with all errors found.
func ParseSettings(file string, data []byte) (*Settings, error) {
	return parse("settings", file, data, settingsFields, checkSettings)
}

// checkSettings sets the defaults of s and checks the rules that involve several fields.
func checkSettings(v *value, s *Settings) {
	if s.ZoneDistance == 0 {
		s.ZoneDistance = defaultZoneDistance
	}
	if s.RegionDistance == 0 {
		s.RegionDistance = defaultRegionDistance
	}
	if s.AvailabilityZone != "" && len(s.AvailabilityZones) > 0 && s.Region(s.AvailabilityZone) == "" {
		v.child("availability-zone", nil).errorf("%q is not one of availability-zones", s.AvailabilityZone)
	}
}
