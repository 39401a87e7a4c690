package layout

import "corianderwood.example/corianderwood/pkg/config"

// Shape describes one deployment: its failure domains, services and routes.
type Shape struct {
	Name, Region string
	Domains      []string
	Services     []ServiceShape
	Routes       []config.Route
}

// ServiceShape describes a service with its number of servers per version.
type ServiceShape struct {
	Name string
	// Servers is the number of servers that run VersionOld.
	Servers int
	// NewServers is the number of additional servers that run VersionNew.
	NewServers int
	// NewFailure is the fraction of calls that VersionNew fails, from 0 to 1.
	NewFailure float64
}

// Versions of the services of a test mesh.
const (
	VersionOld = "v1"
	VersionNew = "v2"
)
