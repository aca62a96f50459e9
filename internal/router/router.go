// Package router holds the routing table: which service serves a request and how the
// request may be treated. It does no input or output.
package router

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// Once requests run at most once.
	Once
	// Upload requests have large bodies and run at most once.
	Upload
)

var kindNames = map[Kind]string{
	Idempotent: "idempotent",
	Once:       "once",
	Upload:     "upload",
}

func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Route is the treatment of the requests of one host under one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth; zero means Timeout.
	Target time.Duration
	// Priority is the rank of the requests; zero is the most urgent.
	Priority int
	// Parts has one entry for a route to one service.
	Parts []Part
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
}

// Service is what the table says of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one endpoint.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table. It is not changed after Build.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	hosts map[string][]*Route
}

// RouteError reports a route that can't be put in force.
type RouteError struct {
	Route   string
	Problem string
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Route, e.Problem) }

// Build checks the table and prepares Match. The error is a *RouteError.
func (t *Table) Build() error {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.check(r); err != nil {
			return err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return nil
}

func (t *Table) check(r *Route) error {
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
		return fail("leads to no service")
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := t.Services[p.Service]; !ok {
			return fail("service %q is not in the table", p.Service)
		}
		if p.Weight < 0 {
			return fail("weight %d of service %q is negative", p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total == 0 {
		return fail("has no weight above zero")
	}
	if r.Target <= 0 || r.Target > r.Timeout {
		r.Target = r.Timeout
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return nil
}

// Match returns the route of a host and path with the longest prefix, or nil. The host
// may have a port.
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
