package peer

// Stats are the totals of a link.
type Stats struct {
	// Connections is the number of open connections.
	Connections int
	// BytesSent and BytesReceived count QUIC packets of open and closed connections.
	BytesSent, BytesReceived uint64
}

// Stats returns the totals of the link.
func (l *Transport) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.closed
	for c := range l.open {
		stats := c.quic.ConnectionStats()
		out.Connections++
		out.BytesSent += stats.BytesSent
		out.BytesReceived += stats.BytesReceived
	}
	return out
}
