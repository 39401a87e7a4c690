package boundedio

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against a body that is read incompletely or changed, whatever length is claimed.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstPart - 1, firstPart, firstPart + 1, firstPart + partSize - 1, firstPart + partSize, firstPart + partSize + 1, 300_000} {
		body := bytes.Repeat([]byte("abc"), size)[:size]
		for name, length := range map[string]int64{"known": int64(size), "unknown": -1, "too short": int64(size / 2), "too long": int64(2*size + 1)} {
			b := NewBudget(1 << 20)
			hold := b.Hold()
			got, err := hold.ReadAll(smallReads{bytes.NewReader(body)}, length)
			if err != nil || !bytes.Equal(got, body) {
				t.Errorf("%d bytes, length %s: %d bytes, error %v", size, name, len(got), err)
			}
			if b.Used() < int64(cap(got)) {
				t.Errorf("%d bytes, length %s: %d bytes are counted for a buffer of %d", size, name, b.Used(), cap(got))
			}
			if hold.Release(); b.Used() != 0 {
				t.Errorf("%d bytes, length %s: %d bytes stay in use", size, name, b.Used())
			}
		}
	}
}

// smallReads returns at most 1,000 bytes at a time.
type smallReads struct{ inner io.Reader }

func (r smallReads) Read(p []byte) (int, error) { return r.inner.Read(p[:min(len(p), 1000)]) }

// Guards against bodies that together exceed the budget, and against a refused one that
// keeps a part of it.
func TestBudget(t *testing.T) {
	b := NewBudget(64 << 10)
	first, second := b.Hold(), b.Hold()
	if _, err := first.ReadAll(strings.NewReader(strings.Repeat("x", 40<<10)), 40<<10); err != nil {
		t.Fatal(err)
	}
	if _, err := second.ReadAll(strings.NewReader(strings.Repeat("x", 40<<10)), 40<<10); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("two bodies exceed the budget: %v, want ErrBudgetExhausted", err)
	}
	second.Release()
	if _, err := second.ReadAll(strings.NewReader(strings.Repeat("x", 20<<10)), 20<<10); err != nil {
		t.Errorf("two bodies within the budget: %v", err)
	}
	third := b.Hold()
	if _, err := third.ReadAll(strings.NewReader(strings.Repeat("x", 70<<10)), -1); err == nil {
		t.Error("a body larger than the budget is read")
	}
	first.Release()
	second.Release()
	third.Release()
	if _, err := third.ReadAll(strings.NewReader(strings.Repeat("x", 70<<10)), -1); !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("a body larger than the budget: %v, want ErrBodyTooLarge", err)
	}
	third.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes stay in use", b.Used())
	}
}

// Guards against a header that is read beyond its limit.
func TestLimitedReader(t *testing.T) {
	r := NewLimitedReader(strings.NewReader(strings.Repeat("x", 100)))
	r.Limit(10)
	if got, err := io.ReadAll(r); len(got) != 10 || !errors.Is(err, ErrHeaderTooLarge) {
		t.Errorf("%d bytes, error %v; want 10 and ErrHeaderTooLarge", len(got), err)
	}
	r.Limit(0)
	if got, err := io.ReadAll(r); len(got) != 90 || err != nil {
		t.Errorf("without a limit: %d bytes, error %v", len(got), err)
	}
}
