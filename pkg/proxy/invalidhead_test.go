package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against a response that is passed on although HTTP/1 doesn't allow its head or trailer.
func TestInvalidHeadIsNotPassedOn(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	for name, test := range map[string]struct {
		text   string
		passes bool
	}{
		"blank in a name":              {"HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 2\r\n\r\nno", false},
		"blank in a name, failure":     {"HTTP/1.1 500 Failed\r\nX-Trouble : 1\r\nContent-Length: 2\r\n\r\nno", false},
		"line feed before a name":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nX-Trouble: 1\r\n\r\nno", false},
		"folded line":                  {"HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Trouble: 1\r\nContent-Length: 2\r\n\r\nno", false},
		"blank in a name of a trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"status 000":                   {"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nno", false},
		"unusual fields":               {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \x80\t\xff\r\nX-Empty:\r\nContent-Length: 3\r\n\r\nyes", true},
		"line feeds as all line ends":  {"HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 3\n\nyes", true},
		"trailer":                      {"HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX-Sum: 1\r\n\r\n", true},
	} {
		rawUpstream(t, m.nodes[0], func(conn net.Conn, r *bufio.Reader) {
			if req, _ := readRequest(r); req != nil {
				_, _ = io.WriteString(conn, test.text)
			}
		})
		got := m.do(t.Context(), newClient(t), "POST", "/", nil, nil)
		whole := got.err == nil && got.status == http.StatusOK && got.body == "yes"
		refused := got.err == nil && got.header.Get(HeaderRefused) != "" && got.header.Get(HeaderRan) != string(reason.RanNo)
		if test.passes && !whole || !test.passes && !refused {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
