package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/reason"
)

// SetEvacuated sets the failure domains whose servers get no requests. Waiting requests are
// refused at once if the server is in one of them, so that other servers get them; running ones
// continue. The map must not be changed afterwards.
func (c *Controller) SetEvacuated(now time.Time, domains map[string]bool) {
	server, ok := c.opts.Tracker.Current(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated = domains
	if ok && c.isEvacuated(server) {
		c.queue.RefuseAll(reason.Evacuated)
	}
}

// isEvacuated reports whether the server or this instance is in an evacuated failure domain. The
// caller holds mu.
func (c *Controller) isEvacuated(server instance.Server) bool {
	return c.evacuated[server.FailureDomain] || c.evacuated[c.opts.FailureDomain]
}
