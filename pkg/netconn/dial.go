// Package netconn opens TCP connections and listeners that detect an unresponsive peer.
// After a network partition or a loss of the peer's connection state, a connection is
// closed within seconds.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout limits the time to open a connection.
	DialTimeout = time.Second
	// UnackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	UnackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount are the TCP keep-alive parameters. They
	// detect an unresponsive peer of an idle connection within about 2.5 s, less than
	// the time within which the deployment expects instances to have recovered from an
	// unresponsive peer.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial opens a connection to an address of the form IP:port (IPv4). It reports resets as those of
// ReportResets do.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return ReportResets(conn), nil
}

// Listen opens a listener whose connections detect an unresponsive peer. The address has
// the form IP:port (IPv4).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return l.Listen(ctx, "tcp4", address)
}
