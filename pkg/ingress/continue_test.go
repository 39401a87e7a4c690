package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longBody is a body that fills the buffers of a connection whose client does not read.
var longBody = strings.Repeat("0123456789abcdef", 1<<19) // 8 MB

// Guards against an interim response that is written into the body of a response that is being sent on
// the connection.
func TestContinueIsWrittenIntoResponse(t *testing.T) {
	_, conn, r := start(t, func(_ context.Context, req *Request) Response {
		if req.Method == http.MethodGet {
			return Response{Status: 200, Body: []byte(longBody)}
		}
		return Response{Status: 200, Body: req.Body}
	})
	const requests = 3
	for i := range requests {
		send(t, conn, fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		time.Sleep(50 * time.Millisecond) // the response fills the buffers meanwhile
		send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		if res, body := receive(t, r); res.StatusCode != 200 || body != longBody {
			at := strings.Index(body, "HTTP/1.1")
			t.Fatalf("status %d, %d of %d bytes, a status line at %d", res.StatusCode, len(body), len(longBody), at)
		}
		if res, _ := receive(t, r); res.StatusCode != http.StatusContinue {
			t.Fatalf("status %d, want 100", res.StatusCode)
		}
		send(t, conn, "body")
		if res, body := receive(t, r); res.StatusCode != 200 || body != "body" {
			t.Fatalf("status %d, body %q", res.StatusCode, body)
		}
	}
}

// Guards against responses and interim responses that get out of order, whether or not the client waits
// with its bodies, and against a body that is asked for after it was refused.
func TestContinueInPipeline(t *testing.T) {
	_, conn, r := start(t, func(_ context.Context, req *Request) Response {
		time.Sleep(time.Duration(len(req.Path)) * time.Millisecond)
		return Response{Status: 200, Body: append([]byte(req.Path), req.Body...)}
	})
	expect := "POST /%s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nxy"
	send(t, conn, "GET /slow-one HTTP/1.1\r\nHost: h\r\n\r\n"+fmt.Sprintf(expect, "a")+"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"+fmt.Sprintf(expect, "c")+
		"POST /too-long HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999999\r\n\r\n")
	for _, want := range []string{"200 /slow-one", "100 ", "200 /axy", "200 /b", "100 ", "200 /cxy", "413 "} {
		res, body := receive(t, r)
		if got := fmt.Sprint(res.StatusCode, " ", body); got != want {
			t.Fatalf("%q, want %q", got, want)
		}
	}
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%q behind the last response, error %v", rest, err)
	}
}
