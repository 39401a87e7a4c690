package proxy

import (
	"time"

	"corianderwood.example/corianderwood/pkg/upstream"
)

// RegistryUpstreamSource is an UpstreamSource that returns the upstream announced to Registry.
type RegistryUpstreamSource struct{ Registry *upstream.Registry }

// Upstream returns the announced upstream.
func (s RegistryUpstreamSource) Upstream() (LocalUpstream, bool) {
	status, ok := s.Registry.Status(time.Now())
	return LocalUpstream{Address: status.Address, Service: status.Service,
		Version: status.Version, Draining: status.Draining}, ok
}
