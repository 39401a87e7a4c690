//go:build unix

package proxy

import (
	"net"
	"syscall"
)

// isOpenAndIdle reports whether an idle TCP connection is open and has nothing to read.
// If there is data or an end of stream on an idle HTTP/1.1 connection, the server has
// closed it or violated the protocol, and it can't be used for another request.
func isOpenAndIdle(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
