package soak

// order is what a client asks for: an unsafe request or a safe one, on a public route or one that
// needs a key, with a key or without one.
type order struct {
	unsafe, public bool
	key            string
}

// route returns the method, the path prefix and the service of the request.
func (o order) route() (method, prefix, service string) {
	switch {
	case o.unsafe:
		return "POST", "/order/", "beta"
	case o.public:
		return "GET", "/open/", "alpha"
	default:
		return "GET", "/read/", "alpha"
	}
}
