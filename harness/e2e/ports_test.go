package e2e

import (
	"fmt"
	"net"
	"testing"
)

// freePorts returns the first port of a block of ports on which nothing listens over TCP
// or UDP.
func freePorts(t *testing.T) int {
	t.Helper()
	const first, last, block = 24000, 31000, 200
	for port := first; port < last; port += block {
		if blockFree(port, block) {
			return port
		}
	}
	t.Fatal("no block of 200 free ports between 24000 and 31000; end processes that listen there")
	return 0
}

func blockFree(first, size int) bool {
	for port := first; port < first+size; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}
