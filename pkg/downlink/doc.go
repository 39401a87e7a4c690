// Package downlink decides when the large requests that other nodes announce may be sent to this
// instance, so that its network link keeps room for small frames. It addresses the load pattern of
// uploads that exceed the links of the servers' instances for seconds. The package does no I/O.
package downlink
