package backend

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/routing"
)

// connection is one connection to the server. While an exchange uses it, nothing else
// does.
type connection struct {
	net.Conn
	// input limits what reader reads while it parses a head.
	input  *boundedio.LimitedReader
	reader *framing.Reader
	// ids holds the ids of the requests that were sent.
	ids      idHistory
	openedAt time.Time
	// idleSince is when the last exchange ended.
	idleSince time.Time
	deadlines deadlines
	// keepAlive is the time after which the server closes the connection if it is idle.
	keepAlive time.Duration
	// epoch is that of the client when the connection was opened.
	epoch int
	// reported means that Options.Broken was called after the server had ended the connection.
	reported bool
	// closed is called when the connection is closed; nil if nobody asks.
	closed func()
}

// Close closes the connection.
func (c *connection) Close() error {
	if c.closed != nil {
		c.closed()
	}
	return c.Conn.Close()
}

// newConnection returns a connection to a server that is known by the headers of the deployment.
func newConnection(inner net.Conn, headers call.Headers) *connection {
	c := &connection{Conn: inner, input: boundedio.NewLimitedReader(inner), keepAlive: defaultKeepAlive}
	c.reader = framing.NewReader(responses{c}, readBuffer, headers.RequestID, headers.Signature, headers.NotExecuted)
	return c
}

// usable reports whether an idle connection may be used for a request: it has not been
// idle for too long, and the server has neither closed it nor sent data on it. The latter is checked
// if it matters more than the cost of a further connection.
func (c *connection) usable(now time.Time, kind routing.Kind) bool {
	maxIdle := defaultKeepAlive
	if !kind.Idempotent() {
		maxIdle = maxIdleUnsafe
	}
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || idle > c.keepAlive-keepAliveMargin {
		return false
	}
	return kind.Idempotent() && idle < livenessCheckAfter || c.isOpenAndIdle()
}

// isFirstRequest reports whether the request in progress is the first on the connection, so that
// no response to an earlier one can arrive.
func (c *connection) isFirstRequest() bool { return c.ids.len() == 1 }

// whyStray returns why a response with the given id and digest does not belong to the request in
// progress, which has another id.
func (c *connection) whyStray(id string, digest uint64) skipReason {
	switch {
	case id == "":
		return skipNoID
	case c.ids.isCopy(id, digest):
		return skipCopy
	case c.ids.contains(id):
		return skipDiffers
	default:
		return skipForeign
	}
}

// isOpenAndIdle reports whether the connection is open and has nothing to read, by a
// non-blocking peek at the socket.
func (c *connection) isOpenAndIdle() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peek == syscall.EAGAIN
	})
	return err == nil && quiet
}

// keepAliveTime returns the idle timeout in a Keep-Alive header, or defaultKeepAlive if there
// is none.
func keepAliveTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return min(time.Duration(min(seconds, math.MaxInt32))*time.Second, maxKeepAlive)
		}
	}
	return defaultKeepAlive
}
