package sidecar

import (
	"net"
	"time"

	"github.com/samber/oops"
)

// Settings are the settings of one node. Addresses are IP address and port.
type Settings struct {
	// Node names the node; no other node has the name.
	Node          string
	IP            string
	FailureDomain string
	// Service is the service of the server beside the node.
	Service       string
	ServerAddress string
	// ClientAddress takes requests of clients and of the server.
	ClientAddress    string
	ReadyAddress     string
	HeartbeatAddress string
	StoreAddress     string
	// PeerPort takes links of peers; MetricsPort serves metrics.
	PeerPort, MetricsPort int
	// Heartbeat is the time between two heartbeats of a server.
	Heartbeat time.Duration
	Bounds    Bounds
	MemoryMB  int
	// LinkBytesPerSecond is the rate of the instance's network link; 0 is unknown.
	LinkBytesPerSecond float64
}

// Check returns an error that names the first missing or wrong setting.
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
		return oops.Errorf("the port for peers, %d, and the port for metrics, %d, must be set and differ", s.PeerPort, s.MetricsPort)
	}
	if s.LinkBytesPerSecond < 0 {
		return oops.Errorf("the rate of the network link is %v; it must not be negative", s.LinkBytesPerSecond)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryExtra < 0 || s.Bounds.RetryWindow < time.Second {
		return oops.Errorf("the bound on repeats is %v and %v in %v; it must not be negative and the window at least 1s",
			s.Bounds.RetryRatio, s.Bounds.RetryExtra, s.Bounds.RetryWindow)
	}
	if s.Heartbeat <= 0 {
		return oops.Errorf("setting \"heartbeat\" must be above zero")
	}
	return nil
}
