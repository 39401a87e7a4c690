package sidecar

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// nodeRow tells where a node takes links.
type nodeRow struct {
	Address string `cbor:"1,keyasint"`
}

// peers keeps a link to every other node of the mesh and takes theirs. mu guards
// the maps.
type peers struct {
	node  *Node
	known chan []rowcache.Row // newest node rows only
	// introduced receives nodes that opened a link to this one.
	introduced chan link.Hello

	mu      sync.Mutex
	dialed  map[string]*peer
	inbound map[*link.Link]struct{}
	// told is what nodes said last of the servers beside them, by node.
	told map[string]toldServer
	// asking tells which tables have been asked for at a peer.
	asking sync.Map
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, known: make(chan []rowcache.Row, 1), introduced: make(chan link.Hello, introductions),
		dialed: make(map[string]*peer), inbound: make(map[*link.Link]struct{}),
		told: make(map[string]toldServer),
	}
}

// setKnown hands the current rows to run. Only applyRows calls it.
func (p *peers) setKnown(rows []rowcache.Row) {
	select {
	case <-p.known: // an older list has not been taken
	default:
	}
	p.known <- rows
}

// run starts and ends the links to other nodes as their rows come and go, and
// keeps the row of this node.
func (p *peers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rows := <-p.known:
			if !p.node.cache.Loaded(meshTable) {
				continue
			}
			p.update(ctx, rows)
		case hello := <-p.introduced:
			p.answer(ctx, hello)
		}
	}
}

func (p *peers) update(ctx context.Context, rows []rowcache.Row) {
	self := false
	wanted := make(map[string]string)
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, nodeKeyPrefix)
		if !ok {
			continue
		}
		var value nodeRow
		if err := cbor.Unmarshal(row.Value, &value); err != nil {
			event.PeerFrameMalformed.LogError(err, "row", row.Key)
			continue
		}
		if name == p.node.settings.Node {
			self = value == p.node.row()
			continue
		}
		wanted[name] = value.Address
	}
	p.connect(ctx, wanted)
	p.node.rollouts.SetNodes(len(wanted) + 1)
	p.node.nodes.Store(int64(len(wanted)))
	if !self && !p.node.closing.Load() {
		go p.register(ctx)
	}
}

func (p *peers) connect(ctx context.Context, wanted map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.dialed {
		if wanted[name] != peer.address && !(peer.introduced && wanted[name] == "" && p.linkedFrom(name)) {
			peer.stop()
			delete(p.dialed, name)
		}
	}
	for name, address := range wanted {
		if _, ok := p.dialed[name]; ok {
			continue
		}
		p.dial(ctx, name, address)
	}
}

// dial starts to keep a link to a node. The caller holds mu.
func (p *peers) dial(ctx context.Context, name, address string) *peer {
	peerCtx, stop := context.WithCancel(ctx)
	peer := &peer{name: name, address: address, peers: p, stop: stop}
	p.dialed[name] = peer
	go peer.run(peerCtx)
	return peer
}

// answer opens a link to a node that has opened one, since its row may not have
// arrived: the node may have registered just before the store went away.
func (p *peers) answer(ctx context.Context, hello link.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.dialed[hello.Node]; ok || hello.Node == p.node.settings.Node || !p.linkedFrom(hello.Node) {
		return
	}
	p.dial(ctx, hello.Node, hello.Address).introduced = true
	event.PeerDiscovered.Log("peer", hello.Node, "address", hello.Address)
}

// linkedFrom reports whether a node has a link to this one. The caller holds mu.
func (p *peers) linkedFrom(name string) bool {
	for l := range p.inbound {
		if l.Peer.Node == name {
			return true
		}
	}
	return false
}

// row is the row of this node.
func (n *Node) row() nodeRow {
	return nodeRow{Address: net.JoinHostPort(n.settings.IP, portText(n.settings.PeerPort))}
}

// register writes the row of this node. It is tried again when the next change
// of the table shows the row missing, or after a failure.
func (p *peers) register(ctx context.Context) {
	if _, busy := p.asking.LoadOrStore(nodeKeyPrefix, true); busy {
		return
	}
	defer p.asking.Delete(nodeKeyPrefix)
	value, err := cbor.Marshal(p.node.row())
	if err != nil {
		event.MemberRowWriteFailed.LogError(err)
		return
	}
	write := platform.Write{Key: meshTable + "/" + nodeKeyPrefix + p.node.settings.Node, Value: value}
	for ctx.Err() == nil {
		p.node.metrics.storeCalls.Inc()
		err := p.node.deploy.Store.Transact(ctx, []platform.Write{write})
		if err == nil {
			return
		}
		event.MemberRowWriteFailed.LogError(err)
		sleep(ctx, storeBackoffMax)
	}
}

// accept takes links of other nodes until the listener is closed.
func (p *peers) accept(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go p.serve(ctx, conn)
	}
}

// serve runs one link that another node has opened.
func (p *peers) serve(ctx context.Context, conn net.Conn) {
	l, err := link.Open(ctx, conn, p.node.hello(), (*handler)(p.node), p.node.uplink)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = l.Run(func(l *link.Link) { // the end of the link is the opener's to report
		p.mu.Lock()
		p.inbound[l] = struct{}{}
		p.mu.Unlock()
		p.introduce(l.Peer)
		p.greet(l)
	})
	p.mu.Lock()
	delete(p.inbound, l)
	p.mu.Unlock()
}

// introduce hands a node that opened a link to run.
func (p *peers) introduce(hello link.Hello) {
	if hello.Address == "" {
		return
	}
	select {
	case p.introduced <- hello:
	default: // run is behind; the node's row or its next link will tell
	}
}

// greet tells a peer the state of the server and of the copies.
func (p *peers) greet(l *link.Link) {
	_ = l.Send(link.KindServerState, p.node.serverState(time.Now())) // a lost link greets again
	p.recall(l)
	_ = l.Send(link.KindVersions, p.node.versions())
	for _, e := range p.node.rollouts.Evidence(time.Now()) { // a restarted peer has none
		_ = l.Send(link.KindEvidence, link.Evidence{Evidence: e})
	}
}

func (n *Node) hello() link.Hello {
	return link.Hello{Node: n.settings.Node, Process: n.process, Address: n.row().Address, FailureDomain: n.settings.FailureDomain, LinkBytesPerSecond: n.settings.LinkBytesPerSecond}
}

// versions tells how far the copies of this node are.
func (n *Node) versions() link.Versions {
	v := link.Versions{Tables: n.cache.Versions(), Following: n.followsAll()}
	if t := n.table.Load(); t != nil {
		v.Configuration = t.Version
	}
	return v
}

// broadcast sends a frame to every node that has opened a link to this one.
func (p *peers) broadcast(kind link.Kind, v any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.inbound {
		_ = l.Send(kind, v) // a lost link greets again
	}
}

// announceVersions tells the peers how far the copies of this node are.
func (p *peers) announceVersions() {
	p.broadcast(link.KindVersions, p.node.versions())
}

// names returns the peers that this node can reach.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, peer := range p.dialed {
		if l := peer.link.Load(); l != nil && l.Alive() {
			out = append(out, name)
		}
	}
	return out
}
