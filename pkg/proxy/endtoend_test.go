package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"corianderwood.example/corianderwood/pkg/reason"
)

// echo responds with the method, the path and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// Guards against requests or responses that are lost or altered between caller and
// upstream, for different methods, body sizes and framings.
func TestEndToEnd(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo), http.HandlerFunc(echo))
	client := newClient(t)
	big := strings.Repeat("0123456789abcdef", 40<<10) // 640 KB
	for _, tc := range []struct {
		name, method, path string
		body               io.Reader
		want               string
	}{
		{"get", "GET", "/a?x=1&y=%2F", nil, "GET /a?x=1&y=%2F "},
		{"escaped path", "GET", "/a%2Fb/c%20d", nil, "GET /a%2Fb/c%20d "},
		{"small post", "POST", "/p", strings.NewReader("hello"), "POST /p hello"},
		{"empty post", "POST", "/p", nil, "POST /p "},
		{"chunked post", "POST", "/p", io.MultiReader(strings.NewReader("a"), strings.NewReader("b")), "POST /p ab"},
		{"large post", "POST", "/p", strings.NewReader(big), "POST /p " + big},
		{"large chunked put", "PUT", "/p", io.MultiReader(strings.NewReader(big)), "PUT /p " + big},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := m.do(t.Context(), client, tc.method, tc.path, tc.body, nil)
			if got.err != nil || got.status != 200 || got.body != tc.want {
				t.Fatalf("status %d, error %v, %d bytes, want %d bytes: %.80q", got.status, got.err, len(got.body), len(tc.want), got.body)
			}
			if got.header.Get(HeaderRan) != string(reason.RanYes) || got.header.Get(HeaderVersion) != "v1" || got.header.Get(HeaderLoad) != "" {
				t.Errorf("headers %v", got.header)
			}
		})
	}
}
