package layout

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"time"

	"corianderwood.example/corianderwood/pkg/keys"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Mesh is a deployment with its instances.
type Mesh struct {
	Shape     Shape
	Instances []Instance
	// Platform is the base URL of the (fake) platform.
	Platform string
}

// Generate writes credentials, keys and settings to dir. It creates keys for two
// operators: one of the team admin and one of the team named like the mesh. The mesh must
// have at least seedsPerMesh instances.
func (m Mesh) Generate(dir string) error {
	meshDir := filepath.Join(dir, m.Shape.Name)
	if err := os.MkdirAll(meshDir, directoryMode); err != nil {
		return err
	}
	credentials := []byte(`{"access_key_id": "demo", "secret_access_key": "demo"}`)
	if err := os.WriteFile(filepath.Join(dir, "credentials.json"), credentials, fileMode); err != nil {
		return err
	}
	now := time.Now()
	authority, err := keys.NewAuthority(now)
	if err != nil {
		return err
	}
	if err := authority.Write(meshDir); err != nil {
		return err
	}
	for _, team := range []string{"admin", m.Shape.Name} {
		pair, err := authority.NewOperator(now, "operator-"+team, team)
		if err != nil {
			return err
		}
		if err := pair.Write(meshDir, "operator-"+team); err != nil {
			return err
		}
	}
	for _, instance := range m.Instances {
		pair, err := authority.NewNode(now, instance.Name, []net.IP{net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		if err := pair.Write(meshDir, instance.Name); err != nil {
			return err
		}
		if err := m.writeSettings(dir, instance); err != nil {
			return err
		}
	}
	return nil
}

func (m Mesh) writeSettings(dir string, instance Instance) error {
	var seeds []string
	for _, seed := range m.Instances[:seedsPerMesh] {
		seeds = append(seeds, seed.Control())
	}
	data, err := json.MarshalIndent(instance.Settings(dir, m.Shape.Name, m.Platform, seeds), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.SettingsPath(dir, instance), data, fileMode)
}

// SettingsPath returns the path of the settings file of an instance.
func (m Mesh) SettingsPath(dir string, i Instance) string {
	return filepath.Join(dir, m.Shape.Name, i.Name+".json")
}

// OperatorKeys loads the keys that Generate wrote for the operator of a team.
func (m Mesh) OperatorKeys(dir, team string) (*keys.Reloader, error) {
	base := filepath.Join(dir, m.Shape.Name)
	return keys.NewReloader(keys.Files{
		CA:          filepath.Join(base, "ca.pem"),
		Certificate: filepath.Join(base, "operator-"+team+".pem"),
		Key:         filepath.Join(base, "operator-"+team+"-key.pem"),
	})
}
