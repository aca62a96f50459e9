package validator

import (
	"fmt"
	"sort"
	"time"
)

// Class is the class of a route's requests. Classes queue apart.
type Class string

// The request classes.
const (
	Short Class = "short"
	Long  Class = "long"
)

// Limits and defaults of documents.
const (
	maxSlots           = 10000
	maxConnections     = 65000
	maxBodyBytes       = 1 << 40
	defaultShortBytes  = 1 << 20
	defaultLongBytes   = 4 << 30
	defaultRecordBytes = 1 << 20
	maxTimeout         = 24 * time.Hour
	maxRetention       = 90 * 24 * time.Hour
	defaultRetention   = 24 * time.Hour
	defaultQueueLength = 200
	defaultLongShare   = 0.25
	defaultProbeBudget = 0.005
	defaultProbeCost   = 6 * time.Millisecond
	defaultKeyHeader   = "Idempotency-Key"
)

// Document is a service's configuration. The service's team owns and changes it.
type Document struct {
	// Service is the unique name of the service.
	Service string
	// Owner is the team whose token may change the document.
	Owner string
	// Hosts are the names in the Host header that select the service.
	Hosts []string
	// Endpoint says how each endpoint of the service may be treated.
	Endpoint EndpointRules
	// Health says how endpoints are probed; an empty path means no probes.
	Health HealthRules
	// ShedStatuses are the statuses with which an endpoint says that it did not run a request.
	ShedStatuses []int
	// Routes select the treatment of a request by method and path.
	Routes []Route
}

// EndpointRules are the limits of one endpoint.
type EndpointRules struct {
	// Slots is the number of requests an endpoint runs at once.
	Slots int
	// Connections is the number of connections an endpoint accepts.
	Connections int
	// LongShare is the share of the slots that long requests may hold together.
	LongShare float64
	// QueueLength is the number of requests of one class that may wait.
	QueueLength int
}

// LongSlots returns the number of slots that long requests may hold, at least one.
// With two slots or more, one slot stays free for short requests.
func (e EndpointRules) LongSlots() int {
	n := int(float64(e.Slots) * e.LongShare)
	if n >= e.Slots {
		n = e.Slots - 1
	}
	return max(n, 1)
}

// HealthRules bound the health probes of one endpoint.
type HealthRules struct {
	// Path is the HTTP path of the health check.
	Path string
	// ProbeCost is the time for which one probe occupies the endpoint.
	ProbeCost time.Duration
	// Budget is the share of the endpoint's time that probes may cost.
	Budget float64
}

// RouteFor returns the matching route with the longest path; an exact path goes
// before a prefix of the same length. It returns nil where none matches.
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
			Help: "names in the Host header that select the service",
		},
		set: func(v *value, d *Document) { d.Hosts = list(v, (*value).name) },
	},
	{
		Field: Field{
			Name:     "endpoint",
			Type:     "object",
			Required: true,
			Help:     "limits of each endpoint",
		},
		set: func(v *value, d *Document) { d.Endpoint = object(v, endpointFields) },
	},
	{
		Field: Field{
			Name: "health",
			Type: "object",
			Help: "health probes; without it there are none",
		},
		set: func(v *value, d *Document) { d.Health = object(v, healthFields) },
	},
	{
		Field: Field{
			Name: "shed-statuses",
			Type: "list of statuses",
			Help: "HTTP statuses with which an endpoint says that it did not run a request",
		},
		set: func(v *value, d *Document) {
			d.ShedStatuses = list(v, func(v *value) int { return int(v.integer(400, 599)) })
		},
	},
	{
		Field: Field{
			Name:     "routes",
			Type:     "list of objects",
			Required: true,
			Help:     "treatment of requests by method and path; the longest path wins",
		},
		set: func(v *value, d *Document) {
			d.Routes = list(v, func(v *value) Route { return object(v, routeFields) })
		},
	},
}

var endpointFields = []field[EndpointRules]{
	{
		Field: Field{
			Name:     "slots",
			Type:     "count",
			Required: true,
			Help:     "requests an endpoint runs at once",
		},
		set: func(v *value, e *EndpointRules) { e.Slots = int(v.integer(1, maxSlots)) },
	},
	{
		Field: Field{
			Name:     "connections",
			Type:     "count",
			Required: true,
			Help:     "connections an endpoint accepts",
		},
		set: func(v *value, e *EndpointRules) { e.Connections = int(v.integer(1, maxConnections)) },
	},
	{
		Field: Field{
			Name:    "long-share",
			Type:    "share",
			Default: fmt.Sprint(defaultLongShare),
			Help:    "share of the slots that long requests may hold together",
		},
		set: func(v *value, e *EndpointRules) { e.LongShare = v.share(0.01) },
	},
	{
		Field: Field{
			Name:    "queue-length",
			Type:    "count",
			Default: fmt.Sprint(defaultQueueLength),
			Help:    "requests of one class that may wait for a slot",
		},
		set: func(v *value, e *EndpointRules) { e.QueueLength = int(v.integer(1, maxSlots)) },
	},
}

var healthFields = []field[HealthRules]{
	{
		Field: Field{
			Name:     "path",
			Type:     "path",
			Required: true,
			Help:     "HTTP path of the health check",
		},
		set: func(v *value, h *HealthRules) { h.Path = v.urlPath() },
	},
	{
		Field: Field{
			Name:    "probe-cost",
			Type:    "duration",
			Default: defaultProbeCost.String(),
			Help:    "time for which one probe occupies the endpoint",
		},
		set: func(v *value, h *HealthRules) { h.ProbeCost = v.duration(time.Minute) },
	},
	{
		Field: Field{
			Name:    "budget",
			Type:    "share",
			Default: fmt.Sprint(defaultProbeBudget),
			Help:    "share of the endpoint's time that probes may cost",
		},
		set: func(v *value, h *HealthRules) { h.Budget = v.share(0) },
	},
}

// ParseDocument reads a document. The error is a *FaultsError with every fault.
// file is the name of the input for messages.
func ParseDocument(file string, data []byte) (*Document, error) {
	return parse("document", file, data, documentFields, checkDocument)
}

func checkDocument(v *value, d *Document) {
	d.setDefaults()
	if len(d.Routes) == 0 && v.isList("routes") {
		v.child("routes", nil).fault("the list is empty")
	}
	if d.Endpoint.Slots > 0 && d.Endpoint.Connections > 0 && d.Endpoint.Connections < d.Endpoint.Slots {
		v.child("endpoint", nil).child("connections", nil).fault("%d connections can't serve %d slots", d.Endpoint.Connections, d.Endpoint.Slots)
	}
	names := map[string]int{}
	for i := range d.Routes {
		checkRoute(v.child(fmt.Sprintf("routes[%d]", i), nil), d, i, names)
	}
}

// isList reports whether a member is a list, so that an empty list is told from a
// missing one or one of another type.
func (v *value) isList(name string) bool {
	members, _ := v.raw.(map[string]any)
	_, ok := members[name].([]any)
	return ok
}

func (d *Document) setDefaults() {
	if d.Endpoint.LongShare == 0 {
		d.Endpoint.LongShare = defaultLongShare
	}
	if d.Endpoint.QueueLength == 0 {
		d.Endpoint.QueueLength = defaultQueueLength
	}
	if d.Health.Path != "" && d.Health.ProbeCost == 0 {
		d.Health.ProbeCost = defaultProbeCost
	}
	if d.Health.Path != "" && d.Health.Budget == 0 {
		d.Health.Budget = defaultProbeBudget
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
