package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a desired state.
type route struct {
	name    string
	prefix  string
	kind    string
	timeout float64
	target  float64
	service string
	public  bool
}

// tenant is a tenant of a desired state.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

const host = "jepu9.example"

// desiredState encodes a desired state as the operator's API has it.
func desiredState(version int, services []string, routes []route, tenants []tenant) []byte {
	var resources []map[string]any
	add := func(kind, name string, spec map[string]any) {
		metadata := map[string]string{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, map[string]any{
			"resource_kind": kind,
			"metadata":      metadata,
			"spec":          spec,
		})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host":             host,
			"prefix":           r.prefix,
			"kind":             r.kind,
			"timeout_s":        r.timeout,
			"target_latency_s": r.target,
			"priority":         1,
			"service":          r.service,
			"max_attempts":     2,
			"public":           r.public,
		})
	}
	for _, s := range services {
		add("services", s, map[string]any{
			"health_path":     "/health",
			"max_connections": 220,
			"protocol":        "h1",
			"tls":             false,
		})
	}
	for _, t := range tenants {
		spec := map[string]any{"api_keys": t.keys}
		if t.rate > 0 {
			spec["rate_per_s"], spec["burst"] = t.rate, t.burst
		}
		add("tenants", t.name, spec)
	}
	add("limits", "", map[string]any{
		"max_header_bytes": 16384,
		"max_body_bytes":   67108864,
		"header_timeout_s": 3,
		"idle_timeout_s":   15,
	})
	b, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"resources": resources,
	})
	return b
}
