package boundedio

import (
	"errors"
	"io"
	"sync/atomic"
)

// Errors of a Budget.
var (
	// ErrBodyTooLarge means that a body is larger than the whole budget.
	ErrBodyTooLarge = errors.New("the body exceeds the memory for bodies")
	// ErrBudgetExhausted means that the bodies received at the same time exceed the
	// budget together.
	ErrBudgetExhausted = errors.New("the memory for bodies is in use; try again later")
)

// Budget limits the bytes of all bodies that are held at the same time. It is safe for
// concurrent use.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold is the part of a budget that one body uses. It is not safe for concurrent use.
type Hold struct {
	budget *Budget
	held   int64
}

// Hold returns an empty part of the budget. The caller must call Release.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Grow adds n bytes to the part, or fails and changes nothing.
func (h *Hold) Grow(n int) error {
	if h.held+int64(n) > h.budget.limit {
		return ErrBodyTooLarge
	}
	if h.budget.used.Add(int64(n)) > h.budget.limit {
		h.budget.used.Add(-int64(n))
		return ErrBudgetExhausted
	}
	h.held += int64(n)
	return nil
}

// Release returns the part to the budget.
func (h *Hold) Release() {
	h.budget.used.Add(-h.held)
	h.held = 0
}

// ReadAll reads r to its end. length is the number of bytes that the sender claims to
// send, or negative if it claims none. The part of the budget grows with the bytes that arrive.
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
				return body.whole(), nil
			}
			if err != nil {
				return nil, err
			}
		}
	}
}
