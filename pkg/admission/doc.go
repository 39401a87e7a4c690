// Package admission implements admission control for the server that runs next to the
// node. Only this node can reach the server, so its counts of running requests are
// exact. It runs at most as many requests as the server has slots, queues further
// requests while they can still be answered on time and refuses all others without
// running them. It admits no requests to a server that is draining or was replaced;
// requests that were queued before may still start early in the drain time.
package admission
