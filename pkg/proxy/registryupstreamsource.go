package proxy

import (
	"time"

	"corianderwood.example/corianderwood/pkg/upstream"
)

// RegistryUpstreamSource is the UpstreamSource over the announce API.
type RegistryUpstreamSource struct{ Registry *upstream.Registry }

// Upstream returns the announced upstream.
func (s RegistryUpstreamSource) Upstream() (LocalUpstream, bool) {
	status, ok := s.Registry.Status(time.Now())
	return LocalUpstream{Address: status.Address, Service: status.Service,
		Version: status.Version, Draining: status.Draining}, ok
}
