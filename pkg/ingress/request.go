package ingress

import (
	"net/http"
	"time"
)

// Request is one request of a client with its complete body.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI      string
	Host     string
	Path     string
	Header   http.Header
	Body     []byte
	Received time.Time
}
