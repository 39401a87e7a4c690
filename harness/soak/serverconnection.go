package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxCopyDelay is the time after a response within which a copy of it is sent.
	maxCopyDelay = 60 * time.Millisecond
	// maxEndDelay is the time after an unframed response within which its connection ends.
	maxEndDelay = 40 * time.Millisecond
	// pieceSize is the length, in bytes, of the pieces of an alternating response. Up to
	// maxPieceDelay passes after each.
	pieceSize     = 4 << 10
	maxPieceDelay = time.Millisecond
)

var (
	errNoResponse      = errors.New("the response is withheld")
	errEndOfConnection = errors.New("the response ends with the connection")
)

// serverConnection is a connection from a node to a server. mu serializes the responses, but
// for the pieces of alternating ones.
type serverConnection struct {
	net.Conn
	mu sync.Mutex
	// previous is the last response that was sent whole, nil if there was none.
	previous []byte
	// pending counts the responses that are yet to be sent.
	pending sync.WaitGroup
}

func (c *serverConnection) send(response []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(response)
	return err
}

// sendLater sends a response after the delay, without waiting for it.
func (c *serverConnection) sendLater(response []byte, delay time.Duration) {
	c.later(delay, func() error { return c.send(response) })
}

// later calls send after the delay. Its errors are ignored: the connection may have ended.
func (c *serverConnection) later(delay time.Duration, send func() error) {
	c.pending.Go(func() {
		time.Sleep(delay)
		_ = send()
	})
}

func (c *serverConnection) sendWhole(r response) error {
	c.previous, _ = r.encode()
	return c.send(c.previous)
}

// sendHealth responds to a health check of a server that stays cold for a time.
func (c *serverConnection) sendHealth(cold time.Duration) error {
	return c.send(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", headers.ColdTime, cold.Milliseconds()))
}

func (c *serverConnection) withhold(response) error { return errNoResponse }

// sendCut sends a part of a response and later a copy of it or of the previous response.
func (c *serverConnection) sendCut(r response) error {
	whole, _ := r.encode()
	if c.previous != nil && rand.IntN(2) == 0 {
		whole = c.previous
	}
	if err := c.send(r.cut()); err != nil {
		return err
	}
	c.sendLater(whole, rand.N(maxCopyDelay))
	return nil
}

// sendContradicted sends a response and, at once or later, another one to the same request.
func (c *serverConnection) sendContradicted(r response) error {
	failure, success := r, r
	failure.status, success.status = http.StatusInternalServerError, http.StatusOK
	failure.id = []string{r.id, "", "other-" + r.id}[rand.IntN(3)]
	second, _ := success.encode()
	first, _ := failure.encode()
	if r.status == http.StatusOK {
		first, second = second, first
	}
	if err := c.send(first); err != nil {
		return err
	}
	c.sendLater(second, time.Duration(rand.IntN(2))*rand.N(maxCopyDelay))
	return nil
}

// sendUnframed sends a response and, half of the times, a copy before the connection ends.
func (c *serverConnection) sendUnframed(r response) error {
	encoded, _ := r.encode()
	err := c.send(encoded)
	copies := rand.IntN(2)
	for range copies {
		time.Sleep(rand.N(maxEndDelay / 2))
		err = errors.Join(err, c.send(encoded))
	}
	time.Sleep(rand.N(maxEndDelay / time.Duration(1+copies)))
	return errors.Join(err, errEndOfConnection)
}

// sendAlternating sends a response and its copy in pieces, without one waiting for the other.
func (c *serverConnection) sendAlternating(r response) error {
	encoded, _ := r.encode()
	c.later(rand.N(maxCopyDelay), func() error { return c.sendPieces(encoded) })
	return c.sendPieces(encoded)
}

func (c *serverConnection) sendPieces(encoded []byte) error {
	for piece := range slices.Chunk(encoded, pieceSize) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
		time.Sleep(rand.N(maxPieceDelay))
	}
	return nil
}
