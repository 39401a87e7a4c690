package backend

import "time"

// responses is what the server sends on a connection. It implements framing.Conn.
type responses struct{ conn *connection }

// Read implements io.Reader.
func (r responses) Read(p []byte) (int, error) { return r.conn.input.Read(p) }

// LimitWait implements framing.Conn.
func (r responses) LimitWait(d time.Duration) (restore func()) {
	return r.conn.deadlines.limitReads(r.conn.Conn, d)
}
