package ctl

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"corianderwood.example/corianderwood/pkg/explain"
)

// answeringNode starts a node that sends the text in response to each request, and returns its URL.
func answeringNode(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(text))
			}
			_ = conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against documents of a node that are shown although HTTP/1 doesn't allow the head of the response.
func TestInvalidHeadOfNode(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n": false, "HTTP/1.1 000 Trouble\r\n": false, "HTTP/3.7 200 OK\r\n": false,
	} {
		node := answeringNode(t, fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", head))
		if _, err := readNode(t.Context(), http.DefaultClient, node); (err == nil) != valid {
			t.Errorf("%q: status document: %v", head, err)
		}
		if _, err := askExplanation(t.Context(), node, explain.Question{Path: "/"}); (err == nil) != valid {
			t.Errorf("%q: explanation: %v", head, err)
		}
	}
}
