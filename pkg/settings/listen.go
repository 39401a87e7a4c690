package settings

// Listen holds the addresses that the node listens on, as IP:port.
type Listen struct {
	// Callers accepts calls from callers (HTTP, or HTTPS with caller_tls).
	Callers string `json:"callers"`
	// Peers accepts calls from other nodes (TCP, mutual TLS).
	Peers string `json:"peers"`
	// Control exchanges configuration and membership with other nodes (UDP, QUIC).
	Control string `json:"control"`
	// Operators accepts requests from operators (TCP, mutual TLS).
	Operators string `json:"operators"`
	// Announce accepts announcements of the local upstream; it must be a loopback
	// address.
	Announce string `json:"announce"`
	// Metrics serves /metrics, /healthz and /readyz.
	Metrics string `json:"metrics"`
}
