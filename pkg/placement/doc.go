// Package placement selects the server for a request, based on the load that other
// nodes report for their servers and on the requests that this node has in flight. It
// performs no I/O.
package placement
