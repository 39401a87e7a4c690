package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"corianderwood.example/review/internal/mesh"
)

// continued: a client sends a further safe request, with a body and Expect: 100-continue,
// while it receives the answer to its first request. Each answer must be the server's whole
// body.
func continued(p *play) (finding, error) {
	d, err := mesh.NewDeployment(p.record, "charts", "front")
	if err != nil {
		return nil, err
	}
	p.onEnd(d.Close)
	d.Store.Put("op", "config", mesh.Configuration(7,
		mesh.Route{Host: "shop.example", Prefix: "/chart/", Kind: "download", Service: "charts", TimeoutMS: 2500, Attempts: 2},
		mesh.Route{Host: "shop.example", Prefix: "/lookup/", Kind: "safe", Service: "charts", TimeoutMS: 2500, Attempts: 2}))
	if err := d.StartNodes(); err != nil {
		return nil, err
	}
	chart := bytes.Repeat([]byte("0123456789abcde\n"), 100_000) // 1.6 MB
	s := mesh.NewServer(p.record, d.Machines[0], "i-charts", "v1")
	s.Answer = func(r *http.Request) (int, []byte) {
		if r.Method == http.MethodGet {
			return http.StatusOK, chart
		}
		return http.StatusOK, []byte("found\n")
	}
	if err := s.Listen(); err != nil {
		return nil, err
	}
	p.onEnd(s.Close)
	s.Heartbeats()
	time.Sleep(3 * time.Second)

	var found finding
	for i := range 3 {
		line, err := p.chartThenLookup(d.Machines[1], chart)
		if err != nil {
			return nil, err
		}
		if line != "" {
			found = append(found, fmt.Sprintf("MIXED: round %d: %s", i+1, line))
		}
	}
	return found, nil
}

// chartThenLookup sends both requests on one connection and compares the answers. Without
// trouble the second follows the answer to the first.
func (p *play) chartThenLookup(m *mesh.Machine, chart []byte) (string, error) {
	conn, err := net.Dial("tcp4", m.Outbound())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	first, second := mesh.RequestID(), mesh.RequestID()
	body := []byte("gauge=16&thread=internal\n")
	lookup := func() error {
		p.record.Printf("client: sends the head of POST /lookup/1 %s", second)
		_, err := fmt.Fprintf(conn, "POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Corianderwood-Request-Id: %s\r\nX-Corianderwood-Deadline-Ms: 2500\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", second, len(body))
		return err
	}
	p.record.Printf("client: sends GET /chart/1 %s", first)
	if _, err := fmt.Fprintf(conn, "GET /chart/1 HTTP/1.1\r\nHost: shop.example\r\nX-Corianderwood-Request-Id: %s\r\nX-Corianderwood-Deadline-Ms: 2500\r\n\r\n", first); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return "", err
	}
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("the chart gets status %d", res.StatusCode)
	}
	if p.trouble {
		if err := lookup(); err != nil {
			return "", err
		}
	}
	var got bytes.Buffer
	for buffer := make([]byte, 32<<10); ; {
		n, err := res.Body.Read(buffer)
		got.Write(buffer[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			return "", fmt.Errorf("the chart ends early: %w", err)
		}
		time.Sleep(8 * time.Millisecond) // 4 MB a second at most, a client's link
	}
	p.record.Printf("client: GET /chart/1 %s gets %d, %d bytes, signature %q", first, res.StatusCode, got.Len(), res.Header.Get("X-Corianderwood-Response-Signature"))
	if !bytes.Equal(got.Bytes(), chart) {
		at := 0
		for at < got.Len() && got.Bytes()[at] == chart[at] {
			at++
		}
		return fmt.Sprintf("the chart %s came with status 200, the server's signature and a complete length, but differs from the server's body at byte %d: %q", first, at, got.Bytes()[at:min(at+40, got.Len())]), nil
	}
	if !p.trouble {
		if err := lookup(); err != nil {
			return "", err
		}
	}
	if line, err := reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		return "", fmt.Errorf("instead of 100 Continue: %q, %v", line, err)
	}
	if _, err := reader.ReadString('\n'); err != nil {
		return "", err
	}
	if _, err := conn.Write(body); err != nil {
		return "", err
	}
	res, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(res.Body)
	p.record.Printf("client: POST /lookup/1 %s gets %d, %q, %v", second, res.StatusCode, answer, err)
	return "", err
}
