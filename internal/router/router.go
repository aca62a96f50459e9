// Package router holds the routing table, which maps a request to a service and defines
// how the request is handled. It does no I/O.
package router

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Kind defines whether a request may run more than once.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once for each time that their caller sends them. They
	// carry no idempotency key; a request that is sent again has a new request ID.
	AtMostOnce
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large responses and may run more than once.
	Download
)

var kindNames = map[Kind]string{
	Idempotent: "idempotent",
	AtMostOnce: "once",
	Upload:     "upload",
	Download:   "download",
}

func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// WeightedService is one service of a route and its weight in the split of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how requests of one host under one path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller has a response.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth. Build sets it to Timeout if
	// it is not positive or above Timeout.
	Target time.Duration
	// Priority is the rank of the requests; zero is the most urgent.
	Priority int
	// Parts lists the services of the route: one entry, or several for a split.
	Parts []WeightedService
	// MaxAttempts bounds the attempts of one request that may reach an endpoint. An attempt
	// that a node refuses without sending it to its endpoint is not counted. Build raises
	// MaxAttempts to at least 1.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
}

// Service defines the settings of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the number of connections to one endpoint.
	MaxConnections int
	// ColdStart is the time for which an endpoint is cold after its start, and ColdRate the requests
	// a second that a cold endpoint tolerates; zero means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits bounds the size and duration of requests from callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table. It must not be changed after Build.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are the groups of callers. If there are any, requests need API keys.
	Workspaces []Workspace

	hosts map[string][]*Route
	keys  map[string]*Workspace
	// meanRate is the mean quota of the workspaces that have one; 1 if none has.
	meanRate float64
}

// RouteError reports an invalid route.
type RouteError struct {
	Route   string
	Problem string
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Route, e.Problem) }

// Build validates the routes and workspaces, fills in defaults and prepares Match and Workspace. The
// error is a *RouteError or a *WorkspaceError.
func (t *Table) Build() error {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.validate(r); err != nil {
			return err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t.buildWorkspaces()
}

// maxWeight limits the weight of a service, so that the sum of the weights can't overflow.
const maxWeight = math.MaxInt32

// validate checks a route and sets the defaults of its Target and MaxAttempts.
func (t *Table) validate(r *Route) error {
	fail := func(format string, args ...any) error {
		return &RouteError{
			Route:   r.Name,
			Problem: fmt.Sprintf(format, args...),
		}
	}
	switch {
	case r.Host == "":
		return fail("has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fail("prefix %q does not begin and end with a slash", r.Prefix)
	case kindNames[r.Kind] == "":
		return fail("has no kind")
	case r.Timeout <= 0:
		return fail("timeout %v is not positive", r.Timeout)
	case len(r.Parts) == 0:
		return fail("has no services")
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := t.Services[p.Service]; !ok {
			return fail("service %q is not in the table", p.Service)
		}
		if p.Weight < 0 || p.Weight > maxWeight {
			return fail("weight %d of service %q is not between 0 and %d", p.Weight, p.Service, maxWeight)
		}
		total += p.Weight
	}
	if total == 0 {
		return fail("has no service with a weight above zero")
	}
	if r.Target <= 0 || r.Target > r.Timeout {
		r.Target = r.Timeout
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return nil
}

// Match returns the route with the longest prefix of the path for the host, or nil. The
// host may include a port and is not case-sensitive.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
