package inspector

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gentianlever/gentianlever/internal/router"
)

// Differences returns what a table changes in comparison with the one in force, one statement for each
// resource that is added or removed and each field that changes. API keys are counted and not shown.
func Differences(inForce, next *router.Table) []string {
	var f findings
	if next.Version <= inForce.Version {
		f.add("table", fmt.Sprintf("%08x", next.Version), "is not newer than version %08x in force", inForce.Version)
	}
	compare(&f, "route", byName(inForce.Routes, routeName), byName(next.Routes, routeName), routeFields)
	compare(&f, "service", inForce.Services, next.Services, serviceFields)
	compare(&f, "workspace", byName(inForce.Workspaces, workspaceName), byName(next.Workspaces, workspaceName), workspaceFields)
	compareKeys(&f, byName(inForce.Workspaces, workspaceName), byName(next.Workspaces, workspaceName))
	compareFields(&f, "limits", "all requests", limitFields(inForce.Limits), limitFields(next.Limits))
	return f
}

// namedValue is the value of a field in the form in which it is shown.
type namedValue struct {
	name  string
	value string
}

func shown(name string, value any) namedValue {
	return namedValue{
		name:  name,
		value: fmt.Sprint(value),
	}
}

func routeName(r router.Route) string         { return r.Name }
func workspaceName(w router.Workspace) string { return w.Name }

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// compare reports the resources of one kind that are added, removed or changed.
func compare[T any](f *findings, kind string, inForce, next map[string]T, fields func(T) []namedValue) {
	for _, name := range sortedNames(inForce) {
		if _, ok := next[name]; !ok {
			f.add(kind, name, "is removed")
		}
	}
	for _, name := range sortedNames(next) {
		before, ok := inForce[name]
		if !ok {
			f.add(kind, name, "is added: %s", describe(fields(next[name])))
			continue
		}
		compareFields(f, kind, name, fields(before), fields(next[name]))
	}
}

func describe(fields []namedValue) string {
	var parts []string
	for _, v := range fields {
		parts = append(parts, v.name+" "+v.value)
	}
	return strings.Join(parts, ", ")
}

func compareFields(f *findings, kind, name string, before, after []namedValue) {
	for i := range after {
		if before[i].value != after[i].value {
			f.add(kind, name, "%s changes from %s to %s", after[i].name, before[i].value, after[i].value)
		}
	}
}

func routeFields(r router.Route) []namedValue {
	var parts []string
	for _, p := range r.Parts {
		parts = append(parts, fmt.Sprintf("%s:%d", p.Service, p.Weight))
	}
	return []namedValue{
		shown("host", r.Host),
		shown("prefix", r.Prefix),
		shown("kind", r.Kind),
		shown("timeout", r.Timeout),
		shown("target", r.Target),
		shown("priority", r.Priority),
		shown("services", strings.Join(parts, " ")),
		shown("attempts", r.MaxAttempts),
		shown("public", r.Public),
	}
}

func serviceFields(s router.Service) []namedValue {
	return []namedValue{
		shown("health path", s.HealthPath),
		shown("connections", s.MaxConnections),
		shown("cold start", s.ColdStart),
		shown("cold rate", s.ColdRate),
	}
}

func workspaceFields(w router.Workspace) []namedValue {
	return []namedValue{
		shown("priority", w.Priority),
		shown("rate", w.Rate),
		shown("burst", w.Burst),
	}
}

func limitFields(l router.Limits) []namedValue {
	return []namedValue{
		shown("header bytes", l.MaxHeaderBytes),
		shown("body bytes", l.MaxBodyBytes),
		shown("header timeout", l.HeaderTimeout),
		shown("idle timeout", l.IdleTimeout),
	}
}

// compareKeys reports how many keys of each workspace are added and removed.
func compareKeys(f *findings, inForce, next map[string]router.Workspace) {
	for _, name := range sortedNames(next) {
		before, after := inForce[name].Keys, next[name].Keys
		added := countMissing(after, before)
		removed := countMissing(before, after)
		if added > 0 || removed > 0 {
			f.add("workspace", name, "%d keys are added and %d removed", added, removed)
		}
	}
}

// countMissing returns the number of keys that are not in others.
func countMissing(keys, others []string) int {
	missing := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			missing++
		}
	}
	return missing
}
