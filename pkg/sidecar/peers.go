package sidecar

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// nodeRow is the store row with the address on which a node accepts links.
type nodeRow struct {
	Address string `cbor:"1,keyasint"`
}

// peers keeps an outbound link to every other node of the mesh and accepts inbound
// links. It is safe for concurrent use; mu guards the maps.
type peers struct {
	node       *Node
	newestRows chan []rowcache.Row // holds at most the newest list of rows
	// helloQueue holds the Hello frames of nodes that opened a link to this node.
	helloQueue chan link.Hello

	mu       sync.Mutex
	dialed   map[string]*peer
	inbound  map[*link.Link]struct{}
	accepted map[*acceptedLink]struct{} // connections for inbound links
	probedAt time.Time                  // when all links were last probed
	// reported holds the last reported state of each node's local server, by node.
	reported     map[string]reportedServer
	rowsRequests *rowsRequests
	registering  atomic.Bool // the registration of this node is in progress
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, newestRows: make(chan []rowcache.Row, 1), helloQueue: make(chan link.Hello, helloQueueSize),
		dialed: make(map[string]*peer), inbound: make(map[*link.Link]struct{}),
		accepted: make(map[*acceptedLink]struct{}),
		reported: make(map[string]reportedServer), rowsRequests: newRowsRequests(),
	}
}

// setRows passes the current rows to run and replaces a list that run has not received
// yet. It must be called by applyRows only, because concurrent calls could block.
func (p *peers) setRows(rows []rowcache.Row) {
	select {
	case <-p.newestRows: // discard the older list
	default:
	}
	p.newestRows <- rows
}

// run opens and closes links to other nodes as their rows are added and removed, and
// restores the row of this node if it is missing. It runs until ctx ends.
func (p *peers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case rows := <-p.newestRows:
			if !p.node.cache.Loaded(meshTable) {
				continue
			}
			p.update(ctx, rows)
		case hello := <-p.helloQueue:
			p.dialBack(ctx, hello)
		}
	}
}

func (p *peers) update(ctx context.Context, rows []rowcache.Row) {
	defer contain.Recover(contain.Row, func(error) {})
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
	p.node.otherNodes.Store(int64(len(wanted)))
	if !self && !p.node.closing.Load() {
		go p.register(ctx)
	}
}

