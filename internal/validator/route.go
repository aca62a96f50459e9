package validator

import (
	"fmt"
	"strings"
	"time"
)

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
