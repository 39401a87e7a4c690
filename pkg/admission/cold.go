package admission

import "time"

// SetColdRate sets the rate that the server takes while it is cold.
func (c *Controller) SetColdRate(now time.Time, rate ColdRate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.SetColdRate(now, rate)
	c.scheduleStart(now)
}

// ColdHeartbeat records the remaining cold time that the server names in a heartbeat.
func (c *Controller) ColdHeartbeat(now time.Time, incarnation string, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldness.heartbeat(now, incarnation, remaining)
	c.applyColdness(now)
}

// ColdUntilKnown limits a server that is known from a peer only: it counts as cold until it is
// known to be warm.
func (c *Controller) ColdUntilKnown(now time.Time, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldness.restore(now, incarnation)
	c.applyColdness(now)
}

// SuspectRestart limits the server as a cold one until it is known whether it has restarted.
func (c *Controller) SuspectRestart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldness.suspect(now)
	c.applyColdness(now)
}

// AskHealth reports whether the caller is to ask the server's health check now, and to pass its
// answer to HealthAnswered.
func (c *Controller) AskHealth(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coldness.ask(now)
}

// HealthAnswered records the remaining cold time that the health check has named in answer to a
// request that was sent at the given time.
func (c *Controller) HealthAnswered(now, sent time.Time, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldness.answer(now, sent, remaining)
	c.applyColdness(now)
}

// Cold reports whether the server counts as cold, and whether that is because it may have
// restarted.
func (c *Controller) Cold(now time.Time) (cold, suspected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coldness.cold(now), c.coldness.suspected
}

// applyColdness passes what is known to the queue. The caller holds mu.
func (c *Controller) applyColdness(now time.Time) {
	c.queue.SetCold(now, c.coldness.until, c.coldness.suspected)
	c.scheduleStart(now)
}
