package proxy

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// copyDelay is the longest time after a response at which its copy is sent.
const copyDelay = 60 * time.Millisecond

// copyingListener accepts connections of a faulty server, which sends each final response a
// second time, at most copyDelay later. The server must send a response in one write.
type copyingListener struct{ net.Listener }

func (l copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: conn}, nil
}

// copyingConn is a connection of a copyingListener. mu keeps responses from being mixed.
type copyingConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *copyingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasPrefix(p, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(p, []byte("HTTP/1.1 1")) {
		again := bytes.Clone(p)
		time.AfterFunc(rand.N(copyDelay), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_, _ = c.Conn.Write(again)
		})
	}
	return c.Conn.Write(p)
}
