// Package backend sends requests to the server beside the node over pooled HTTP/1.1
// connections. It returns only complete responses that belong to the request. For
// every other exchange it reports whether the server may have run the request.
package backend
