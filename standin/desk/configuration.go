package desk

import (
	"encoding/json"
	"fmt"
)

// Host and paths of the routes of Configuration.
const (
	Host       = "desk.example"
	PathSafe   = "/look/"
	PathUnsafe = "/charge/"
)

// PathOf returns the prefix of a route that only the configuration of the version has.
func PathOf(version int) string {
	return fmt.Sprintf("/at/%d/", version)
}

// Configuration returns a configuration of the version, in which all routes lead to
// the service.
func Configuration(version int, service string) string {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"resourceKind": "routes",
			"metadata": map[string]any{
				"name": name,
			},
			"spec": map[string]any{
				"host":            Host,
				"prefix":          prefix,
				"kind":            kind,
				"timeout":         "2000ms",
				"targetLatency":   "300ms",
				"priority":        1,
				"service":         service,
				"maxAttempts":     2,
				"sessionAffinity": true,
			},
		}
	}
	services := func(name string) map[string]any {
		return map[string]any{
			"resourceKind": "services",
			"metadata": map[string]any{
				"name": name,
			},
			"spec": map[string]any{
				"healthPath":     "/health",
				"maxConnections": 600,
				"coldStart":      "1s",
				"coldPerS":       20,
			},
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"resources": []any{
			route("safe", PathSafe, "safe"),
			route("unsafe", PathUnsafe, "unsafe"),
			route("at", PathOf(version), "safe"),
			services("one"),
			services("two"),
		},
	})
	if err != nil {
		panic(err)
	}
	return string(b)
}
