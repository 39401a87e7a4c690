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

// Times of the proofs.
const (
	startLimit = 20 * time.Second
	// convergenceLimit is the stated bound for an accepted revision.
	convergenceLimit = 12 * time.Second
	poll             = 10 * time.Millisecond
)

// cluster is a mesh of node processes with stand-ins in the test process.
type cluster struct {
	t         *testing.T
	dir       string
	mesh      layout.Mesh
	platform  *fake.Platform
	nodes     []*node
	upstreams []*announced
	admin     []*operator.Client
	team      []*operator.Client
}

// node is one node process.
type node struct {
	instance layout.Instance
	settings string
	log      string
	cmd      *exec.Cmd
}

// announced is an upstream stand-in and its announcer.
type announced struct {
	*fake.Upstream
	announcer *fake.Announcer
	stop      context.CancelFunc
}

// seed returns the seed of the proofs, from SEED.
func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("SEED")
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("SEED is %q; set a number", text)
	}
	return n
}

// shape is a small mesh: two services with three servers each over three failure domains.
func shape() layout.Shape {
	return layout.Shape{
		Name: "proof", Region: "wgtn", Domains: []string{"wgtn-a", "wgtn-b", "wgtn-c"},
		Services: []layout.ServiceShape{{Name: "floodbook", Servers: 3}, {Name: "sheetwatch", Servers: 3}},
		Routes: []config.Route{
			{Name: "floods", PathPrefix: "/floods", Service: "floodbook"},
			{Name: "sheets", PathPrefix: "/sheets", Service: "sheetwatch"},
		},
	}
}

// start runs the mesh and puts the first document in force.
func start(t *testing.T, s layout.Shape) *cluster {
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
	c.operators()
	c.waitMembers(len(c.nodes))
	c.edit(c.admin[0], s.Section())
	c.waitReady()
	return c
}

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
	c.upstreams[i] = &announced{Upstream: up, announcer: announcer, stop: stop}
}

func (c *cluster) operators() {
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

// stop ends all processes and keeps the logs of a failed test.
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

// kill ends a node process at once.
func (c *cluster) kill(i int) {
	_ = c.nodes[i].cmd.Process.Kill()
	_ = c.nodes[i].cmd.Wait()
}

// signal sends a signal to a node process.
func (c *cluster) signal(i int, s syscall.Signal) {
	c.t.Helper()
	if err := c.nodes[i].cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// edit applies a section through a client and returns the accepted revision.
func (c *cluster) edit(client *operator.Client, section config.Section) operator.EditResponse {
	c.t.Helper()
	answer, err := c.tryEdit(client, section)
	if err != nil {
		c.t.Fatalf("edit: %v", err)
	}
	return answer
}

func (c *cluster) tryEdit(client *operator.Client, section config.Section) (operator.EditResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	base := uint64(0)
	if current, err := client.Section(ctx, section.Name); err == nil {
		base = current.SectionRevision
	}
	return client.Edit(ctx, operator.Edit{OperationID: fmt.Sprintf("op-%d", time.Now().UnixNano()), BaseRevision: base, Section: section})
}

// callerURLs returns the base URLs of the nodes' callers' listeners.
func (c *cluster) callerURLs(nodes ...int) []string {
	var urls []string
	for _, i := range nodes {
		urls = append(urls, "http://"+c.mesh.Instances[i].Callers())
	}
	return urls
}

// except returns the node numbers but the given ones.
func (c *cluster) except(left ...int) []int {
	var rest []int
	for i := range c.nodes {
		skip := false
		for _, l := range left {
			skip = skip || l == i
		}
		if !skip {
			rest = append(rest, i)
		}
	}
	return rest
}

// changed returns the section with another slow limit, so that it has a new body.
func changed(section config.Section, n int) config.Section {
	const base = 200
	services := append([]config.Service(nil), section.Services...)
	services[0].SlowMS = base + n
	section.Services = services
	return section
}
