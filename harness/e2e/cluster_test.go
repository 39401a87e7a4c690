package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/harness/layout"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// Time limits of the tests.
const (
	startTimeout = 20 * time.Second
	// convergenceTimeout is the documented bound for an accepted revision to be in force
	// on all nodes.
	convergenceTimeout = 12 * time.Second
	pollInterval       = 10 * time.Millisecond
)

// cluster is a mesh of node processes with a fake platform and fake upstreams in the test
// process. The slices are indexed by node number.
type cluster struct {
	t         *testing.T
	dir       string // settings, keys and logs
	mesh      layout.Mesh
	platform  *fake.Platform
	nodes     []*node
	upstreams []*announcedUpstream
	admin     []*operator.Client // with the keys of the administrators
	team      []*operator.Client // with the keys of the team that owns the section
}

// node is one node process.
type node struct {
	instance layout.Instance
	settings string // path of the settings file
	log      string // path of the log file
	cmd      *exec.Cmd
}

// announcedUpstream is a fake upstream and its announcer.
type announcedUpstream struct {
	*fake.Upstream
	announcer *fake.Announcer
	stop      context.CancelFunc // stops the announcer
}

// seed returns the seed of the tests: the value of the environment variable SEED, or 1 if
// it is not set.
func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("SEED is %q; set it to a non-negative whole number", text)
	}
	return n
}

// defaultShape is a small mesh: two services with three servers each over three failure domains.
func defaultShape() layout.Shape {
	return layout.Shape{
		Name: "proof", Region: "wgtn", Domains: []string{"wgtn-a", "wgtn-b", "wgtn-c"},
		Services: []layout.ServiceShape{{Name: "floodbook", Servers: 3}, {Name: "sheetwatch", Servers: 3}},
		Routes: []config.Route{
			{Name: "floods", PathPrefix: "/floods", Service: "floodbook"},
			{Name: "sheets", PathPrefix: "/sheets", Service: "sheetwatch"},
		},
	}
}

// startCluster starts the nodes and the upstreams of a mesh, applies its configuration and
// waits until all nodes are ready. The cluster is stopped at the end of the test.
func startCluster(t *testing.T, s layout.Shape) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), platform: fake.NewPlatform(seed(t))}
	server := httptest.NewServer(c.platform)
	t.Cleanup(server.Close)
	c.mesh = layout.Mesh{Shape: s, Instances: s.Instances(freePorts(t)), Platform: server.URL}
	if err := c.mesh.Generate(c.dir); err != nil {
		t.Fatal(err)
	}
	for i, instance := range c.mesh.Instances {
		n := &node{instance: instance, settings: c.mesh.SettingsPath(c.dir, instance), log: filepath.Join(c.dir, instance.Name+".log")}
		c.nodes = append(c.nodes, n)
		c.startNode(i)
		c.upstreams = append(c.upstreams, nil)
		c.startUpstream(i)
	}
	t.Cleanup(c.stop)
	c.createClients()
	c.waitMembers(len(c.nodes))
	c.edit(c.admin[0], s.Section())
	c.waitReady()
	return c
}

// startNode starts the process of node i and appends its output to the node's log.
func (c *cluster) startNode(i int) {
	c.t.Helper()
	n := c.nodes[i]
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	n.cmd = exec.Command(nodeBinary, "run", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// startUpstream starts the fake upstream of node i and announces it to the node.
func (c *cluster) startUpstream(i int) {
	c.t.Helper()
	instance := c.mesh.Instances[i]
	listener, err := net.Listen("tcp", instance.Upstream())
	if err != nil {
		c.t.Fatal(err)
	}
	const latencyMS = 5
	up := fake.NewUpstream(fake.UpstreamOptions{Service: instance.Service, Version: instance.Version, Slots: 9, Seed: uint64(i)},
		fake.Behavior{LatencyMS: latencyMS, FailureRate: instance.Failure})
	go func() { _ = up.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	announcer := &fake.Announcer{URL: "http://" + instance.Announce(), Announcement: upstream.Announcement{
		Service: instance.Service, Version: instance.Version, Address: instance.Upstream(), Slots: 9,
		HealthPath: fake.UpstreamHealthPath, LoadPath: fake.UpstreamLoadPath,
	}, Failed: func(error) {}}
	go announcer.Run(ctx)
	c.upstreams[i] = &announcedUpstream{Upstream: up, announcer: announcer, stop: stop}
}

// createClients creates the operator clients of all nodes.
func (c *cluster) createClients() {
	c.t.Helper()
	admin, err := c.mesh.OperatorKeys(c.dir, "admin")
	if err != nil {
		c.t.Fatal(err)
	}
	team, err := c.mesh.OperatorKeys(c.dir, c.mesh.Shape.Name)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, instance := range c.mesh.Instances {
		c.admin = append(c.admin, operator.NewClient(instance.Operators(), admin.OperatorClient()))
		c.team = append(c.team, operator.NewClient(instance.Operators(), team.OperatorClient()))
	}
}

// stop ends all processes and prints the end of the nodes' logs if the test failed.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd.ProcessState == nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	for _, u := range c.upstreams {
		u.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = u.Shutdown(ctx)
		cancel()
	}
	if !c.t.Failed() {
		return
	}
	for _, n := range c.nodes {
		const tail = 3000
		if data, err := os.ReadFile(n.log); err == nil {
			c.t.Logf("log of %s:\n%s", n.instance.Name, data[max(0, len(data)-tail):])
		}
	}
}

// kill ends the process of node i with SIGKILL.
func (c *cluster) kill(i int) {
	_ = c.nodes[i].cmd.Process.Kill()
	_ = c.nodes[i].cmd.Wait()
}

// sendSignal sends a signal to the process of node i.
func (c *cluster) sendSignal(i int, s syscall.Signal) {
	c.t.Helper()
	if err := c.nodes[i].cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// edit applies a section through a client, based on its current revision, and returns the
// response.
func (c *cluster) edit(client *operator.Client, section config.Section) operator.EditResponse {
	c.t.Helper()
	response, err := c.tryEdit(client, section)
	if err != nil {
		c.t.Fatalf("edit: %v", err)
	}
	return response
}

func (c *cluster) tryEdit(client *operator.Client, section config.Section) (operator.EditResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	base := uint64(0)
	if current, err := client.Section(ctx, section.Name); err == nil {
		base = current.SectionRevision
	}
	return client.Edit(ctx, operator.Edit{OperationID: fmt.Sprintf("op-%d", time.Now().UnixNano()), BaseRevision: base, Section: section})
}

// callerURLs returns the base URLs of the caller listeners of the given nodes.
func (c *cluster) callerURLs(nodes ...int) []string {
	var urls []string
	for _, i := range nodes {
		urls = append(urls, "http://"+c.mesh.Instances[i].Callers())
	}
	return urls
}

// nodesExcept returns all node numbers except the given ones.
func (c *cluster) nodesExcept(excluded ...int) []int {
	var rest []int
	for i := range c.nodes {
		skip := false
		for _, l := range excluded {
			skip = skip || l == i
		}
		if !skip {
			rest = append(rest, i)
		}
	}
	return rest
}

// withChangedSlowMS returns a copy of the section whose first service has a latency limit
// (SlowMS) that depends on n, so that its content differs from that of the section.
func withChangedSlowMS(section config.Section, n int) config.Section {
	const base = 200
	services := append([]config.Service(nil), section.Services...)
	services[0].SlowMS = base + n
	section.Services = services
	return section
}
