package validator

import (
	"fmt"
	"sort"
	"time"
)

// Class is the class of a route's requests. Each class has its own queue.
type Class string

// The request classes.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Limits and defaults of documents.
const (
	maxSlots                 = 10000
	maxConnections           = 65000
	maxBodyBytes             = 1 << 40
	defaultShortBodyBytes    = 1 << 20
	defaultLongBodyBytes     = 4 << 30
	defaultRecordedBodyBytes = 1 << 20
	maxTimeout               = 24 * time.Hour
	maxRetention             = 90 * 24 * time.Hour
	defaultRetention         = 24 * time.Hour
	defaultQueueLength       = 200
	defaultLongShare         = 0.25
	defaultProbeBudget       = 0.005
	defaultProbeTime         = 6 * time.Millisecond
	defaultKeyHeader         = "Idempotency-Key"
)

// Document is a service's configuration. The service's team owns and changes it.
type Document struct {
	// Service is the unique name of the service.
	Service string
	// Owner is the team whose token may change the document.
	Owner string
	// Hosts are the values of the Host header that select the service.
	Hosts []string
	// Endpoint holds the limits of each endpoint of the service.
	Endpoint EndpointLimits
	// Health configures the health probes of each endpoint. An empty path disables them.
	Health HealthCheck
	// ShedStatuses are the HTTP statuses by which an endpoint reports that it shed a request
	// without running it.
	ShedStatuses []int
	// Routes configure how requests are handled, by method and path.
	Routes []Route
}

// EndpointLimits holds the limits of one endpoint.
type EndpointLimits struct {
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int
	// Connections is the number of connections that an endpoint accepts.
	Connections int
	// LongShare is the share of the slots that all long requests together may hold.
	LongShare float64
	// QueueLength is the number of requests of one class that may wait for a slot.
	QueueLength int
}

// LongSlots returns the number of slots that long requests may hold, at least one.
// With two slots or more, it leaves at least one slot to short requests.
func (e EndpointLimits) LongSlots() int {
	n := int(float64(e.Slots) * e.LongShare)
	if n >= e.Slots {
		n = e.Slots - 1
	}
	return max(n, 1)
}

// HealthCheck configures the health probes of one endpoint.
type HealthCheck struct {
	// Path is the HTTP path of the health check.
	Path string
	// ProbeTime is the service time of one probe at the endpoint.
	ProbeTime time.Duration
	// ProbeBudget is the share of the endpoint's time that probes may use. Zero in a document
	// means the default.
	ProbeBudget float64
}

// RouteFor returns the matching route with the longest path. Of two paths of the same
// length, an exact one takes precedence over a prefix. RouteFor returns nil if no route
// matches.
func (d *Document) RouteFor(method, path string) *Route {
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if !r.Matches(method, path) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) || (len(r.Path) == len(best.Path) && r.Exact) {
			best = r
		}
	}
	return best
}

var documentFields = []field[Document]{
	{
		Field: Field{
			Name:     "service",
			Type:     "name",
			Required: true,
			Help:     "unique name of the service",
		},
		set: func(v *value, d *Document) { d.Service = v.name() },
	},
	{
		Field: Field{
			Name:     "owner",
			Type:     "name",
			Required: true,
			Help:     "team whose token may change the document",
		},
		set: func(v *value, d *Document) { d.Owner = v.name() },
	},
	{
		Field: Field{
			Name: "hosts",
			Type: "list of names",
			Help: "values of the Host header that select the service",
		},
		set: func(v *value, d *Document) { d.Hosts = decodeList(v, (*value).name) },
	},
	{
		Field: Field{
			Name:     "endpoint",
			Type:     "object",
			Required: true,
			Help:     "limits of each endpoint",
		},
		set: func(v *value, d *Document) { d.Endpoint = decodeObject(v, endpointFields) },
	},
	{
		Field: Field{
			Name: "health",
			Type: "object",
			Help: "health probes; if missing, the endpoint is not probed",
		},
		set: func(v *value, d *Document) { d.Health = decodeObject(v, healthFields) },
	},
	{
		Field: Field{
			Name: "shed-statuses",
			Type: "list of statuses",
			Help: "HTTP statuses by which an endpoint reports that it shed a request without running it",
		},
		set: func(v *value, d *Document) {
			d.ShedStatuses = decodeList(v, func(v *value) int { return int(v.integer(400, 599)) })
		},
	},
	{
		Field: Field{
			Name:     "routes",
			Type:     "list of objects",
			Required: true,
			Help:     "how requests are handled, by method and path; the longest matching path applies",
		},
		set: func(v *value, d *Document) {
			d.Routes = decodeList(v, func(v *value) Route { return decodeObject(v, routeFields) })
		},
	},
}

