package link

import (
	"context"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
)

// Handler takes what a peer sends. Links call it from their reading goroutine,
// so every method but Do and Outcome must return at once.
type Handler interface {
	// Do runs a request of the peer. It is called in a goroutine of its own.
	Do(ctx context.Context, req *call.Request) call.Response
	// Outcome answers what became of a call. It is called in a goroutine of its own.
	Outcome(ctx context.Context, id ledger.CallID) call.Response
	// ServerState takes the state of the server beside the peer.
	ServerState(l *Link, s ServerState)
	// PreviousServer takes what the peer knows of the server beside this node.
	PreviousServer(l *Link, r PreviousServer)
	// Versions takes the versions of the peer's copies of tables.
	Versions(l *Link, v Versions)
	// RowsRequest takes a request for rows.
	RowsRequest(l *Link, w RowsRequest)
	// Rows takes rows that were asked for.
	Rows(l *Link, r Rows)
	// Evidence takes the peer's evidence on a roll-out.
	Evidence(l *Link, e Evidence)
	// Malformed takes a frame that can't be read.
	Malformed(l *Link, err error)
}