// connect opens links to the wanted addresses, by node name, and closes all others. A link
// that dialBack opened to a node without a row stays open while that node has a link to
// this one.
func (p *peers) connect(ctx context.Context, wanted map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.dialed {
		if wanted[name] != peer.address && !(peer.fromHello && wanted[name] == "" && p.linkedFrom(name)) {
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

// dial adds a peer and starts its link. The caller holds mu.
func (p *peers) dial(ctx context.Context, name, address string) *peer {
	peerCtx, stop := context.WithCancel(ctx)
	peer := &peer{name: name, address: address, peers: p, stop: stop}
	p.dialed[name] = peer
	go peer.run(peerCtx)
	return peer
}

// dialBack opens a link to a node that has opened one to this node and whose row is not
// known: the node may have registered just before the store became unavailable.
func (p *peers) dialBack(ctx context.Context, hello link.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unlisted() >= p.node.settings.connections(linkConnectionShare)/maxUnlistedShare {
		return
	}
	if _, ok := p.dialed[hello.Node]; ok || hello.Node == p.node.settings.Node || !p.linkedFrom(hello.Node) {
		return
	}
	p.dial(ctx, hello.Node, hello.Address).fromHello = true
	event.PeerDiscovered.Log("peer", hello.Node, "address", hello.Address)
}

// unlisted returns the number of peers without a row. The caller holds mu.
func (p *peers) unlisted() int {
	count := 0
	for _, peer := range p.dialed {
		if peer.fromHello {
			count++
		}
	}
	return count
}

// linkedFrom reports whether the named node has an open link to this node. The caller
// holds mu.
func (p *peers) linkedFrom(name string) bool {
	for l := range p.inbound {
		if l.Peer.Node == name {
			return true
		}
	}
	return false
}

// row returns the store row of this node.
func (n *Node) row() nodeRow {
	return nodeRow{Address: net.JoinHostPort(n.settings.IP, portText(n.settings.PeerPort))}
}

// register writes the row of this node and retries until it succeeds or ctx ends. It is
// called again when a change of the table shows that the row is missing or different.
func (p *peers) register(ctx context.Context) {
	if !p.registering.CompareAndSwap(false, true) {
		return
	}
	defer p.registering.Store(false)
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

// accept accepts links from other nodes until the listener is closed.
func (p *peers) accept(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if a := p.admit(conn); a != nil {
			go p.serve(ctx, a)
		}
	}
}

// serve runs one inbound link until it closes.
func (p *peers) serve(ctx context.Context, a *acceptedLink) {
	conn := a.conn
	defer p.forget(a)
	defer contain.Recover(contain.Link, func(error) { _ = conn.Close() })
	l, err := link.Open(ctx, conn, p.node.hello(), (*handler)(p.node), p.node.links)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = l.Run(func(l *link.Link) { // the node that opened the link logs its end
		p.mu.Lock()
		p.inbound[l] = struct{}{}
		a.link = l
		p.mu.Unlock()
		p.queueHello(l.Peer)
		p.sendState(l)
	})
	p.mu.Lock()
	delete(p.inbound, l)
	p.mu.Unlock()
}

// queueHello passes the Hello of a node that opened a link to run.
func (p *peers) queueHello(hello link.Hello) {
	if hello.Address == "" {
		return
	}
	select {
	case p.helloQueue <- hello:
	default: // the queue is full; the node's row or its next link provides the address
	}
}

// sendState sends the state of the local server, the table versions and the rollout
// evidence on a new inbound link.
func (p *peers) sendState(l *link.Link) {
	_ = l.Send(link.KindServerState, p.node.serverState(time.Now())) // after a lost link, the next one sends it again
	p.sendReport(l)
	_ = l.Send(link.KindVersions, p.node.versions())
	for _, e := range p.node.evidenceForPeer(time.Now()) { // a restarted peer has lost its evidence
		_ = l.Send(link.KindEvidence, link.Evidence{Evidence: e})
	}
}

func (n *Node) hello() link.Hello {
	return link.Hello{Node: n.settings.Node, Process: n.process, Address: n.row().Address, FailureDomain: n.settings.FailureDomain, LinkBytesPerSecond: n.settings.LinkBytesPerSecond}
}

// versions returns the versions of this node's copies of the tables.
func (n *Node) versions() link.Versions {
	return link.Versions{Tables: n.cache.Versions(), Following: n.followsAll(), Configuration: n.configurationVersion()}
}

// broadcast sends a frame on every inbound link.
func (p *peers) broadcast(kind link.Kind, v any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.inbound {
		_ = l.Send(kind, v) // after a lost link, the next one sends the state again
	}
}

// awaitWritten waits until the frames that were broadcast so far are written on the given
// number of inbound links, or on all if there are fewer, but at most for the given time. It
// returns on how many they are.
func (p *peers) awaitWritten(copies int, atMost time.Duration) int {
	p.mu.Lock()
	written := make(chan struct{}, len(p.inbound))
	for l := range p.inbound {
		l.NotifyWritten(written)
	}
	copies = min(copies, len(p.inbound))
	p.mu.Unlock()
	timeout := time.NewTimer(atMost)
	defer timeout.Stop()
	for i := range copies {
		select {
		case <-written:
		case <-timeout.C:
			return i
		}
	}
	return copies
}

// announceVersions sends the versions of this node's copies of the tables to its peers.
func (p *peers) announceVersions() {
	p.broadcast(link.KindVersions, p.node.versions())
}

// probeLinks checks that the peers of all outbound links respond, at most once in
// probeInterval.
func (p *peers) probeLinks(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probedAt) < probeInterval {
		return
	}
	p.probedAt = now
	for _, peer := range p.dialed {
		if l := peer.link.Load(); l != nil && !l.Silent() {
			l.Probe()
		}
	}
}

// openLinks returns the links that this node has opened and that respond.
func (p *peers) openLinks() []*link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*link.Link
	for _, peer := range p.dialed {
		if l := peer.link.Load(); l != nil && l.Alive() && !l.Silent() {
			out = append(out, l)
		}
	}
	return out
}

// names returns the names of the peers with an established outbound link.
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
