package proxy

import "time"

// startTimers starts the time limit and the stall checks of an exchange.
func (x *exchange) startTimers(er exchangeRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if er.limit > 0 {
		x.limitTimer = time.AfterFunc(er.limit, x.expire)
	}
	if er.isStalled != nil {
		x.stallTimer = time.AfterFunc(stallCheckAfter, func() { x.checkStall(er.isStalled) })
	}
}

// stopLimit stops the time limit once a response has arrived. It returns false if the
// limit has already passed.
func (x *exchange) stopLimit() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.limitTimer != nil {
		x.limitTimer.Stop()
	}
	return !x.expired.Load()
}

// expire closes the connection. It does nothing if the exchange has ended, since the
// connection may be in use for another one.
func (x *exchange) expire() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.ended.Load() {
		x.expired.Store(true)
		x.conn.notReusable.Store(true)
		closeNow(x.conn)
	}
}

// checkStall calls isStalled if no byte has been transferred since the last check, and
// drops the connection if it is stalled.
func (x *exchange) checkStall(isStalled func(x *exchange) bool) {
	stalled := false
	if moved := x.conn.received.Load() + x.conn.sent.Load(); moved != x.progress.Load() {
		x.progress.Store(moved)
	} else if !x.ended.Load() {
		stalled = isStalled(x)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.ended.Load():
	case stalled:
		x.pool.dropStalled(x.conn)
	default:
		x.stallTimer.Reset(stallCheckAfter)
	}
}

func (x *exchange) stopTimers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.limitTimer != nil {
		x.limitTimer.Stop()
	}
	if x.stallTimer != nil {
		x.stallTimer.Stop()
	}
}
