package mesh

import (
	"encoding/json"
	"fmt"
)

// Route is one route of a configuration.
type Route struct {
	Host, Prefix, Kind, Service string
	TimeoutMS, Attempts         int
}

// Configuration returns a configuration of the operator.
func Configuration(version int, routes ...Route) []byte {
	byHost := make(map[string][]any)
	var hosts []string
	services := make(map[string]bool)
	var clusters []any
	for i, r := range routes {
		if _, ok := byHost[r.Host]; !ok {
			hosts = append(hosts, r.Host)
		}
		byHost[r.Host] = append(byHost[r.Host], map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "kind": r.Kind, "targetLatency": "400ms", "priority": 1, "match": map[string]any{"prefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": fmt.Sprintf("%dms", r.TimeoutMS), "attempts": r.Attempts},
		})
		if !services[r.Service] {
			services[r.Service] = true
			clusters = append(clusters, map[string]any{"name": r.Service, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
		}
	}
	var listeners []any
	for _, h := range hosts {
		listeners = append(listeners, map[string]any{"host": h, "rules": byHost[h]})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "listeners": listeners, "clusters": clusters,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	return raw
}
