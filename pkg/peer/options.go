package peer

import (
	"crypto/tls"

	"github.com/prometheus/client_golang/prometheus"
)

// Options configure a Transport.
type Options struct {
	// Addr is the UDP address to listen on and to send from, such as "10.0.0.1:7400".
	Addr string
	// TLS returns the configuration of incoming and outgoing connections. It is
	// called for each connection, so that reloaded keys take effect. It must set the
	// certificates, RootCAs, ClientCAs and, unless certificates name the IP addresses
	// of nodes, ServerName. The transport requires and verifies certificates on both
	// sides.
	TLS func() *tls.Config
	// Registerer receives the metrics; nil means that they are not exported.
	Registerer prometheus.Registerer
}
