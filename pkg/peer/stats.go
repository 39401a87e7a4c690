package peer

// Stats are the connection count and byte totals of a transport.
type Stats struct {
	// Connections is the number of open connections.
	Connections int
	// BytesSent and BytesReceived count QUIC packets of open and closed connections.
	BytesSent, BytesReceived uint64
}

// Stats returns the current statistics of the transport.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.closedStats
	for c := range t.conns {
		stats := c.quic.ConnectionStats()
		out.Connections++
		out.BytesSent += stats.BytesSent
		out.BytesReceived += stats.BytesReceived
	}
	return out
}
