package framing

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// readWhole reads one response and its body from a connection that delivers the text and then ends.
func readWhole(text string) (*http.Response, string, error) {
	r := NewReader(oneShot{strings.NewReader(text)}, 4096, "x-id")
	res, err := r.ReadResponse(&http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// headWith returns a response of which a field line is the first, one in the middle or the last of the head.
func headWith(line, place string) string {
	first, middle, last := "", "", ""
	switch place {
	case "first":
		first = line + "\r\n"
	case "middle":
		middle = line + "\r\n"
	default:
		last = line + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + first + "X-Id: r\r\n" + middle + "Content-Length: 40\r\n" + last + "\r\n" + strings.Repeat("b", 40)
}

var places = []string{"first", "middle", "last"}

// Guards against a response that passes although a field name has a byte that HTTP/1 does not allow, and
// against the loss of one whose names are unusual.
func TestBytesOfFieldNames(t *testing.T) {
	for b := range 256 {
		if b == ':' {
			continue // ends the name
		}
		for _, name := range []string{string([]byte{byte(b)}) + "X-Trouble", "X-Tr" + string([]byte{byte(b)}) + "ouble", "X-Trouble" + string([]byte{byte(b)})} {
			for _, place := range places {
				_, body, err := readWhole(headWith(name+": 1", place))
				if passes, allowed := err == nil, httpguts.ValidHeaderFieldName(name); passes != allowed {
					t.Errorf("name %q, %s in the head: passes %t with body %q, error %v", name, place, passes, body, err)
				}
			}
		}
	}
}

// Guards against a response that passes although a field value has a byte that HTTP/1 does not allow, and
// against the loss of one whose values are unusual.
func TestBytesOfFieldValues(t *testing.T) {
	for b := range 256 {
		for _, value := range []string{string([]byte{byte(b)}) + "v", "v" + string([]byte{byte(b)}) + "v", "v" + string([]byte{byte(b)})} {
			for _, place := range places {
				_, body, err := readWhole(headWith("X-Trouble: "+value, place))
				allowed := b == '\t' || b >= ' ' && b != 0x7f
				if passes := err == nil; passes != allowed {
					t.Errorf("value %q, %s in the head: passes %t with body %q, error %v", value, place, passes, body, err)
				}
			}
		}
	}
}

// Guards against heads that pass although HTTP/1 has no such lines, and against the loss of unusual ones.
func TestLinesOfHeads(t *testing.T) {
	tests := map[string]struct {
		text string
		body string // empty if the response must not pass
	}{
		"name of a length with a blank":      {"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent Length: 4\r\n\r\nbodyrest", ""},
		"blank behind the name of a length":  {"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length : 4\r\n\r\nbodyrest", ""},
		"blank behind the name of a coding":  {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""},
		"line feed before a name":            {"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 4\r\n\nX-Trouble: 1\r\n\r\nbody", ""},
		"line feed before the first name":    {"HTTP/1.1 200 OK\r\n\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", ""},
		"blank before a name":                {"HTTP/1.1 200 OK\r\nX-Id: r\r\n X-Trouble: 1\r\nContent-Length: 4\r\n\r\nbody", ""},
		"blank before the first name":        {"HTTP/1.1 200 OK\r\n X-Trouble: 1\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", ""},
		"no name":                            {"HTTP/1.1 200 OK\r\nX-Id: r\r\n: 1\r\nContent-Length: 4\r\n\r\nbody", ""},
		"no colon":                           {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Trouble\r\nContent-Length: 4\r\n\r\nbody", ""},
		"in an interim response":             {"HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\n", ""},
		"in a response without a body":       {"HTTP/1.1 204 No Content\r\nX-Id: r\r\nX Trouble: 1\r\n\r\n", ""},
		"in a trailer":                       {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Sum: 1\r\n\r\n", ""},
		"in a declared trailer":              {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTrailer: X Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Sum: 1\r\n\r\n", ""},
		"coding in HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""},
		"coding and length in HTTP/1.0":      {"HTTP/1.0 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nbody", ""},
		"length in HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"coding":                             {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		"trailer":                            {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body"},
		"trailer that is declared, not sent": {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		"line feeds as line ends":            {"HTTP/1.1 200 OK\nX-Id: r\nContent-Length: 4\n\nbody", "body"},
		"no blank before a value":            {"HTTP/1.1 200 OK\r\nX-Id:r\r\nContent-Length:4\r\n\r\nbody", "body"},
		"no value":                           {"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"blanks around a value":              {"HTTP/1.1 200 OK\r\nX-Id:  r \t\r\nContent-Length: \t4 \r\n\r\nbody", "body"},
		"unusual names":                      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: \"(a, b)\"; c=:\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"long reason phrase":                 {"HTTP/1.1 200 " + strings.Repeat("r", 400) + "\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"no reason phrase":                   {"HTTP/1.1 200\r\nX-Id: r\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"no fields":                          {"HTTP/1.1 200 OK\r\n\r\nbody", "body"},
		"status line of more than 512 bytes": {"HTTP/1.1 200 " + strings.Repeat("r", 600) + "\r\nContent-Length: 4\r\n\r\nbody", ""},
		"long value":                         {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("v", 60_000) + "\r\nContent-Length: 4\r\n\r\nbody", "body"},
	}
	for name, test := range tests {
		_, body, err := readWhole(test.text)
		if passes := err == nil; passes != (test.body != "") || passes && body != test.body {
			t.Errorf("%s: body %q, error %v; want body %q", name, body, err, test.body)
		}
	}
}
