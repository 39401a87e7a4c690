package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// reservationPort marks a network of loopback addresses as in use by one run.
const reservationPort = 8299

// network is a range of loopback addresses, 127.a.b.1 to 127.a.b.254, that no other run on
// this machine uses.
type network struct {
	prefix string
	lock   net.Listener
}

// reserveNetwork reserves a network until its release.
func reserveNetwork() (*network, error) {
	const attempts = 100
	var err error
	for range attempts {
		n := &network{prefix: fmt.Sprintf("127.%d.%d", 8+rand.N(200), rand.N(256))}
		if n.lock, err = net.Listen("tcp4", fmt.Sprintf("%s:%d", n.address(1), reservationPort)); err == nil {
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, fmt.Errorf("soak: no loopback network is free: %w", err)
}

// address returns one address of the network.
func (n *network) address(host int) string { return fmt.Sprintf("%s.%d", n.prefix, host) }

func (n *network) release() { _ = n.lock.Close() }
