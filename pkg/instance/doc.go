// Package instance tracks the server beside a node by its heartbeats: which incarnation
// is current, whether it accepts new requests, and since when it has been draining, which
// bounds how long accepted requests may still start.
package instance
