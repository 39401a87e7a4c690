package gossip

import (
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"
)

// Options configure an Agent. The zero value is usable.
type Options struct {
	// Rand is the source of random numbers; nil means a randomly seeded one. The Agent
	// owns it.
	Rand *rand.Rand
	// Registerer receives the metrics; nil means that they are not exported.
	Registerer prometheus.Registerer
}
