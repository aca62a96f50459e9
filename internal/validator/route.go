package validator

import (
	"fmt"
	"strings"
	"time"
)

// Route configures how the requests that it matches are handled.
type Route struct {
	Name    string
	Methods []string
	// Path is a prefix of the request's path, or the whole path if Exact is set.
	Path  string
	Exact bool
	Class Class
	// Timeout is the time from the arrival of a request at its first node to the end of its
	// response.
	Timeout time.Duration
	// Repeatable allows a request to run more than once, so that it may be retried and
	// hedged.
	Repeatable bool
	// AtMostOnce makes requests with the same idempotency key run at most once in total.
	AtMostOnce bool
	// KeyHeader is the header that carries the idempotency key of an at-most-once request.
	KeyHeader string
	// Retention is the time for which a used idempotency key is stored.
	Retention time.Duration
	// MaxRequestBytes and MaxResponseBytes limit the sizes of the bodies.
	MaxRequestBytes  int64
	MaxResponseBytes int64
}

// Matches reports whether the route applies to requests with this method and path.
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
			Help:     "HTTP methods that the route matches",
		},
		set: func(v *value, r *Route) {
			r.Methods = decodeList(v, func(v *value) string {
				return v.oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
			})
		},
	},
	{
		Field: Field{
			Name:     "path",
			Type:     "path",
			Required: true,
			Help:     "prefix of the request's path, or the whole path if exact is true",
		},
		set: func(v *value, r *Route) { r.Path = v.urlPath() },
	},
	{
		Field: Field{
			Name:    "exact",
			Type:    "boolean",
			Default: "false",
			Help:    "path must equal the whole path of the request",
		},
		set: func(v *value, r *Route) { r.Exact = v.boolean() },
	},
	{
		Field: Field{
			Name:    "class",
			Type:    "short or long",
			Default: string(Short),
			Help:    "queue that the requests wait in; long requests hold at most long-share of the slots",
		},
		set: func(v *value, r *Route) { r.Class = Class(v.oneOf(string(Short), string(Long))) },
	},
	{
		Field: Field{
			Name:     "timeout",
			Type:     "duration",
			Required: true,
			Help:     "time from the arrival of a request at its first node to the end of its response",
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
			Help:    "requests with the same idempotency key run at most once in total",
		},
		set: func(v *value, r *Route) { r.AtMostOnce = v.boolean() },
	},
	{
		Field: Field{
			Name:    "key-header",
			Type:    "header",
			Default: defaultKeyHeader,
			Help:    "header that carries the idempotency key",
		},
		set: func(v *value, r *Route) { r.KeyHeader = v.headerName() },
	},
	{
		Field: Field{
			Name:    "retention",
			Type:    "duration",
			Default: defaultRetention.String(),
			Help:    "time for which a used idempotency key is stored",
		},
		set: func(v *value, r *Route) { r.Retention = v.duration(maxRetention) },
	},
	{
		Field: Field{
			Name:    "request-bytes",
			Type:    "bytes",
			Default: fmt.Sprintf("%d short, %d long", defaultShortBodyBytes, int64(defaultLongBodyBytes)),
			Help:    "maximum size of the request body",
		},
		set: func(v *value, r *Route) { r.MaxRequestBytes = v.integer(1, maxBodyBytes) },
	},
	{
		Field: Field{
			Name:    "response-bytes",
			Type:    "bytes",
			Default: fmt.Sprintf("%d at-most-once, %d otherwise", defaultRecordedBodyBytes, int64(defaultLongBodyBytes)),
			Help:    "maximum size of the response body",
		},
		set: func(v *value, r *Route) { r.MaxResponseBytes = v.integer(1, maxBodyBytes) },
	},
}

// urlPath decodes an absolute URL path without query, fragment, escapes, white space or dot
// segments. It does not detect a dot segment at the end.
func (v *value) urlPath() string {
	s := v.nonEmptyString()
	if s == "" {
		return ""
	}
	if !strings.HasPrefix(s, "/") || strings.ContainsAny(s, "?#% \t\r\n") || strings.Contains(s, "/../") || strings.Contains(s, "/./") {
		v.errorf("%q is not an absolute path without query, fragment, escapes, white space or dot segments", s)
	}
	return s
}

// headerName decodes the name of an HTTP header. It accepts only letters, digits and hyphens,
// fewer characters than HTTP allows.
func (v *value) headerName() string {
	s := v.nonEmptyString()
	for _, c := range s {
		if c != '-' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') {
			v.errorf("%q is not a header name: use letters, digits and hyphens", s)
			break
		}
	}
	return s
}

// checkRoute checks the rules that involve several fields of route i or earlier routes. v
// has the path of the route. routeIndexes maps the names of the routes checked so far to
// their indexes, and checkRoute adds this one.
func checkRoute(v *value, d *Document, i int, routeIndexes map[string]int) {
	r := &d.Routes[i]
	if first, duplicate := routeIndexes[r.Name]; duplicate && r.Name != "" {
		v.child("name", nil).errorf("%q is already the name of routes[%d]", r.Name, first)
	} else {
		routeIndexes[r.Name] = i
	}
	if r.AtMostOnce && r.Repeatable {
		v.child("repeatable", nil).errorf("a route can't be at-most-once and repeatable")
	}
	if r.AtMostOnce && r.Class == Long {
		v.child("class", nil).errorf("an at-most-once route can't be long, because its complete response is stored")
	}
	for j := range i {
		if method, overlap := r.overlaps(&d.Routes[j]); overlap {
			v.errorf("overlaps routes[%d]: both match %s %s", j, method, r.Path)
		}
	}
}

// overlaps reports whether two routes with the same path and the same Exact match a common
// method, so that RouteFor can't decide between them. It returns the first such method.
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

// setDefaults replaces each zero value by the default of its field. Some defaults depend on Class
// and AtMostOnce.
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
	if r.MaxRequestBytes == 0 {
		r.MaxRequestBytes = defaultShortBodyBytes
		if r.Class == Long {
			r.MaxRequestBytes = defaultLongBodyBytes
		}
	}
	if r.MaxResponseBytes == 0 {
		r.MaxResponseBytes = defaultLongBodyBytes
		if r.AtMostOnce {
			r.MaxResponseBytes = defaultRecordedBodyBytes
		}
	}
}
