package lab

import (
	"encoding/json"
	"fmt"
)

// Host is the host of all routes.
const Host = "studio.example"

// Route is a route of a desired state.
type Route struct {
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	Timeout     float64 `json:"timeout_s"`
	Target      float64 `json:"target_latency_s"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
}

// Config encodes a desired state. The limits are those of the pages' example.
func Config(version int, routes []Route, services ...string) []byte {
	var resources []any
	add := func(kind, name string, spec any) {
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
	for i, r := range routes {
		r.Host = Host
		add("routes", fmt.Sprintf("r-%d", i+1), r)
	}
	for _, name := range services {
		add("services", name, map[string]any{
			"health_path":     "/health",
			"max_connections": 220,
			"protocol":        "h1",
			"tls":             false,
		})
	}
	add("limits", "", map[string]any{
		"max_header_bytes": 16384,
		"max_body_bytes":   67108864,
		"header_timeout_s": 3,
		"idle_timeout_s":   15,
	})
	encoded, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"resources": resources,
	})
	return encoded
}
