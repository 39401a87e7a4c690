package config

import "net/http"

// Repeatability determines which requests of a route may be executed more than once.
type Repeatability string

// Values of Repeatability. The empty value means RepeatByMethod.
const (
	RepeatByMethod Repeatability = "by-method" // GET, HEAD and OPTIONS only
	RepeatAlways   Repeatability = "always"
	RepeatNever    Repeatability = "never"
)

// Allows reports whether a request with the given method may be executed more than
// once.
func (r Repeatability) Allows(method string) bool {
	switch r {
	case RepeatAlways:
		return true
	case RepeatNever:
		return false
	default:
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
}
