// Package admission implements admission control for the server that runs next to the
// node. Only this node can reach the server, so its counts of running requests are
// exact. It runs at most as many requests as the server has slots, queues further
// requests while they can still be answered on time, rejects all others without running
// them, and starts no requests at a server that is draining or was replaced.
package admission
