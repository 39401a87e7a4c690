package layout

import "time"

// Values used in the settings of a test mesh.
const (
	requestTimeout = 2 * time.Second
	drainTimeout   = 10 * time.Second
	falseAlarmRate = 0.001 // fraction of good moves that may be rolled back by chance
	// seedsPerMesh is the number of nodes whose control addresses are in the settings of
	// all nodes.
	seedsPerMesh = 3
)
