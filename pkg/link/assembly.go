package link

import (
	"encoding/binary"
	"errors"

	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/boundedio"
)

// errTransferInvalid ends a link, because the remaining parts of the transfer would be
// taken for those of another one.
var errTransferInvalid = errors.New("link: the large frames of the peer exceed the limits or overlap; check that the peer is a node of a compatible version")

// assembly holds the received parts of a transfer in buffers of bodyBuffers, so that
// transfers that end early leave no garbage.
type assembly struct {
	id       uint64
	size     int
	received int
	buffers  []*[maxUndividedBytes]byte
	hold     boundedio.Hold
}

// reassemble adds one part to the transfer that the link receives. It returns the kind and
// body of the frame once that is complete, and a nil body otherwise. Only the reading
// goroutine calls it. Since a link sends its transfers one after the other, a part of
// another one means that the peer is not a node.
func (l *Link) reassemble(body []byte) (Kind, []byte, error) {
	if len(body) < partHeader {
		return 0, nil, oops.Errorf("part of %d bytes is shorter than its header", len(body))
	}
	id, size := binary.BigEndian.Uint64(body), int(binary.BigEndian.Uint32(body[8:]))
	payload := body[partHeader:]
	if size > maxFrameBytes {
		return 0, nil, errors.Join(errTransferInvalid, oops.Errorf("a frame of %d bytes is announced; the limit is %d", size, maxFrameBytes))
	}
	if len(payload) == 0 { // the sender has abandoned the transfer
		l.dropAssembly()
		return 0, nil, nil
	}
	if l.assembly == nil {
		l.assembly = &assembly{id: id, size: size, hold: l.bodies.HoldFor(l.holder)}
		l.assembling.Store(true)
	}
	a := l.assembly
	if a.id != id {
		return 0, nil, errors.Join(errTransferInvalid, oops.Errorf("transfer %d begins before transfer %d is complete", id, a.id))
	}
	if err := a.add(payload); err != nil {
		return 0, nil, errors.Join(errTransferInvalid, err)
	}
	if a.received < a.size {
		return 0, nil, nil
	}
	whole := a.whole()
	l.dropAssembly()
	if Kind(whole[0]) == KindPart { // each level would recurse once more
		return 0, nil, errors.Join(errTransferInvalid, oops.Errorf("transfer %d holds a part of another transfer", id))
	}
	return Kind(whole[0]), whole[1:], nil
}

// add appends a part.
func (a *assembly) add(payload []byte) error {
	for len(payload) > 0 {
		used := a.received % maxUndividedBytes
		if used == 0 {
			if err := a.hold.Grow(maxUndividedBytes); err != nil {
				return err
			}
			a.buffers = append(a.buffers, bodyBuffers.Get().(*[maxUndividedBytes]byte))
		}
		n := copy(a.buffers[len(a.buffers)-1][used:], payload)
		a.received += n
		payload = payload[n:]
	}
	return nil
}

// whole returns the content of the transfer.
func (a *assembly) whole() []byte {
	out := make([]byte, 0, a.received)
	for _, b := range a.buffers {
		out = append(out, b[:min(maxUndividedBytes, a.received-len(out))]...)
	}
	return out
}

// dropAssembly drops the transfer that the link has not received completely, if any.
func (l *Link) dropAssembly() {
	if l.assembly == nil {
		return
	}
	for _, b := range l.assembly.buffers {
		bodyBuffers.Put(b)
	}
	l.assembly.hold.Release()
	l.assembly = nil
	l.assembling.Store(false)
}