var endpointFields = []field[EndpointLimits]{
	{
		Field: Field{
			Name:     "slots",
			Type:     "count",
			Required: true,
			Help:     "requests that an endpoint runs concurrently",
		},
		set: func(v *value, e *EndpointLimits) { e.Slots = int(v.integer(1, maxSlots)) },
	},
	{
		Field: Field{
			Name:     "connections",
			Type:     "count",
			Required: true,
			Help:     "connections that an endpoint accepts",
		},
		set: func(v *value, e *EndpointLimits) { e.Connections = int(v.integer(1, maxConnections)) },
	},
	{
		Field: Field{
			Name:    "long-share",
			Type:    "share",
			Default: fmt.Sprint(defaultLongShare),
			Help:    "share of the slots that all long requests together may hold",
		},
		set: func(v *value, e *EndpointLimits) { e.LongShare = v.share(0.01) },
	},
	{
		Field: Field{
			Name:    "queue-length",
			Type:    "count",
			Default: fmt.Sprint(defaultQueueLength),
			Help:    "requests of one class that may wait for a slot",
		},
		set: func(v *value, e *EndpointLimits) { e.QueueLength = int(v.integer(1, maxSlots)) },
	},
}

var healthFields = []field[HealthCheck]{
	{
		Field: Field{
			Name:     "path",
			Type:     "path",
			Required: true,
			Help:     "HTTP path of the health check",
		},
		set: func(v *value, h *HealthCheck) { h.Path = v.urlPath() },
	},
	{
		Field: Field{
			Name:    "probe-cost",
			Type:    "duration",
			Default: defaultProbeTime.String(),
			Help:    "service time of one probe at the endpoint",
		},
		set: func(v *value, h *HealthCheck) { h.ProbeTime = v.duration(time.Minute) },
	},
	{
		Field: Field{
			Name:    "budget",
			Type:    "share",
			Default: fmt.Sprint(defaultProbeBudget),
			Help:    "share of the endpoint's time that probes may use",
		},
		set: func(v *value, h *HealthCheck) { h.ProbeBudget = v.share(0) },
	},
}

// ParseDocument decodes and validates a document. file names the input in error messages.
// If the document is invalid, the error is a *ValidationError with all errors found.
func ParseDocument(file string, data []byte) (*Document, error) {
	return parse("document", file, data, documentFields, checkDocument)
}

// checkDocument sets the defaults of d and checks the rules that involve several fields.
func checkDocument(v *value, d *Document) {
	d.setDefaults()
	if len(d.Routes) == 0 && v.memberIsList("routes") {
		v.child("routes", nil).errorf("the list is empty")
	}
	if d.Endpoint.Slots > 0 && d.Endpoint.Connections > 0 && d.Endpoint.Connections < d.Endpoint.Slots {
		v.child("endpoint", nil).child("connections", nil).errorf("%d connections can't serve %d slots", d.Endpoint.Connections, d.Endpoint.Slots)
	}
	routeIndexes := map[string]int{}
	for i := range d.Routes {
		checkRoute(v.child(fmt.Sprintf("routes[%d]", i), nil), d, i, routeIndexes)
	}
}

// memberIsList reports whether the member name of an object is a list. It distinguishes an
// empty list from a missing member or one of another type, which are reported elsewhere.
func (v *value) memberIsList(name string) bool {
	members, _ := v.raw.(map[string]any)
	_, ok := members[name].([]any)
	return ok
}

// setDefaults replaces each zero value by the default of its field. The defaults of Health apply
// only if it has a path.
func (d *Document) setDefaults() {
	if d.Endpoint.LongShare == 0 {
		d.Endpoint.LongShare = defaultLongShare
	}
	if d.Endpoint.QueueLength == 0 {
		d.Endpoint.QueueLength = defaultQueueLength
	}
	if d.Health.Path != "" && d.Health.ProbeTime == 0 {
		d.Health.ProbeTime = defaultProbeTime
	}
	if d.Health.Path != "" && d.Health.ProbeBudget == 0 {
		d.Health.ProbeBudget = defaultProbeBudget
	}
	for i := range d.Routes {
		d.Routes[i].setDefaults()
	}
}

func sortedNames(members map[string]any) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
