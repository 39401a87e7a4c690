package node

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/proxy"
)

// runMembers updates the balancer's endpoints at each change of the membership.
func (n *Node) runMembers(ctx context.Context) error {
	for members := range n.agent.WatchMembers(ctx) {
		n.updateEndpoints(members)
	}
	return nil
}

// refreshEndpoints updates the balancer's endpoints from the current members after a
// revision was put in force.
func (n *Node) refreshEndpoints() {
	n.updateEndpoints(n.agent.Members())
}

func (n *Node) updateEndpoints(members []member.Member) {
	n.endpointsMu.Lock()
	defer n.endpointsMu.Unlock()
	now := time.Now()
	byService := map[string][]balance.Endpoint{}
	available := map[serviceVersion]bool{}
	for _, m := range members {
		if m.Instance == n.self.Instance {
			n.peers.SetTarget(proxy.Target{Instance: m.Instance, Incarnation: m.Incarnation})
		}
		if !usable(m) {
			continue
		}
		u := m.Upstream
		byService[u.Service] = append(byService[u.Service], n.endpoint(now, m))
		available[serviceVersion{u.Service, u.Version}] = true
	}
	for service := range n.knownServices {
		if _, ok := byService[service]; !ok {
			byService[service] = nil
		}
	}
	n.available.Store(&available)
	for service, endpoints := range byService {
		n.knownServices[service] = true
		n.balancer.Update(now, service, endpoints)
	}
}

// endpoint returns the member's upstream as a balancer endpoint. Since is the time at
// which this node first saw the upstream, so that its slow start is ramped up only once.
// The caller holds endpointsMu.
func (n *Node) endpoint(now time.Time, m member.Member) balance.Endpoint {
	key := endpointKey{m.Instance, m.Incarnation, m.Upstream.Version}
	since, ok := n.endpointSince[key]
	if !ok {
		since = now
		n.endpointSince[key] = now
		for old := range n.endpointSince {
			if old.instance == key.instance && old != key {
				delete(n.endpointSince, old)
			}
		}
	}
	return balance.Endpoint{
		Instance: m.Instance, Incarnation: m.Incarnation, CallAddr: m.CallAddr,
		FailureDomain: m.FailureDomain, Region: m.Region,
		Service: m.Upstream.Service, Version: m.Upstream.Version, Slots: m.Upstream.Slots, Since: since,
	}
}

func usable(m member.Member) bool {
	alive := m.State == member.Alive || m.State == member.Suspect
	return alive && m.Upstream.Service != "" && !m.Upstream.Draining
}

// serviceVersion identifies a version of a service.
type serviceVersion struct{ service, version string }

// endpointKey identifies an upstream version at one process of a node.
type endpointKey struct {
	instance    string
	incarnation uint64
	version     string
}

// versionAvailable reports whether a usable upstream of the version is known.
func (n *Node) versionAvailable(service, version string) bool {
	available := n.available.Load()
	return available != nil && (*available)[serviceVersion{service, version}]
}
