package link

import (
	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Shared holds what all links of a node share.
type Shared struct {
	// Uplink distributes the node's uplink bandwidth among its links.
	Uplink *uplink.Scheduler
	// Bodies limits the memory of the large frames that the links have received in part.
	Bodies  *boundedio.Budget
	Metrics *Metrics
	// Downlink grants the large requests of peers. Without it, peers send them at once.
	Downlink *Downlink
}
