package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/harness/layout"
)

// Stated targets for the memory, control traffic and processor time of an idle node.
const (
	targetRSS          = 32    // MB
	targetControlBytes = 7000  // B/s; only sent bytes are compared with it
	targetCPU          = 0.031 // cores; node_cpu_idle has no bound, so it is not checked
)

const (
	nodeBinary     = "bin/corianderwood"
	nodeBasePort   = 31000
	nodeSettleTime = 10 * time.Second
	nodeIdleTime   = 20 * time.Second
)

// NodeProcessSuite runs six idle node processes and measures their memory, processor time
// and control traffic. It needs the binary that `make build` creates.
func NodeProcessSuite() Suite {
	return Suite{Name: "node-process", Run: runNodeProcesses}
}

func runNodeProcesses(ctx context.Context) ([]Row, error) {
	dir, err := os.MkdirTemp("", "bench-node")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	platform := httptest.NewServer(fake.NewPlatform(1))
	defer platform.Close()
	shape := layout.Shape{
		Name: "idle", Region: "wgtn", Domains: []string{"wgtn-a", "wgtn-b", "wgtn-c"},
		Services: []layout.ServiceShape{{Name: "floodbook", Servers: 6}},
	}
	mesh := layout.Mesh{Shape: shape, Instances: shape.Instances(nodeBasePort), Platform: platform.URL}
	if err := mesh.Generate(dir); err != nil {
		return nil, err
	}
	var processes []*exec.Cmd
	defer func() {
		for _, p := range processes {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}()
	for _, instance := range mesh.Instances {
		cmd := exec.CommandContext(ctx, nodeBinary, "run", "--settings", mesh.SettingsPath(dir, instance))
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("start node process (built by `make build`): %w", err)
		}
		processes = append(processes, cmd)
	}
	time.Sleep(nodeSettleTime)
	before, err := sampleNodes(mesh, processes)
	if err != nil {
		return nil, err
	}
	time.Sleep(nodeIdleTime)
	after, err := sampleNodes(mesh, processes)
	if err != nil {
		return nil, err
	}
	seconds := nodeIdleTime.Seconds()
	return []Row{
		AtMost("node_rss_idle", after.rss, "MB", targetRSS),
		Unbounded("node_cpu_idle", (after.cpu-before.cpu)/seconds, "cores"),
		AtMost("node_control_bytes_idle", (after.control-before.control)/seconds, "B/s", targetControlBytes),
		Unbounded("node_goroutines_idle", after.goroutines, "count"),
	}, nil
}

// nodeSample holds the maximum of rss (MB) over all processes, and the means of cpu
// (seconds), control (bytes sent) and goroutines.
type nodeSample struct {
	rss, cpu, control, goroutines float64
}

func sampleNodes(mesh layout.Mesh, processes []*exec.Cmd) (nodeSample, error) {
	var total nodeSample
	n := float64(len(processes))
	for i, p := range processes {
		rss, err := processRSS(p.Process.Pid)
		if err != nil {
			return total, err
		}
		metrics, err := readMetrics("http://" + mesh.Instances[i].Metrics() + "/metrics")
		if err != nil {
			return total, err
		}
		total.rss = max(total.rss, rss)
		total.cpu += metrics["process_cpu_seconds_total"] / n
		total.goroutines += metrics["go_goroutines"] / n
		for name, value := range metrics {
			if strings.HasPrefix(name, "corianderwood_peer_sent_bytes_total") {
				total.control += value / n
			}
		}
	}
	return total, nil
}

// processRSS returns the resident memory of a process in MB.
func processRSS(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1000, err
		}
	}
	return 0, errors.New("no VmRSS line in the status file of the process")
}

// readMetrics returns the values on a metrics page by name and labels, as printed there.
func readMetrics(url string) (map[string]float64, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	samples := map[string]float64{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		if value, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			samples[line[:space]] = value
		}
	}
	return samples, scanner.Err()
}
