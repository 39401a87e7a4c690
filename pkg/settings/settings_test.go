package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samber/oops"
)

// valid returns valid settings whose files exist.
func valid(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"ca.pem", "node.pem", "node-key.pem", "credentials.json"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text := `{
  "instance": "orders-1", "failure_domain": "cymru-a", "region": "cymru",
  "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:8081", "control": "127.0.0.1:8082",
    "operators": "127.0.0.1:8083", "announce": "127.0.0.1:8084", "metrics": "127.0.0.1:8085"},
  "tls": {"ca": "DIR/ca.pem", "certificate": "DIR/node.pem", "key": "DIR/node-key.pem"},
  "platform": {"table_endpoint": "http://127.0.0.1:9000", "table": "mesh", "object_endpoint": "http://127.0.0.1:9001",
    "bucket": "mesh", "region": "local", "credentials_file": "DIR/credentials.json"},
  "drain_timeout": "30s"
}`
	return strings.ReplaceAll(text, "DIR", dir)
}

// Guards against invalid settings that are accepted, and against errors that do not name
// the field and the remedy.
func TestParse(t *testing.T) {
	tests := []struct {
		name, old, new string
		field, remedy  string // "" means that the settings are valid
	}{
		{"valid", "", "", "", ""},
		{"unknown field", `"drain_timeout"`, `"drain_time"`, "drain_time", "docs/settings.md"},
		{"number without unit", `"30s"`, `30`, "30 is not a duration", `"10s"`},
		{"wrong unit", `"30s"`, `"30 seconds"`, "30 seconds", "unit"},
		{"wrong type", `"orders-1"`, `7`, "instance", "string"},
		{"out of range", `"30s"`, `"30h"`, "drain_timeout", "10m"},
		{"host name for an address", `127.0.0.1:8081`, `localhost:8081`, "listen.peers", "127.0.0.1:8080"},
		{"address used twice", `127.0.0.1:8081`, `127.0.0.1:8080`, "listen.peers", "own port"},
		{"tcp and udp may share a port", `127.0.0.1:8082`, `127.0.0.1:8081`, "", ""},
		{"announce reachable from outside", `127.0.0.1:8084`, `0.0.0.0:8084`, "listen.announce", "loopback"},
		{"peers cannot reach it", `127.0.0.1:8081`, `0.0.0.0:8081`, "listen.peers", "IP address"},
		{"missing file", `node.pem`, `gone.pem`, "tls.certificate", "corianderctl keys"},
		{"bad name", `"cymru-a"`, `"Cymru A"`, "failure_domain", "lower-case"},
		{"not a URL", `http://127.0.0.1:9000`, `127.0.0.1:9000`, "platform.table_endpoint", "https://host:port"},
		{"text after the object", `"30s"
}`, `"30s"
} {}`, "settings", "one JSON object"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid(t), test.old, test.new, 1)))
			if test.field == "" {
				if err != nil {
					t.Fatalf("unexpected error: %v", err)
				}
				return
			}
			if err == nil {
				t.Fatal("no error")
			}
			text := err.Error() + hint(err)
			if !strings.Contains(text, test.field) || !strings.Contains(text, test.remedy) {
				t.Errorf("error %q does not name field %q and remedy %q", text, test.field, test.remedy)
			}
			if problems := strings.Count(err.Error(), "\n") + 1; problems != 1 {
				t.Errorf("%d errors for one problem: %v", problems, err)
			}
		})
	}
}

func hint(err error) string {
	if o, ok := oops.AsOops(err); ok {
		return " " + o.Hint()
	}
	return ""
}
