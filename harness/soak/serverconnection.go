package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// serverConnection is a connection from a node to a server. mu serializes the responses, so
// that a copy never gets inside another response.
type serverConnection struct {
	net.Conn
	mu sync.Mutex
}

func (c *serverConnection) send(response []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(response)
	return err
}

// sendLater sends a response after the delay, without waiting for it.
func (c *serverConnection) sendLater(response []byte, delay time.Duration) {
	time.AfterFunc(delay, func() { _ = c.send(response) }) // fails if the connection has ended
}

func encodeResponse(status int, header http.Header, body string) []byte {
	var out bytes.Buffer
	header.Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&out) // a buffer returns no errors
	out.WriteString("\r\n" + body)
	return out.Bytes()
}
