package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cutAnswer plays a server that breaks off some of its answers shortly before their end and then sends them
// a second time, whole, on the same connection. It reports whether MIXED held.
func cutAnswer(m *mesh, trouble bool) (bool, error) {
	const (
		faultyFor = 5 * time.Second
		oneOf     = 20 // answers of the faulty server
	)
	faulty := m.servers[0]
	var garbles atomic.Bool
	g := garbler{server: faulty, answers: make(map[string]string), garbles: func(n int64) bool { return garbles.Load() && n%oneOf == 0 }}
	faulty.serve = g.serve
	var mu sync.Mutex
	wrong := 0
	for _, c := range m.clients {
		c.received = func(id string, res *http.Response, body []byte) {
			want, ok := g.answer(id)
			if !ok || res.StatusCode != http.StatusOK || string(body) == want {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			wrong++
			m.record.add("MIXED     %s: status 200, signature %q, %d bytes, which end with %q; the server's answer has %d bytes, which end with %q",
				id, res.Header.Get("X-Corianderwood-Response-Signature"), len(body), tail(string(body)), len(want), tail(want))
		}
	}
	if err := m.begin("1200ms", 40*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		m.record.add("the server %s begins to break off answers", faulty.id)
		garbles.Store(true)
	}
	time.Sleep(faultyFor)
	garbles.Store(false)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	m.say("the server broke off %d answers; %d clients got a success with its signature and other bytes than its answer's", g.broken.Load(), wrong)
	return wrong == 0, nil
}

func tail(s string) string { return s[max(0, len(s)-16):] }

// garbler serves the connections of a faulty server.
type garbler struct {
	server  *server
	garbles func(n int64) bool
	count   atomic.Int64
	broken  atomic.Int64

	mu      sync.Mutex
	answers map[string]string // whole bodies by request
}

func (g *garbler) answer(id string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	body, ok := g.answers[id]
	return body, ok
}

func (g *garbler) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if err := g.respond(c, req); err != nil {
			return
		}
	}
}

func (g *garbler) respond(c net.Conn, req *http.Request) error {
	const (
		missing = 10                    // bytes of a broken answer
		pause   = 25 * time.Millisecond // before the second answer, and after its first bytes
	)
	id := req.Header.Get("X-Corianderwood-Request-Id")
	if want := req.Header.Get("X-Corianderwood-Expect-Instance"); want != g.server.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Corianderwood-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	g.server.ran(id)
	time.Sleep(g.server.work())
	body := "done " + id + " by " + g.server.id + " " + strings.Repeat("0123456789", 40) + "\n"
	g.mu.Lock()
	g.answers[id] = body
	g.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nX-Corianderwood-Request-Id: %s\r\nX-Corianderwood-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	if !g.garbles(g.count.Add(1)) {
		_, err := c.Write(out.Bytes())
		return err
	}
	g.broken.Add(1)
	g.server.record.add("breaks off %s", id)
	for i, part := range [][]byte{out.Bytes()[:out.Len()-missing], out.Bytes()[:missing], out.Bytes()[missing:]} {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
	return nil
}
