package backend

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// outputConn is a connection to a server that sends fixed bytes and then ends.
type outputConn struct {
	net.Conn
	output *bytes.Reader
}

func (c outputConn) Read(p []byte) (int, error)      { return c.output.Read(p) }
func (c outputConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c outputConn) SetDeadline(time.Time) error     { return nil }
func (c outputConn) SetReadDeadline(time.Time) error { return nil }
func (c outputConn) Close() error                    { return nil }

// Guards against bytes of a server that panic, or that are passed on as the response to a
// request whose id they do not carry.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		ok("r", "hello"), ok("old", "other") + ok("r", "hello"), "HTTP/1.1 100 Continue\r\n\r\n" + ok("r", "x"),
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nX Trouble: 1\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\n\nX-Trouble : 1\r\n\r\nhi",
		"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 500 x\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Id: s\r\nKeep-Alive: timeout=99999999999999999999, timeout=9223372036854775807\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, earlier := range [][]string{nil, {"old"}} {
			checkResponses(t, data, earlier)
		}
	})
}

// checkResponses checks the outcome of a request on a connection that has carried the earlier
// ids and receives the data.
func checkResponses(t *testing.T, data []byte, earlier []string) {
	c := NewClient(Options{Headers: headers, Notice: noNotice, Bodies: boundedio.NewBudget(1 << 20), Metrics: NewMetrics(nil)})
	conn := newConnection(outputConn{output: bytes.NewReader(data)}, headers)
	for _, id := range earlier {
		conn.ids.add(id)
	}
	res := c.exchange(context.Background(), conn, request("r", routing.Unsafe), "i")
	if res.Status/100 == 2 && !bytes.Contains(res.Head, []byte("X-Id: r\r\n")) {
		t.Errorf("status %d without the id: %q", res.Status, res.Head)
	}
	if len(earlier) > 0 && res.Status != 0 && !bytes.Contains(bytes.ToLower(data), []byte("x-id:")) {
		t.Errorf("a response without an id is taken though the connection has carried another request: %+v", res)
	}
	if !framing.AreFieldLines(res.Head) {
		t.Errorf("a head that HTTP/1 doesn't allow is passed on: %q", res.Head)
	}
	if res.Status == 0 && res.Ran == reason.RanNo {
		t.Errorf("without a response the request is reported as not run: %+v", res)
	}
	if len(c.idle) > 0 && c.idle[0].reader.Buffered() > 0 {
		t.Error("a connection with unread bytes is kept")
	}
	if len(c.idle) > 0 && c.idle[0].keepAlive < 0 {
		t.Errorf("keep-alive time %v", c.idle[0].keepAlive)
	}
}
