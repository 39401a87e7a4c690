package demo

import (
	"fmt"

	"corianderwood.example/corianderwood/harness/layout"
)

// meshes returns the meshes of both deployments.
func meshes() []layout.Mesh {
	platform := fmt.Sprintf("http://127.0.0.1:%d", platformPort)
	var all []layout.Mesh
	for n, shape := range []layout.Shape{kapiti(), dyffryn()} {
		all = append(all, layout.Mesh{
			Shape: shape, Instances: shape.Instances(firstPort + n*portsPerMesh), Platform: platform,
		})
	}
	return all
}

// Generate writes the keys, settings and the list of processes of both meshes to dir.
func Generate(dir string) error {
	for _, mesh := range meshes() {
		if err := mesh.Generate(dir); err != nil {
			return fmt.Errorf("mesh %s: %w", mesh.Shape.Name, err)
		}
	}
	return writeProcesses(dir)
}
