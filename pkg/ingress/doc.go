// Package ingress serves HTTP/1.1 to clients and to the server beside the node. Unlike
// net/http's server, it handles pipelined requests concurrently and sends the responses
// in order. It parses requests with net/http.
package ingress
