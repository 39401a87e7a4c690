package demo

// Ports of the demonstration.
const (
	platformPort = 21000
	// firstPort is the first port of the instances, above that of the fake platform.
	firstPort = 21010
	// portsPerMesh is the number of ports reserved for the instances of each mesh.
	portsPerMesh = 400
)
