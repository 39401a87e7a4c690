package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// processesFile lists the processes, one per line: the name, a tab and the command. No
// argument of a command may contain a space, because harness/demo.sh splits at spaces.
const processesFile = "processes.tsv"

const processesMode = 0o600

// upstreamLatencyMS is the latency of the fake upstreams, without jitter.
const upstreamLatencyMS = 5

func writeProcesses(dir string) error {
	var lines strings.Builder
	fmt.Fprintf(&lines, "platform\tbin/harness/platformd -listen 127.0.0.1:%d\n", platformPort)
	for _, mesh := range meshes() {
		for _, i := range mesh.Instances {
			settings := mesh.SettingsPath(dir, i)
			fmt.Fprintf(&lines, "%s-node\tbin/corianderwood run --settings %s\n", i.Name, settings)
			fmt.Fprintf(&lines, "%s-upstream\tbin/harness/upstreamd -listen %s -announce http://%s -service %s -version %s -behavior {\"latency_ms\":%d,\"failure_rate\":%g}\n",
				i.Name, i.Upstream(), i.Announce(), i.Service, i.Version, upstreamLatencyMS, i.Failure)
		}
	}
	return os.WriteFile(filepath.Join(dir, processesFile), []byte(lines.String()), processesMode)
}
