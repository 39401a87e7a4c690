package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

var headers = call.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature",
	ExpectInstance: "X-Expect", NotExecuted: "X-Not-Run", ServerLoad: "X-Load", CallerService: "X-Caller", Instance: "X-Instance",
}

// server starts a server that sends what respond returns for each request. A text that
// ends in "close" is sent without that word, and the connection is closed after it.
func server(t *testing.T, respond func(n int, r *http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		n := 0
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n++
			go serveConn(conn, n, respond)
		}
	}()
	return l.Addr().String()
}

func serveConn(conn net.Conn, n int, respond func(int, *http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := respond(n, r)
		body, closing := strings.CutSuffix(text, "close")
		if _, err := conn.Write([]byte(body)); err != nil || closing {
			return
		}
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func request(id string, kind routing.Kind) *call.Request {
	return &call.Request{ID: id, Method: "GET", Head: []byte("GET /a HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n"),
		Kind: kind, Deadline: time.Now().Add(2 * time.Second)}
}

// Guards against passing on responses that are truncated, lack the server's signature or
// belong to another request, and against a wrong report of whether the request ran.
func TestResponses(t *testing.T) {
	tests := []struct {
		name    string
		respond string
		status  int
		ran     reason.Ran
		body    string
	}{
		{"whole", ok("r", "hello"), 200, reason.RanYes, "hello"},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, reason.RanYes, "hello"},
		{"without length", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\n\r\nhelloclose", 200, reason.RanYes, "hello"},
		{"another one first", ok("old", "other") + ok("r", "hello"), 0, reason.RanUnknown, ""},
		{"two ids", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Id: old\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"truncated", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nhelloclose", 0, reason.RanUnknown, ""},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhelloclose", 0, reason.RanUnknown, ""},
		{"no signature", "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanYes, ""},
		{"encoded", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanYes, ""},
		{"garbage", "\x00\x01\x02\r\n\r\nclose", 0, reason.RanUnknown, ""},
		{"closed", "close", 0, reason.RanUnknown, ""},
		{"another request's", ok("old", "other") + "close", 0, reason.RanUnknown, ""},
		{"shed", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503, reason.RanNo, ""},
		{"another instance", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", 421, reason.RanNo, ""},
		{"status 000", "HTTP/1.1 000 x\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nno", 0, reason.RanUnknown, ""},
		{"status 999", "HTTP/1.1 999 x\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nno", 0, reason.RanUnknown, ""},
		{"status +20", "HTTP/1.1 +20 x\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nno", 0, reason.RanUnknown, ""},
		{"status 600, not run", "HTTP/1.1 600 x\r\nX-Id: r\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", 0, reason.RanUnknown, ""},
		{"status 000 after an interim one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n", 0, reason.RanUnknown, ""},
		{"interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok("r", "hello"), 200, reason.RanYes, "hello"},
		{"version", "HTTP/3.7 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"blank in a field name", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nX Trouble: 1\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"blank in a field name, not run", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Trouble : 1\r\nContent-Length: 0\r\n\r\n", 0, reason.RanUnknown, ""},
		{"blank in a field name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\n" + ok("r", "hello"), 0, reason.RanUnknown, ""},
		{"blank in a field name of a trailer", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Sum: 1\r\n\r\n", 0, reason.RanUnknown, ""},
		{"blank in the name of the length", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent Length: 2\r\n\r\nhi and moreclose", 0, reason.RanUnknown, ""},
		{"control byte in a field name", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nX-\x01Trouble: 1\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"line feed before a field name", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Length: 2\r\n\nX-Trouble: 1\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: r\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nclose", 0, reason.RanUnknown, ""},
		{"folded line", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\n X-Trouble: 1\r\nContent-Length: 2\r\n\r\nhi", 0, reason.RanUnknown, ""},
		{"unusual fields", "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signature: s\r\n!#$%&'*+-.^_`|~: \x80\t\xff\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nhi", 200, reason.RanYes, "hi"},
		{"failed", "HTTP/1.1 500 Oops\r\nX-Id: r\r\nContent-Length: 2\r\n\r\nno", 500, reason.RanYes, "no"},
	}
	for _, test := range tests {
		address := server(t, func(int, *http.Request) string { return test.respond })
		res := newClient(address, testBodies).Do(context.Background(), request("r", routing.Unsafe), "i-1")
		if res.Status != test.status || res.Ran != test.ran || string(res.Body) != test.body {
			t.Errorf("%s: status %d, ran %q, body %q; want %d, %q, %q", test.name, res.Status, res.Ran, res.Body, test.status, test.ran, test.body)
		}
	}
}

// Guards against a request that is given up because late second responses to an earlier request on its
// connection come first.
func TestLateSecondResponseComesFirst(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: old\r\nContent-Length: 0\r\n\r\n"
	for name, responses := range map[string][2]string{
		"length": {ok("old", "other"), ok("old", "other")}, "chunks": {chunkedOK("old", "other"), chunkedOK("old", "other")},
		"refusal": {refusal, refusal}, "another body": {ok("old", "other"), ok("old", "ok")}, "after a failure": {failed("old"), ok("old", "ok")},
	} {
		address := server(t, func(_ int, r *http.Request) string {
			if r.Header.Get("X-Id") == "old" {
				return responses[0]
			}
			return strings.Repeat(responses[1], 2) + ok("r", "hello")
		})
		c := newClient(address, testBodies)
		c.Do(context.Background(), request("old", routing.Unsafe), "i-1")
		if res := c.Do(context.Background(), request("r", routing.Unsafe), "i-1"); res.Status != 200 || string(res.Body) != "hello" {
			t.Errorf("%s: %+v", name, res)
		}
		if c.Opened() != 1 {
			t.Errorf("%s: %d connections", name, c.Opened())
		}
	}
}

// Guards against unexpected bytes on a pooled connection that are taken for the response
// to the next request.
func TestUnexpectedBytesCloseConnection(t *testing.T) {
	address := server(t, func(_ int, r *http.Request) string {
		id := r.Header.Get("X-Id")
		return ok(id, id) + ok(id, "again")
	})
	c := newClient(address, testBodies)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		if res := c.Do(context.Background(), request(id, routing.Safe), "i"); string(res.Body) != id {
			t.Errorf("request %s got %q", id, res.Body)
		}
	}
	if c.Opened() != 5 {
		t.Errorf("%d connections, want one for each request", c.Opened())
	}
}

// Guards against sending a request twice when the server closes its connection without a
// response.
func TestNoResend(t *testing.T) {
	arrivals := make(chan string, 10)
	address := server(t, func(n int, r *http.Request) string {
		arrivals <- r.Header.Get("X-Id")
		if len(arrivals) == 1 {
			return ok(r.Header.Get("X-Id"), "")
		}
		return "close"
	})
	c := newClient(address, testBodies)
	c.Do(context.Background(), request("a", routing.Safe), "i")
	if res := c.Do(context.Background(), request("b", routing.Safe), "i"); res.Status != 0 || res.Ran != reason.RanUnknown {
		t.Errorf("%+v", res)
	}
	if len(arrivals) != 2 {
		t.Errorf("%d arrivals, want 2", len(arrivals))
	}
}

// Guards against a request that continues at the server after its caller has disconnected.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte() // returns when the connection is closed
		close(gone)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	res := newClient(l.Addr().String(), testBodies).Do(ctx, request("r", routing.Safe), "i")
	if res.Status != 0 || res.Ran != reason.RanUnknown {
		t.Errorf("%+v", res)
	}
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the server is still open half a second after the caller disconnected")
	}
}

// Guards against a wrong remaining time or instance in the headers sent to the server.
func TestRequestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	address := server(t, func(_ int, r *http.Request) string { got <- r.Header; return ok("r", "") })
	newClient(address, testBodies).Do(context.Background(), request("r", routing.Safe), "i-7")
	h := <-got
	var left int
	_, _ = fmt.Sscan(h.Get("X-Deadline"), &left)
	if h.Get("X-Expect") != "i-7" || left < 1 || left > 2000 {
		t.Errorf("headers %v", h)
	}
}

// noNotice is the decoder of a deployment whose servers say nothing of themselves.
func noNotice(http.Header) (call.ServerNotice, error) { return call.ServerNotice{}, nil }

// testBodies is the budget for bodies, in bytes, of tests that do not reach it.
const testBodies = 64 << 20

// newClient returns a client whose responses together may hold the given number of bytes.
func newClient(address string, bodies int64) *Client {
	return NewClient(Options{Address: address, Headers: headers, Notice: noNotice, Bodies: boundedio.NewBudget(bodies), Metrics: NewMetrics(nil)})
}
