// Package inspector finds entries of a routing table that can never match, limits that contradict each
// other, and differences between two tables. It does no I/O.
package inspector

import (
	"fmt"
	"strings"

	"github.com/gentianlever/gentianlever/internal/router"
)

// Limits are the limits of nodes that a table can't raise.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// findings collects statements about the resources of a table.
type findings []string

func (f *findings) add(kind, name, format string, args ...any) {
	*f = append(*f, fmt.Sprintf("%s %q: ", kind, name)+fmt.Sprintf(format, args...))
}

// Contradictions returns the entries of a table that never match and the limits that contradict each
// other. The table must not have been built, because Build replaces some limits.
func Contradictions(t *router.Table, l Limits) []string {
	var f findings
	f.routes(t)
	f.services(t)
	f.workspaces(t)
	f.limits(t, l)
	return f
}

func (f *findings) routes(t *router.Table) {
	first := make(map[string]string)
	for _, r := range t.Routes {
		key := strings.ToLower(r.Host) + " " + r.Prefix
		if other, ok := first[key]; ok {
			f.add("route", r.Name, "never matches, because route %q has the same host and prefix", other)
		} else {
			first[key] = r.Name
		}
		if r.Timeout > 0 && r.Target > r.Timeout {
			f.add("route", r.Name, "target %s is above timeout %s", r.Target, r.Timeout)
		}
		if r.MaxAttempts < 0 {
			f.add("route", r.Name, "attempts %d are below zero; one is made", r.MaxAttempts)
		}
		for _, p := range r.Parts {
			if p.Weight == 0 && len(r.Parts) > 1 {
				f.add("route", r.Name, "service %q gets no requests, because its weight is zero", p.Service)
			}
		}
		if r.Public && !t.HasWorkspaces() {
			f.add("route", r.Name, "public has no effect in a table without workspaces")
		}
	}
}

func (f *findings) services(t *router.Table) {
	used := make(map[string]bool)
	for _, r := range t.Routes {
		for _, p := range r.Parts {
			used[p.Service] = true
		}
	}
	for _, name := range sortedNames(t.Services) {
		s := t.Services[name]
		if !used[name] {
			f.add("service", name, "no route leads to it")
		}
		switch {
		case s.ColdRate < 0:
			f.add("service", name, "cold rate %v is below zero", s.ColdRate)
		case s.ColdRate > 0 && s.ColdStart <= 0:
			f.add("service", name, "cold rate %v has no effect at a start, because the cold start lasts no time", s.ColdRate)
		}
	}
}

func (f *findings) workspaces(t *router.Table) {
	for _, w := range t.Workspaces {
		if len(w.Keys) == 0 {
			f.add("workspace", w.Name, "has no key, so no request belongs to it")
		}
		if w.Burst > 0 && w.Rate == 0 {
			f.add("workspace", w.Name, "burst %v has no effect, because the rate is not limited", w.Burst)
		}
	}
}

func (f *findings) limits(t *router.Table, l Limits) {
	if t.Limits.MaxBodyBytes > l.BodyBytes {
		f.add("limits", "body", "%d bytes are above the %d that nodes hold", t.Limits.MaxBodyBytes, l.BodyBytes)
	}
	if t.Limits.MaxHeaderBytes > l.HeaderBytes {
		f.add("limits", "header", "%d bytes are above the %d that nodes read", t.Limits.MaxHeaderBytes, l.HeaderBytes)
	}
	if t.Limits.IdleTimeout > 0 && t.Limits.HeaderTimeout > t.Limits.IdleTimeout {
		f.add("limits", "header timeout", "%s is above the idle timeout %s", t.Limits.HeaderTimeout, t.Limits.IdleTimeout)
	}
}
