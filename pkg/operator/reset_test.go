package operator

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answeringNode starts a node that sends the text in response to each request, before it has read the body, and
// then ends the connection as given. It returns a client of the node.
func answeringNode(t *testing.T, text string, end func(conn *net.TCPConn)) *Client {
	t.Helper()
	dir := t.TempDir()
	authority := newAuthority(t, dir)
	pair, err := authority.NewNode(time.Now(), "orders-1", []net.IP{net.IPv4(127, 0, 0, 1)})
	node := newReloader(t, dir, "node", pair, err)
	pair, err = authority.NewOperator(time.Now(), "ann", "orders")
	operator := newReloader(t, dir, "ann", pair, err)
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
			go func() {
				defer conn.Close()
				secured := tls.Server(conn, node.OperatorConfig())
				if _, err := http.ReadRequest(bufio.NewReader(secured)); err != nil {
					return
				}
				_, _ = io.WriteString(secured, text)
				time.Sleep(10 * time.Millisecond) // the response arrives before the end
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return NewClient(l.Addr().String(), operator.OperatorClient())
}

// Guards against an edit that counts as accepted because a reset of its connection passes as the end of the
// response.
func TestResetDuringEdit(t *testing.T) {
	const edits = 10
	client := answeringNode(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"revision":2`, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	for range edits {
		_, err := client.Edit(t.Context(), Edit{OperationID: strings.Repeat("x", 6<<20)})
		var problem *Problem
		if !errors.As(err, &problem) || problem.Kind != KindUnknown {
			t.Errorf("%v, want an unknown outcome", err)
		}
	}
}
