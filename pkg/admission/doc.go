// Package admission admits requests to the server beside the node. Only this node can
// reach the server, so the gate's counts are exact: it runs no more requests
// than the server has slots, keeps the others in line only while they can still
// be served on time, refuses the rest as not run, and fences a leaving server.
package admission
