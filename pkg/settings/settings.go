// Package settings reads and checks the JSON settings file of a node.
package settings

// Settings is the content of a node's settings file.
type Settings struct {
	// Instance is the stable name of the instance; a replacement keeps the name.
	Instance      string   `json:"instance"`
	FailureDomain string   `json:"failure_domain"`
	Region        string   `json:"region"`
	Listen        Listen   `json:"listen"`
	TLS           TLS      `json:"tls"`
	CallerTLS     *KeyPair `json:"caller_tls,omitempty"`
	Platform      Platform `json:"platform"`
	// Peers are control addresses of other nodes, through which the node joins the mesh
	// even while the platform is unavailable.
	Peers []string `json:"peers,omitempty"`
	Moves Moves    `json:"moves"`
	// DrainTimeout limits the duration of a graceful stop, 1s to 10m.
	DrainTimeout Duration `json:"drain_timeout"`
	// LogVerbosity is the klog verbosity, 0 to 10.
	LogVerbosity int `json:"log_verbosity"`
}
