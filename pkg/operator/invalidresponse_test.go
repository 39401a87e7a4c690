package operator

import (
	"errors"
	"net"
	"testing"
)

// Guards against a response of a node that counts although HTTP/1 doesn't allow its head, and against an edit that
// is reported as accepted or failed after one.
func TestInvalidHeadOfNode(t *testing.T) {
	const end = "Content-Length: 14\r\n\r\n" + `{"revision":2}`
	for head, want := range map[string]Kind{
		"HTTP/1.1 200 OK\r\n": "", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n": KindUnknown, "HTTP/1.1 409 x\r\nX Trouble: 1\r\n": KindUnknown,
		"HTTP/1.1 000 Trouble\r\n": KindUnknown, "HTTP/3.7 200 OK\r\n": KindUnknown,
	} {
		client := answeringNode(t, head+end, func(*net.TCPConn) {})
		var got Kind
		_, err := client.Edit(t.Context(), Edit{OperationID: "o"})
		if problem := new(Problem); errors.As(err, &problem) {
			got = problem.Kind
		}
		if got != want {
			t.Errorf("%q: edit ends with %v, want %q", head, err, want)
		}
		if _, err := client.Status(t.Context()); (err == nil) != (want == "") {
			t.Errorf("%q: status ends with %v", head, err)
		}
	}
}
