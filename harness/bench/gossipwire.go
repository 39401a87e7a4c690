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

// gossipWireNodes is the number of agents that run over QUIC on loopback. It is large
// enough that each has as many gossip partners as a node of a large mesh.
const gossipWireNodes = 2*member.Rings + 4

// gossipWire measures the bytes that agents on loopback send and receive over QUIC, with
// handshakes, headers and acknowledgements.
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
	var transports []*peer.Transport
	var agents []*gossip.Agent
	for i := range gossipWireNodes {
		transport, err := peer.New(peer.Options{Addr: "127.0.0.1:0", TLS: reloader.LinkConfig})
		if err != nil {
			return nil, err
		}
		self := gossipMember(i)
		self.ControlAddr = transport.Addr()
		agent := gossip.NewAgent(self, transport, gossip.Options{Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		g.Go(func() error { return agent.Run(ctx) })
		if i > 0 {
			if err := agent.Join(ctx, []string{transports[0].Addr()}); err != nil {
				return nil, err
			}
		}
		transports, agents = append(transports, transport), append(agents, agent)
	}
	time.Sleep(15 * time.Second) // all connections to partners are open by then
	before, opened := wireTotals(transports)
	const seconds = 10
	time.Sleep(seconds * time.Second)
	after, _ := wireTotals(transports)
	live := len(agents[0].Members())
	cancel()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if live != gossipWireNodes {
		return nil, fmt.Errorf("gossip: first agent lists %d of %d members; measured traffic is invalid", live, gossipWireNodes)
	}
	return []Row{
		AtMost("gossip.wire.rest.sent_and_received", float64(after-before)/gossipWireNodes/seconds, "B/s/node", gossipBytesTarget),
		Unbounded("gossip.wire.start.sent_and_received", float64(before)/gossipWireNodes, "B/node"),
		Unbounded("gossip.wire.connections", float64(opened)/gossipWireNodes, "connections/node"),
	}, nil
}

// gossipKeys writes a certificate authority and one node certificate to dir, and returns a
// reloader of them, which all agents use.
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

// wireTotals returns the bytes sent and received so far and the open connections of all
// transports.
func wireTotals(transports []*peer.Transport) (bytes uint64, connections int) {
	for _, l := range transports {
		stats := l.Stats()
		bytes += stats.BytesSent + stats.BytesReceived
		connections += stats.Connections
	}
	return bytes, connections
}
