package layout

import (
	"fmt"
	"path/filepath"

	"corianderwood.example/corianderwood/pkg/settings"
)

// Instance is one instance of a test mesh: a node and its local upstream.
type Instance struct {
	// Domain is the failure domain; Service and Version are those of the upstream.
	Name, Domain, Region, Service, Version string
	// Failure is the fraction of calls that the upstream fails, from 0 to 1.
	Failure float64
	// FirstPort is the first of the PortsPerInstance loopback ports of the instance.
	FirstPort int
}

// PortsPerInstance is the number of consecutive ports reserved for each instance.
const PortsPerInstance = 8

// Port offsets from Instance.FirstPort.
const (
	portCallers = iota
	portPeers
	portControl
	portOperators
	portAnnounce
	portMetrics
	portUpstream
)

func (i Instance) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", i.FirstPort+offset)
}

// Callers returns the address of the listener for callers.
func (i Instance) Callers() string { return i.address(portCallers) }

// Operators returns the address of the administration API.
func (i Instance) Operators() string { return i.address(portOperators) }

// Announce returns the address of the announce API.
func (i Instance) Announce() string { return i.address(portAnnounce) }

// Metrics returns the address of the metrics and readiness endpoints.
func (i Instance) Metrics() string { return i.address(portMetrics) }

// Upstream returns the address of the upstream.
func (i Instance) Upstream() string { return i.address(portUpstream) }

// Control returns the address of the node's control listener.
func (i Instance) Control() string { return i.address(portControl) }

// Instances returns the instances of the deployment, with ports from firstPort on. The
// instances of a service are assigned to the failure domains in turn.
func (s Shape) Instances(firstPort int) []Instance {
	var all []Instance
	add := func(service ServiceShape, n int, version string, failure float64) {
		for k := range n {
			all = append(all, Instance{
				Name:      fmt.Sprintf("%s-%s-%d", service.Name, version, k+1),
				Domain:    s.Domains[k%len(s.Domains)],
				Region:    s.Region,
				Service:   service.Name,
				Version:   version,
				Failure:   failure,
				FirstPort: firstPort + len(all)*PortsPerInstance,
			})
		}
	}
	for _, service := range s.Services {
		add(service, service.Servers, VersionOld, 0)
		add(service, service.NewServers, VersionNew, service.NewFailure)
	}
	return all
}

// Settings returns the settings of the instance's node. dir is the directory that
// Mesh.Generate writes to, platform the platform's base URL, and seeds the control
// addresses through which the node joins even while the platform is unavailable.
func (i Instance) Settings(dir, mesh, platform string, seeds []string) settings.Settings {
	keys := filepath.Join(dir, mesh)
	return settings.Settings{
		Instance: i.Name, FailureDomain: i.Domain, Region: i.Region,
		Listen: settings.Listen{
			Callers: i.Callers(), Peers: i.address(portPeers), Control: i.Control(),
			Operators: i.Operators(), Announce: i.Announce(), Metrics: i.Metrics(),
		},
		TLS: settings.TLS{
			CA:          filepath.Join(keys, "ca.pem"),
			Certificate: filepath.Join(keys, i.Name+".pem"),
			Key:         filepath.Join(keys, i.Name+"-key.pem"),
		},
		Platform: settings.Platform{
			TableEndpoint: platform, Table: mesh, ObjectEndpoint: platform, Bucket: mesh, Region: "local",
			CredentialsFile: filepath.Join(dir, "credentials.json"),
			RequestTimeout:  settings.Duration(requestTimeout),
		},
		Peers:        seeds,
		Moves:        settings.Moves{FalseAlarmRate: falseAlarmRate},
		DrainTimeout: settings.Duration(drainTimeout),
	}
}
