package proxy

import (
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/snapshot"
)

// SnapshotResolver is a Resolver that uses the configuration in force in Store.
type SnapshotResolver struct{ Store *snapshot.Store }

// Ready reports whether a configuration is in force.
func (r SnapshotResolver) Ready() bool { return r.Store.Current() != nil }

// Resolve finds the route of a request and its service.
func (r SnapshotResolver) Resolve(host, path, method string) (config.Route, config.Service, bool) {
	current := r.Store.Current()
	if current == nil {
		return config.Route{}, config.Service{}, false
	}
	match, ok := current.Route(host, path, method)
	return match.Route, match.Service, ok
}
