package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a client that gets the copy of an earlier response: a client repeats a
// request because its connection broke, the server sends a late copy of its first response,
// and the node takes the copy for the response to the repeated request. The status may then
// be a success where the server responded with a failure.
func TestRepeatedRequestGetsCopyOfEarlierResponse(t *testing.T) {
	const (
		clients  = 6 // for each node
		duration = 4 * time.Second
	)
	s := newSoak(Options{Nodes: 2, Binary: binary, Dir: t.TempDir()})
	defer s.close()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	if !s.waitUntilServing(t.Context()) {
		t.Fatal("not all nodes serve requests")
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range s.instances {
		i.server.SetMisbehavior(Duplicating)
		for range clients {
			wg.Go(func() { newRepeatingClient(s, i).run(ctx, false) })
		}
	}
	wg.Wait()
	violations, counts := s.checker.Report()
	t.Log(counts)
	for _, outcome := range []string{"200", "500", "sent again", "copied"} {
		if counts[outcome] == 0 {
			t.Errorf("no request or response was counted as %q", outcome)
		}
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}

// Guards against a Duplicating server that no longer plays the failure: each response must come
// twice and whole, with a success as well as with a failure, while its connection stays in use.
func TestDuplicatingServerSendsCopiesOnConnectionInUse(t *testing.T) {
	const requests = 40
	checker := NewChecker()
	server, err := NewServer("node", "alpha", "127.0.0.1:0", checker)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.SetMisbehavior(Duplicating)
	conn, err := net.Dial("tcp4", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	received := make(map[string][]string) // by request id
	statuses := make(map[int]int)
	receive := func() {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		id := res.Header.Get(headers.RequestID)
		received[id] = append(received[id], fmt.Sprint(res.StatusCode, res.Header.Get(headers.Signature), string(body)))
		statuses[res.StatusCode]++
	}
	for n := range requests {
		id := fmt.Sprint("a", n)
		checker.OnSent(id, false)
		_, err := fmt.Fprintf(conn, "GET /read HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: alpha\r\n\r\n",
			headers.RequestID, id, headers.ExpectInstance, server.instanceID, headers.CallerService)
		if err != nil {
			t.Fatal(err)
		}
		for len(received[id]) == 0 {
			receive()
		}
	}
	for total := statuses[200] + statuses[500]; total < 2*requests; total++ {
		receive()
	}
	for id, texts := range received {
		if len(texts) != 2 || texts[0] != texts[1] {
			t.Errorf("request %s got the responses %q", id, texts)
		}
	}
	if len(received) != requests || statuses[200] == 0 || statuses[500] == 0 {
		t.Errorf("%d requests got responses, with the statuses %v", len(received), statuses)
	}
	if violations, _ := checker.Report(); len(violations) > 0 {
		t.Error(violations)
	}
}
