package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/keys"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/peer"
	"golang.org/x/sync/errgroup"
)

// gossipWireNodes is the number of agents that run over QUIC on loopback. Each has as
// many partners as a node of a large mesh.
const gossipWireNodes = 2*member.Rings + 4

// gossipWire measures the bytes of QUIC, with handshakes, headers and
// acknowledgements, for agents on loopback.
func gossipWire(ctx context.Context) ([]Row, error) {
	dir, err := os.MkdirTemp("", "gossip-wire")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	reloader, err := gossipKeys(dir)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var links []*peer.Transport
	var agents []*gossip.Agent
	for i := range gossipWireNodes {
		link, err := peer.New(peer.Options{Addr: "127.0.0.1:0", TLS: reloader.LinkConfig})
		if err != nil {
			return nil, err
		}
		self := gossipMember(i)
		self.ControlAddr = link.Addr()
		agent := gossip.NewAgent(self, link, gossip.Options{Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		g.Go(func() error { return agent.Run(ctx) })
		if i > 0 {
			if err := agent.Join(ctx, []string{links[0].Addr()}); err != nil {
				return nil, err
			}
		}
		links, agents = append(links, link), append(agents, agent)
	}
	time.Sleep(15 * time.Second) // all links to partners are open
	before, opened := wireTotals(links)
	const seconds = 10
	time.Sleep(seconds * time.Second)
	after, _ := wireTotals(links)
	live := len(agents[0].Members())
	cancel()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if live != gossipWireNodes {
		return nil, fmt.Errorf("gossip: %d of %d nodes are known; the figures would be wrong", live, gossipWireNodes)
	}
	return []Row{
		AtMost("gossip.wire.rest.sent_and_received", float64(after-before)/gossipWireNodes/seconds, "B/s/node", gossipBytesPerSecond),
		Unbounded("gossip.wire.start.sent_and_received", float64(before)/gossipWireNodes, "B/node"),
		Unbounded("gossip.wire.connections", float64(opened)/gossipWireNodes, "connections/node"),
	}, nil
}

// gossipKeys writes the keys of one node certificate, which all nodes use.
func gossipKeys(dir string) (*keys.Reloader, error) {
	authority, err := keys.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	if err := authority.Write(dir); err != nil {
		return nil, err
	}
	pair, err := authority.NewNode(time.Now(), "node", []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	if err := pair.Write(dir, "node"); err != nil {
		return nil, err
	}
	return keys.NewReloader(keys.Files{
		CA: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "node.pem"), Key: filepath.Join(dir, "node-key.pem"),
	})
}

func wireTotals(links []*peer.Transport) (bytes uint64, connections int) {
	for _, l := range links {
		stats := l.Stats()
		bytes += stats.BytesSent + stats.BytesReceived
		connections += stats.Connections
	}
	return bytes, connections
}
