package validator

import (
	"fmt"
	"sort"
	"strings"
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

// Route is the treatment of the requests that it matches.
type Route struct {
	Name    string
	Methods []string
	// Path is a prefix of the request's path, or the whole path if Exact is set.
	Path  string
	Exact bool
	Class Class
	// Timeout bounds a request from its arrival at the first node.
	Timeout time.Duration
	// Repeatable allows a request to run more than once.
	Repeatable bool
	// AtMostOnce makes a request with one idempotency key run at most once.
	AtMostOnce bool
	// KeyHeader is the header with the idempotency key of an at-most-once request.
	KeyHeader string
	// Retention is the time for which a used key is remembered.
	Retention time.Duration
	// RequestBytes and ResponseBytes bound the bodies.
	RequestBytes  int64
	ResponseBytes int64
}

// Matches reports whether the route serves a method and path.
func (r *Route) Matches(method, path string) bool {
	if r.Exact && path != r.Path {
		return false
	}
	if !r.Exact && !strings.HasPrefix(path, r.Path) {
		return false
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
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

var routeFields = []field[Route]{
	{
		Field: Field{
			Name:     "name",
			Type:     "name",
			Required: true,
			Help:     "name of the route, unique in the document",
		},
		set: func(v *value, r *Route) { r.Name = v.name() },
	},
	{
		Field: Field{
			Name:     "methods",
			Type:     "list of methods",
			Required: true,
			Help:     "HTTP methods that the route serves",
		},
		set: func(v *value, r *Route) {
			r.Methods = list(v, func(v *value) string {
				return v.oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
			})
		},
	},
	{
		Field: Field{
			Name:     "path",
			Type:     "path",
			Required: true,
			Help:     "prefix of the request's path",
		},
		set: func(v *value, r *Route) { r.Path = v.urlPath() },
	},
	{
		Field: Field{
			Name:    "exact",
			Type:    "boolean",
			Default: "false",
			Help:    "the whole path must be equal",
		},
		set: func(v *value, r *Route) { r.Exact = v.boolean() },
	},
	{
		Field: Field{
			Name:    "class",
			Type:    "short or long",
			Default: string(Short),
			Help:    "queue that the requests join; long requests hold at most long-share of the slots",
		},
		set: func(v *value, r *Route) { r.Class = Class(v.oneOf(string(Short), string(Long))) },
	},
	{
		Field: Field{
			Name:     "timeout",
			Type:     "duration",
			Required: true,
			Help:     "time from the arrival at the first node to the end of the answer",
		},
		set: func(v *value, r *Route) { r.Timeout = v.duration(maxTimeout) },
	},
	{
		Field: Field{
			Name:    "repeatable",
			Type:    "boolean",
			Default: "false",
			Help:    "a request may run more than once, so it may be retried and hedged",
		},
		set: func(v *value, r *Route) { r.Repeatable = v.boolean() },
	},
	{
		Field: Field{
			Name:    "at-most-once",
			Type:    "boolean",
			Default: "false",
			Help:    "a request with one idempotency key runs at most once",
		},
		set: func(v *value, r *Route) { r.AtMostOnce = v.boolean() },
	},
	{
		Field: Field{
			Name:    "key-header",
			Type:    "header",
			Default: defaultKeyHeader,
			Help:    "header with the idempotency key",
		},
		set: func(v *value, r *Route) { r.KeyHeader = v.header() },
	},
	{
		Field: Field{
			Name:    "retention",
			Type:    "duration",
			Default: defaultRetention.String(),
			Help:    "time for which a used idempotency key is remembered",
		},
		set: func(v *value, r *Route) { r.Retention = v.duration(maxRetention) },
	},
	{
		Field: Field{
			Name:    "request-bytes",
			Type:    "bytes",
			Default: fmt.Sprintf("%d short, %d long", defaultShortBytes, int64(defaultLongBytes)),
			Help:    "largest request body",
		},
		set: func(v *value, r *Route) { r.RequestBytes = v.integer(1, maxBodyBytes) },
	},
	{
		Field: Field{
			Name:    "response-bytes",
			Type:    "bytes",
			Default: fmt.Sprintf("%d at-most-once, %d otherwise", defaultRecordBytes, int64(defaultLongBytes)),
			Help:    "largest answer body",
		},
		set: func(v *value, r *Route) { r.ResponseBytes = v.integer(1, maxBodyBytes) },
	},
}

// urlPath reads an absolute URL path without query or dot segments.
func (v *value) urlPath() string {
	s := v.text()
	if s == "" {
		return ""
	}
	if !strings.HasPrefix(s, "/") || strings.ContainsAny(s, "?#% \t\r\n") || strings.Contains(s, "/../") || strings.Contains(s, "/./") {
		v.fault("%q is not an absolute path without query, escapes or dot segments", s)
	}
	return s
}

// header reads the name of an HTTP header.
func (v *value) header() string {
	s := v.text()
	for _, c := range s {
		if c != '-' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') {
			v.fault("%q is not a header name", s)
			break
		}
	}
	return s
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

func checkRoute(v *value, d *Document, i int, names map[string]int) {
	r := &d.Routes[i]
	if first, taken := names[r.Name]; taken && r.Name != "" {
		v.child("name", nil).fault("%q is the name of routes[%d] too", r.Name, first)
	} else {
		names[r.Name] = i
	}
	if r.AtMostOnce && r.Repeatable {
		v.child("repeatable", nil).fault("a route can't be at-most-once and repeatable")
	}
	if r.AtMostOnce && r.Class == Long {
		v.child("class", nil).fault("an at-most-once route can't be long, because its answer is recorded whole")
	}
	for j := range i {
		if method, overlap := r.overlaps(&d.Routes[j]); overlap {
			v.fault("overlaps routes[%d]: both serve %s %s", j, method, r.Path)
		}
	}
}

// overlaps reports whether two routes match the same requests with equal rank, so
// that the longest path does not decide between them.
func (r *Route) overlaps(other *Route) (method string, overlap bool) {
	if r.Path == "" || r.Path != other.Path || r.Exact != other.Exact {
		return "", false
	}
	for _, m := range r.Methods {
		if other.Matches(m, r.Path) {
			return m, true
		}
	}
	return "", false
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

func (r *Route) setDefaults() {
	if r.Class == "" {
		r.Class = Short
	}
	if r.KeyHeader == "" {
		r.KeyHeader = defaultKeyHeader
	}
	if r.Retention == 0 {
		r.Retention = defaultRetention
	}
	if r.RequestBytes == 0 {
		r.RequestBytes = defaultShortBytes
		if r.Class == Long {
			r.RequestBytes = defaultLongBytes
		}
	}
	if r.ResponseBytes == 0 {
		r.ResponseBytes = defaultLongBytes
		if r.AtMostOnce {
			r.ResponseBytes = defaultRecordBytes
		}
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
