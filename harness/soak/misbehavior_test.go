package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// recorder is a connection that keeps what is written to it, write by write.
type recorder struct {
	net.Conn
	mu     sync.Mutex
	writes []string
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// writesFor lets the server execute a request. It returns the writes, whether the connection
// ends, and the status that the server has recorded.
func writesFor(t *testing.T, conn *serverConnection, s *Server, id string) (writes []string, ends bool, recorded int) {
	s.checker.OnSent(id, false)
	request := &http.Request{Header: make(http.Header), Body: http.NoBody}
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.ExpectInstance, s.instanceID)
	request.Header.Set(headers.CallerService, "alpha")
	conn.Conn = &recorder{}
	err := s.execute(conn, request)
	conn.pending.Wait()
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if err != nil && !errors.Is(err, errEndOfConnection) {
		t.Error(err)
	}
	return conn.Conn.(*recorder).writes, err != nil, s.checker.requests[id].statuses[0]
}

// comeTwice reports that there are several writes and each of them occurs twice.
func comeTwice(writes []string) bool {
	times := make(map[string]int)
	for _, write := range writes {
		times[write]++
	}
	for _, n := range times {
		if n != 2 {
			return false
		}
	}
	return len(times) > 1
}

// parse reads a response; whole reports that the bytes hold it and nothing else.
func parse(encoded string) (res *http.Response, whole bool) {
	reader := bufio.NewReader(strings.NewReader(encoded))
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, false
	}
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return nil, false
	}
	_, err = reader.Peek(1)
	return res, err == io.EOF
}

// describe names what a server played by its writes, given the status that it recorded.
func describe(writes []string, ends bool, id string, recorded int) string {
	all := strings.Join(writes, "")
	first, firstWhole := parse(writes[0])
	last, lastWhole := parse(writes[len(writes)-1])
	copied := writes[0] == writes[len(writes)-1]
	switch {
	case len(writes) > 2 && !ends && recorded == http.StatusOK && comeTwice(writes) && len(all) > 2*minLongBlocks*blockSize:
		for n, piece := range writes[1:] {
			if strings.HasPrefix(piece, "HTTP/") && n+1 < len(writes)/2 {
				return "pieces alternate"
			}
		}
		return "whole"
	case len(writes) > 2 || !lastWhole:
		return "unknown"
	case ends && copied && recorded == http.StatusOK && first.ContentLength < 0 && first.TransferEncoding == nil:
		return fmt.Sprintf("%d until the end", len(writes))
	case ends:
		return "connection ends"
	case firstWhole && copied && first.StatusCode == recorded:
		return "whole"
	case firstWhole && first.StatusCode == recorded && last.StatusCode != recorded:
		name := func(res *http.Response) string {
			kind, ok := map[string]string{id: "own id", "": "no id"}[res.Header.Get(headers.RequestID)]
			if !ok {
				kind = "other id"
			}
			return fmt.Sprint(res.StatusCode, " ", kind)
		}
		return name(first) + ", " + name(last)
	case !firstWhole && recorded == noResponse:
		if _, filled := parse(all); filled && last.TransferEncoding != nil {
			return "chunk filled up"
		}
		place, copied := "head", "earlier response"
		if strings.Contains(writes[0], "\r\n\r\n") {
			place = "body"
		}
		if last.Header.Get(headers.RequestID) == id {
			copied = "own copy"
			if len(writes[1])-len(writes[0]) <= maxTail {
				place = "tail"
			}
		}
		return fmt.Sprintf("cut in the %s, %s", place, copied)
	}
	return "unknown"
}

// Guards against a server that no longer plays a failure in all its forms, or that records a
// response that did not arrive.
func TestServersPlaySpoiledResponses(t *testing.T) {
	const (
		connections = 32
		timeout     = 20 * time.Second
	)
	cuts := []string{"cut in the head, own copy", "cut in the head, earlier response", "cut in the body, own copy", "cut in the body, earlier response",
		"cut in the tail, own copy"}
	for name, c := range map[string]struct {
		misbehavior Misbehavior
		plays       []string
	}{
		"cutting": {Cutting, cuts},
		"contradicting": {Contradicting, []string{"500 own id, 200 own id", "500 no id, 200 own id", "500 other id, 200 own id",
			"200 own id, 500 own id", "200 own id, 500 no id", "200 own id, 500 other id"}},
		"unframed":    {Unframed, []string{"1 until the end", "2 until the end"}},
		"alternating": {Alternating, []string{"pieces alternate"}},
		"chunked":     {Chunked, append([]string{"chunk filled up", "pieces alternate"}, cuts...)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := NewServer("node", "alpha", "127.0.0.1:0", NewChecker())
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			server.SetMisbehavior(c.misbehavior)
			ctx, stop := context.WithTimeout(t.Context(), timeout)
			defer stop()
			var mu sync.Mutex
			missing := slices.Clone(c.plays)
			played := func(play string) {
				mu.Lock()
				defer mu.Unlock()
				if play != "whole" && !slices.Contains(c.plays, play) {
					t.Errorf("unexpected: %s", play)
				}
				missing = slices.DeleteFunc(missing, func(p string) bool { return p == play })
				if len(missing) == 0 {
					stop()
				}
			}
			var wg sync.WaitGroup
			for c := range connections {
				wg.Go(func() {
					conn := &serverConnection{}
					for n := 0; ctx.Err() == nil; n++ {
						id := fmt.Sprintf("a%d-%d", c, n)
						writes, ends, recorded := writesFor(t, conn, server, id)
						played(describe(writes, ends, id, recorded))
					}
				})
			}
			wg.Wait()
			if len(missing) > 0 {
				t.Errorf("not played: %q", missing)
			}
			if violations, _ := server.checker.Report(); len(violations) > 0 {
				t.Error(violations)
			}
		})
	}
}
