package proxy

import (
	"context"
	"time"
)

// stallCheck decides whether the connection of an exchange with an upstream's node is
// stalled: open, but transferring no data. The timer of the exchange calls
// stalled, one call at a time.
type stallCheck struct {
	client *outcomeClient
	addr   string
	query  outcomeQuery
	body   *requestBody
	last   progress
}

// stalled queries the progress of the call from the upstream's node, over another
// connection, and reports whether the connection of x is stalled. It is stalled if the node
// has not received the call or has ended it, and no byte arrives here within arrivalGrace.
// It is also stalled if the call is running there, but for two checks in a row one side has
// sent bytes that the other did not receive, and no byte arrives within arrivalGrace. If the
// query fails, the connection is assumed to work.
func (s *stallCheck) stalled(x *exchange) bool {
	if s.body.stream != nil && s.body.stream.waiting.Load() {
		return false // there is no progress because the caller sends nothing
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+probeReuseTimeout)
	defer cancel()
	before := x.conn.received.Load()
	reply, err := s.client.probe(ctx, s.addr, s.query)
	if err != nil {
		return false
	}
	now, last := reply.Progress, s.last
	s.last = now
	if now.Active {
		stuckDown := now.Written > before && now.Written == last.Written
		stuckUp := now.AwaitsBody && last.AwaitsBody && now.BodyRead == last.BodyRead
		if !last.Active || (!stuckDown && !stuckUp) {
			return false
		}
	}
	time.Sleep(arrivalGrace)
	return !x.ended.Load() && x.conn.received.Load() == before
}
