package boundedio

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a Budget.
var (
	// ErrBodyTooLarge means that a body is larger than the whole budget.
	ErrBodyTooLarge = errors.New("the body exceeds the memory for bodies")
	// ErrBudgetExhausted means that what is held at the same time exceeds the budget, and that no
	// memory became free while it was awaited.
	ErrBudgetExhausted = errors.New("the memory for what others send is in use; try again later")
)

// Budget limits the bytes that are held at the same time. A budget may be a part of another one,
// which then limits it too. It is safe for concurrent use; mu guards the holders.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
	whole *Budget // nil if this is not a part
	// wait is how long Grow waits for memory; 0 means not at all.
	wait time.Duration
	// waiters are those that wait for memory of this budget.
	waiters waiters

	mu      sync.Mutex // of the whole only
	holders map[*Holder]struct{}
	// reclaimedAt is when holders were last asked to give memory back.
	reclaimedAt time.Time
}

// NewBudget returns a budget of the given number of bytes, whose holds do not wait for memory.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewWaitingBudget returns a budget of the given number of bytes. If it is exhausted, Grow asks
// holders that make no progress to give memory back, and waits for it for a while.
func NewWaitingBudget(limit int64) *Budget { return &Budget{limit: limit, wait: memoryWait} }

// Part returns a budget that is a part of this one and has a limit of its own.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, wait: b.wait, whole: b} }

// Whole returns the budget that this one is a part of, or itself.
func (b *Budget) Whole() *Budget {
	if b.whole != nil {
		return b.whole
	}
	return b
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes that may be held.
func (b *Budget) Limit() int64 { return b.limit }

// Scarce reports whether more than half of the budget, or of the one that it is a part of, is used.
func (b *Budget) Scarce() bool { return b.beyond(1, 2) }

func (b *Budget) beyond(part, of int64) bool {
	return b.used.Load() > b.limit/of*part || b.whole != nil && b.whole.beyond(part, of)
}

// AwaitRoom waits until there is room for work to start whose memory isn't known, for as long as Grow
// waits, and returns ErrBudgetExhausted if there is none. held is what the work holds already: if that
// is much, AwaitRoom does not wait, since those that wait for each other's memory would keep it.
func (b *Budget) AwaitRoom(held int) error {
	if held > smallHolder && !b.HasRoom(held) {
		return ErrBudgetExhausted
	}
	return b.await(true, func() bool { return b.HasRoom(held) })
}

// HasRoom reports whether there is room for work to start whose memory isn't known and that holds
// the given number of bytes already.
func (b *Budget) HasRoom(held int) bool {
	if held > smallHolder {
		return !b.beyond(3, 4)
	}
	return !b.beyond(15, 16)
}

// await calls ok until it returns true, and meanwhile asks holders for memory. Large holders give up
// earlier.
func (b *Budget) await(small bool, ok func() bool) error {
	wait := b.wait
	if !small {
		wait /= 2
	}
	for deadline := time.Now().Add(wait); !ok(); time.Sleep(memoryPoll) {
		if !time.Now().Before(deadline) {
			return ErrBudgetExhausted
		}
		b.reclaim()
	}
	return nil
}

// take adds n bytes, or changes nothing and returns false. A small holder may use a reserve that
// large ones may not, so that they do not keep ordinary requests out.
func (b *Budget) take(n int64, small bool) bool {
	limit := b.limit
	if !small && b.wait > 0 && b.whole == nil {
		limit -= limit / smallReserve
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	if b.whole != nil && !b.whole.take(n, small) {
		b.used.Add(-n)
		return false
	}
	return true
}

// add adds n bytes, which may be negative, without regard to the limit.
func (b *Budget) add(n int64) {
	for ; b != nil; b = b.whole {
		b.used.Add(n)
	}
}

// Hold is the part of a budget that one message uses. It is not safe for concurrent use.
type Hold struct {
	budget *Budget
	holder *Holder // nil if the memory belongs to none
	held   int64
}

// Hold returns an empty part of the budget. The caller must call Release.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// HoldFor returns an empty part of the budget whose memory belongs to the holder. It must not be
// copied once it is used.
func (b *Budget) HoldFor(holder *Holder) Hold { return Hold{budget: b, holder: holder} }

// Grow adds n bytes to the part, or fails and changes nothing. It may wait for memory.
func (h *Hold) Grow(n int) error {
	size := int64(n)
	if h.held+size > h.budget.limit {
		return ErrBodyTooLarge
	}
	held := h.held
	if h.holder != nil {
		held = h.holder.held.Load()
	}
	small := h.holder == nil || held+size <= smallHolder
	if h.budget.waiters.precede(held) || !h.budget.take(size, small) {
		if h.budget.wait == 0 {
			return ErrBudgetExhausted
		}
		if err := h.awaitTaken(size, held, small); err != nil {
			return err
		}
	}
	h.record(size)
	if h.holder != nil && n >= firstPart {
		h.holder.Progress()
	}
	return nil
}

func (h *Hold) awaitTaken(size, held int64, small bool) error {
	if h.holder != nil {
		h.holder.waiting.Add(1)
		defer h.holder.waiting.Add(-1)
	}
	w := h.budget.waiters.add(held)
	defer h.budget.waiters.remove(w)
	return h.budget.await(small, func() bool { return !h.budget.waiters.precede(held) && h.budget.take(size, small) })
}

// Force adds n bytes to the part although they may exceed the budget: they are held already.
func (h *Hold) Force(n int) {
	h.budget.add(int64(n))
	h.record(int64(n))
}

// Settle changes the part to n bytes, and may exceed the budget for bytes that are held already.
func (h *Hold) Settle(n int) {
	if int64(n) != h.held {
		h.Force(n - int(h.held))
	}
}

func (h *Hold) record(n int64) {
	h.held += n
	if h.holder != nil {
		h.holder.held.Add(n)
	}
}

// Held returns the number of bytes of the part.
func (h *Hold) Held() int { return int(h.held) }

// Release returns the part to the budget.
func (h *Hold) Release() {
	if h.held == 0 {
		return
	}
	h.budget.add(-h.held)
	if h.holder != nil {
		h.holder.held.Add(-h.held)
	}
	h.held = 0
}

// ReadAll reads r to its end. length is the number of bytes that the sender claims to
// send, or negative if it claims none. The part of the budget grows with the bytes that arrive. If
// memory is short, ReadAll stops reading and waits for it.
func (h *Hold) ReadAll(r io.Reader, length int64) ([]byte, error) {
	if length > h.budget.limit {
		return nil, ErrBodyTooLarge
	}
	var body parts
	defer body.release()
	for limit := firstPart; ; limit = partSize {
		n := limit
		if received := int64(body.len()); length >= received {
			n = int(min(int64(n), length-received+1)) // one more byte to read the end
		}
		if err := h.Grow(n); err != nil {
			return nil, err
		}
		body.grow(n)
		for room := body.room(); len(room) > 0; room = body.room() {
			n, err := r.Read(room)
			body.advance(n)
			if errors.Is(err, io.EOF) {
				return h.join(&body)
			}
			if err != nil {
				return nil, err
			}
		}
	}
}

// join returns the body in one piece. While the pieces are copied, both are held, which the whole
// budget counts.
func (h *Hold) join(body *parts) ([]byte, error) {
	if body.used > 0 && h.budget.whole != nil {
		second := h.budget.whole.HoldFor(h.holder)
		if err := second.Grow(body.len()); err != nil {
			return nil, err
		}
		defer second.Release()
	}
	return body.whole(), nil
}
