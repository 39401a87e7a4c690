package aws

import (
	"errors"
	"net"
	"testing"

	"corianderwood.example/corianderwood/pkg/platform"
)

// Guards against a response of the services that counts although HTTP/1 doesn't allow its head.
func TestInvalidHeadOfService(t *testing.T) {
	const end = "Connection: close\r\nContent-Type: application/x-amz-json-1.0\r\nContent-Length: 2\r\n\r\n{}"
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n": false, "HTTP/1.1 400 Bad\r\nX Trouble: 1\r\n": false,
		"HTTP/1.1 000 Trouble\r\n": false, "HTTP/3.7 200 OK\r\n": false,
	} {
		table, objects, err := New(Options{Endpoint: answeringEndpoint(t, head+end, func(*net.TCPConn) {}), Region: "local", TableName: "t", Bucket: "b",
			AccessKeyID: "test", SecretAccessKey: "test"})
		if err != nil {
			t.Fatal(err)
		}
		want := error(nil)
		if !valid {
			want = platform.ErrUnknownOutcome
		}
		if err := table.Transact(t.Context(), []platform.Write{{Key: "member/0/a", Value: []byte("1")}}); !errors.Is(err, want) {
			t.Errorf("%q: write returns %v, want %v", head, err, want)
		}
		if err := objects.Put(t.Context(), "k", []byte("1")); !errors.Is(err, want) {
			t.Errorf("%q: upload returns %v, want %v", head, err, want)
		}
		if _, err := objects.Get(t.Context(), "k", 10); (err == nil) != valid {
			t.Errorf("%q: read returns %v", head, err)
		}
	}
}
