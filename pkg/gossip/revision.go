package gossip

import "corianderwood.example/corianderwood/pkg/config"

// Revision is a head together with the bodies of all its sections, by hash. It is
// immutable.
type Revision struct {
	Head   config.Head
	Bodies map[string][]byte
}
