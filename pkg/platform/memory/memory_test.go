package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
)

// Guards against an injected fault with another effect than documented, on which the
// tests of other packages rely.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault   func(t *Table)
		write   error
		read    error
		written bool // immediately
		later   bool // after delayed writes
	}{
		"none":          {func(*Table) {}, nil, nil, true, true},
		"down":          {func(t *Table) { t.SetFaults(Faults{Down: true}) }, platform.ErrUnavailable, platform.ErrUnavailable, false, false},
		"rate limited":  {func(t *Table) { t.SetFaults(Faults{RatePerSecond: 1e-9}); t.limiter.Allow() }, platform.ErrUnavailable, platform.ErrUnavailable, false, false},
		"slow":          {func(t *Table) { t.SetFaults(Faults{Delay: time.Second}) }, nil, nil, true, true},
		"slower":        {func(t *Table) { t.SetFaults(Faults{Delay: 30 * time.Second}) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, false, false},
		"response late": {func(t *Table) { t.SetFaults(Faults{Delay: 15 * time.Second}) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, true, true},
		"response lost": {func(t *Table) { t.DropResponses(2) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, true, true},
		"request lost":  {func(t *Table) { t.DropRequests(2) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, false, false},
		"always drop":   {func(t *Table) { t.SetFaults(Faults{DropResponse: 1}) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, true, true},
		"always vanish": {func(t *Table) { t.SetFaults(Faults{DropRequest: 1}) }, platform.ErrUnknownOutcome, platform.ErrUnavailable, false, false},
		"delayed write": {func(t *Table) { t.SetFaults(Faults{DelayWrite: 1, MaxWriteDelay: time.Hour}) }, platform.ErrUnknownOutcome, nil, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable(1)
				test.fault(table)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if err := table.Transact(ctx, []platform.Write{{Key: "a", Condition: platform.IfAbsent}}); !errors.Is(err, test.write) {
					t.Errorf("write: %v, want %v", err, test.write)
				}
				ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if _, _, err := table.Get(ctx, "a"); !errors.Is(err, test.read) {
					t.Errorf("read: %v, want %v", err, test.read)
				}
				table.SetFaults(Faults{})
				if _, ok, err := table.Get(t.Context(), "a"); err != nil || ok != test.written {
					t.Errorf("written %v, %v; want %v", ok, err, test.written)
				}
				table.WaitDelayedWrites()
				if _, ok, err := table.Get(t.Context(), "a"); err != nil || ok != test.later {
					t.Errorf("written later %v, %v; want %v", ok, err, test.later)
				}
			})
		})
	}
}

// Guards against rows that share memory with the caller that wrote or read them.
func TestValuesAreCopied(t *testing.T) {
	table, objects, value := NewTable(1), NewObjectStore(1), []byte("abc")
	if err := errors.Join(table.Transact(t.Context(), []platform.Write{{Key: "a", Value: value}}), objects.Put(t.Context(), "a", value)); err != nil {
		t.Fatal(err)
	}
	value[0] = 'x'
	row, _, _ := table.Get(t.Context(), "a")
	row.Value[1] = 'x'
	object, _ := objects.Get(t.Context(), "a", 3)
	object[1] = 'x'
	row, _, _ = table.Get(t.Context(), "a")
	if object, _ = objects.Get(t.Context(), "a", 3); string(row.Value) != "abc" || string(object) != "abc" {
		t.Errorf("row %s, object %s", row.Value, object)
	}
}
