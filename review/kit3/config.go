package main

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// domain is the host name of all routes.
const domain = "jepu9.example"

// routeOptions describe a route of a configuration.
type routeOptions struct {
	name     string
	prefix   string
	kind     string
	service  string
	timeout  string
	target   string
	priority int
	// attempts is the most endpoints that a request may be sent to; 0 stands for 2.
	attempts int
}

// resource returns an entry of a configuration.
func resource(kind, name string, spec map[string]any) map[string]any {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return map[string]any{
		"resourceKind": kind,
		"metadata":     metadata,
		"spec":         spec,
	}
}

// configure writes the next configuration to the store, with the figures of the users' pages.
func (w *world) configure(routes []routeOptions, services []string) {
	w.version += 2
	list := []any{}
	for _, r := range routes {
		const usualAttempts = 2
		list = append(list, resource("routes", r.name, map[string]any{
			"host":            domain,
			"prefix":          r.prefix,
			"kind":            r.kind,
			"timeout":         r.timeout,
			"targetLatency":   r.target,
			"priority":        r.priority,
			"service":         r.service,
			"maxAttempts":     cmp.Or(r.attempts, usualAttempts),
			"sessionAffinity": true,
			"allowedRegions":  []string{},
		}))
	}
	for _, s := range services {
		list = append(list, resource("services", s, map[string]any{
			"healthPath":     "/health",
			"maxConnections": 780,
			"protocol":       "h1",
			"tls":            false,
			"coldStart":      "3s",
			"coldPerS":       9.7,
		}))
	}
	list = append(list, resource("limits", "", map[string]any{
		"maxHeaderBytes": 16384,
		"maxBodyBytes":   maxBodyBytes,
		"headerTimeout":  "3000ms",
		"idleTimeout":    "15000ms",
	}))
	b, err := json.Marshal(map[string]any{
		"version":     fmt.Sprintf("r%d", w.version),
		"baseVersion": fmt.Sprintf("r%d", w.version-2),
		"resources":   list,
	})
	if err != nil {
		panic(err)
	}
	w.table.Put("op", "config", string(b))
	w.record.add("configuration acknowledged", "version", fmt.Sprintf("r%d", w.version))
}
