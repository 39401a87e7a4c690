package sidecar

import (
	"net"
	"time"

	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/boundedio"
)

// Settings are the settings of one node. Addresses have the form IP:port.
type Settings struct {
	// Node is the unique name of the node.
	Node          string
	IP            string
	FailureDomain string
	// Service is the service of the local server.
	Service       string
	ServerAddress string
	// ClientAddress accepts requests from clients and from the local server.
	ClientAddress    string
	ReadyAddress     string
	HeartbeatAddress string
	StoreAddress     string
	// PeerPort accepts links from peers; MetricsPort serves metrics.
	PeerPort, MetricsPort int
	// Heartbeat is the interval between two heartbeats of a server.
	Heartbeat time.Duration
	Bounds    Bounds
	// MemoryMB is the memory limit in MiB, from which the Go runtime's soft limit is
	// derived; with 0, none is set.
	MemoryMB int
	// MaxDescriptors is how many file descriptors the instance has; with 0, assumedDescriptors.
	MaxDescriptors int
	// LinkBytesPerSecond is the bandwidth of the instance's network link; 0 if unknown.
	LinkBytesPerSecond float64
}

// memoryBudget returns a new budget for all that the process holds for others.
func (s Settings) memoryBudget() *boundedio.Budget {
	return boundedio.NewWaitingBudget(s.memory(heldMemoryShare))
}

// memory returns the given share of the memory limit, in bytes.
func (s Settings) memory(share float64) int64 {
	memory := s.MemoryMB
	if memory == 0 {
		memory = assumedMemoryMB
	}
	return int64(share * float64(memory) * (1 << 20))
}

// connections returns the number of connections that may use the given share of the descriptors.
func (s Settings) connections(share float64) int {
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		descriptors = assumedDescriptors
	}
	return max(int(share*float64(descriptors)), minConnections)
}

// Check returns an error that names the first missing or invalid setting.
func (s Settings) Check() error {
	for _, v := range []struct{ name, value string }{
		{"node", s.Node}, {"ip", s.IP}, {"failure domain", s.FailureDomain}, {"service", s.Service},
	} {
		if v.value == "" {
			return oops.Errorf("setting %q is missing", v.name)
		}
	}
	for _, v := range []struct{ name, value string }{
		{"server address", s.ServerAddress}, {"client address", s.ClientAddress}, {"readiness address", s.ReadyAddress},
		{"heartbeat address", s.HeartbeatAddress}, {"store address", s.StoreAddress},
	} {
		host, port, err := net.SplitHostPort(v.value)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return oops.Errorf("setting %q is %q; it must be an IP address and a port", v.name, v.value)
		}
	}
	if net.ParseIP(s.IP) == nil {
		return oops.Errorf("setting \"ip\" is %q; it must be an IP address", s.IP)
	}
	if s.PeerPort <= 0 || s.MetricsPort <= 0 || s.PeerPort == s.MetricsPort {
		return oops.Errorf("the peer port is %d and the metrics port is %d; both must be above zero and different", s.PeerPort, s.MetricsPort)
	}
	if s.LinkBytesPerSecond < 0 {
		return oops.Errorf("the network link rate is %v bytes per second; it must not be negative", s.LinkBytesPerSecond)
	}
	if s.MaxDescriptors < 0 {
		return oops.Errorf("the number of file descriptors is %d; it must not be negative", s.MaxDescriptors)
	}
	if s.Bounds.ConfigApply < minConfigApply {
		return oops.Errorf("bound for the application of a configuration is %s; it must be at least %s", s.Bounds.ConfigApply, minConfigApply)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryExtra < 0 || s.Bounds.RetryWindow < time.Second {
		return oops.Errorf("the retry limit is a ratio of %v plus %v retries in %v; ratio and number must not be negative and the window must be at least 1s",
			s.Bounds.RetryRatio, s.Bounds.RetryExtra, s.Bounds.RetryWindow)
	}
	if s.Bounds.StrictRevoke && s.Bounds.Revoke < minRevoke {
		return oops.Errorf("bound for the withdrawal of a key is %s; with strictRevoke it must be at least %s", s.Bounds.Revoke, minRevoke)
	}
	if s.Bounds.QuotaWindow < 0 || s.Bounds.QuotaOverage < 0 || s.Bounds.QuotaSlack < 0 {
		return oops.Errorf("the bound of account limits is a window of %v, an overage of %v and a slack of %v; none may be negative",
			s.Bounds.QuotaWindow, s.Bounds.QuotaOverage, s.Bounds.QuotaSlack)
	}
	if s.Heartbeat <= 0 {
		return oops.Errorf("setting \"heartbeat\" must be above zero")
	}
	return nil
}
