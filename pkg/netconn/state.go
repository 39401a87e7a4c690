package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a connection in the kernel.
const (
	// tcpEstablished is that of a connection that neither side has ended.
	tcpEstablished = 1
	// tcpClose is that of a connection that was reset, timed out, or was ended by both sides.
	tcpClose = 7
)

// Established reports whether the peer has not ended the connection, by the kernel's state of
// it: nothing is read. A connection that is not TCP counts as established.
func Established(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	state, ok := stateOf(socket)
	return ok && state == tcpEstablished
}

// stateOf returns the kernel's state of a TCP connection. It returns false if the state can't be read, for
// example because the connection is closed.
func stateOf(socket syscall.Conn) (state uint8, ok bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state, ok = info.State, true
		}
	})
	return state, ok && err == nil
}
