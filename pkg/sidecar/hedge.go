package sidecar

import (
	"context"
	"errors"
	"time"

	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// tableRead is the result of one request for the rows of a table.
type tableRead struct {
	rows    []rowcache.Row
	version uint64
	err     error
	// after is the version that the copy had when the request was sent, sentAt that time by the
	// clock of freshnessMonitor.
	after  uint64
	sentAt time.Duration
	began  quota.Time // when the request was sent, for the shares of account limits
}

// answered reports whether the store has answered, so that a repeat would learn nothing new.
func (r tableRead) answered() bool {
	return r.err == nil || errors.Is(r.err, platform.ErrHistoryGone)
}

// hedgedRead reads a table and repeats the request while it has no response. A request
// that was lost, in an outage or on a connection that delivers nothing, can't be told from
// one that waits for changes, and would hide changes until its timeout.
type hedgedRead struct {
	// first is the original request; its response or failure ends the read.
	first func(context.Context) tableRead
	// repeat is the request that is sent while first has no response. It must not wait
	// for changes.
	repeat func(context.Context) tableRead
	// overdue is the time after which first is repeated, interval the time between
	// further repeats.
	overdue, interval time.Duration
	// beforeRepeat is called before each repeat.
	beforeRepeat func()
}

// readContained reads once; a panic, such as one caused by the store's response, is a failure
// of the read.
func readContained(ctx context.Context, read func(context.Context) tableRead) (r tableRead) {
	defer contain.Recover(contain.StoreCall, func(err error) { r = tableRead{err: err} })
	return read(ctx)
}

// run returns the first answer of the store, or the failure of the original request. It
// cancels the requests that are still outstanding.
func (h hedgedRead) run(ctx context.Context) tableRead {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan tableRead, 1)
	repeats := make(chan tableRead, maxReadRepeats)
	go func() { first <- readContained(ctx, h.first) }()
	timer := time.NewTimer(h.overdue)
	defer timer.Stop()
	for sent := 0; ; {
		select {
		case r := <-first:
			return r
		case r := <-repeats:
			if r.answered() {
				return r
			}
		case <-timer.C:
			if sent == maxReadRepeats {
				continue
			}
			sent++
			h.beforeRepeat()
			go func() { repeats <- readContained(ctx, h.repeat) }()
			timer.Reset(h.interval)
		}
	}
}
