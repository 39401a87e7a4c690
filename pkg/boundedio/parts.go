package boundedio

import "sync"

const (
	// firstPart is the size of the first buffer for a body, in bytes.
	firstPart = 4 << 10
	// partSize is the size of the further buffers, in bytes.
	partSize = 32 << 10
)

// partBuffers holds the further buffers of all bodies, so that bodies that end early leave no
// garbage that could exceed the memory for bodies.
var partBuffers = sync.Pool{New: func() any { return new([partSize]byte) }}

// parts is a body that is being received.
type parts struct {
	first  []byte
	others []*[partSize]byte
	used   int // bytes of others
	size   int // bytes of others that may be used
}

// room returns the space for the next bytes, which is empty if the body must grow.
func (p *parts) room() []byte {
	if len(p.first) < cap(p.first) {
		return p.first[len(p.first):cap(p.first)]
	}
	if p.used == p.size {
		return nil
	}
	last := len(p.others) - 1
	return p.others[last][p.used-last*partSize : p.size-last*partSize]
}

// grow adds space for n bytes, at most partSize. There must be no room left.
func (p *parts) grow(n int) {
	if p.first == nil {
		p.first = make([]byte, 0, n)
		return
	}
	if p.size == len(p.others)*partSize {
		p.others = append(p.others, partBuffers.Get().(*[partSize]byte))
	}
	p.size = min(p.size+n, len(p.others)*partSize)
}

// advance records that n bytes of the room were filled.
func (p *parts) advance(n int) {
	if len(p.first) < cap(p.first) {
		p.first = p.first[:len(p.first)+n]
		return
	}
	p.used += n
}

func (p *parts) len() int { return len(p.first) + p.used }

// whole returns the body. Its bytes are valid after release.
func (p *parts) whole() []byte {
	if p.used == 0 {
		return p.first
	}
	out := append(make([]byte, 0, p.len()), p.first...)
	for _, part := range p.others {
		out = append(out, part[:min(partSize, p.len()-len(out))]...)
	}
	return out
}

// release gives the buffers back.
func (p *parts) release() {
	for _, part := range p.others {
		partBuffers.Put(part)
	}
	p.others = nil
}
