package link

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/quota"
)

// Handler processes the frames of peers. A link calls it from its reading goroutine,
// Silent from its timer, so every method except Do and Outcome must return without
// blocking.
type Handler interface {
	// Do executes a request of the peer. It is called in a goroutine of its own.
	Do(ctx context.Context, req *call.Request) call.Response
	// ServiceTime returns the expected service time of a request of the route whose response
	// is due within target.
	ServiceTime(route string, target time.Duration) time.Duration
	// Outcome returns the outcome of an earlier call. It is called in a goroutine of
	// its own.
	Outcome(ctx context.Context, id ledger.CallID) call.Response
	// ServerState receives the state of the peer's local server.
	ServerState(l *Link, s ServerState)
	// PreviousServer receives the state of this node's local server as this node's
	// previous process announced it.
	PreviousServer(l *Link, r PreviousServer)
	// Versions receives the versions of the peer's copies of tables.
	Versions(l *Link, v Versions)
	// RowsRequest receives a request for rows.
	RowsRequest(l *Link, w RowsRequest)
	// Rows receives requested rows.
	Rows(l *Link, r Rows)
	// Evidence receives the peer's evidence on a roll-out.
	Evidence(l *Link, e Evidence)
	// FreshnessRequest receives a request for the freshness of this node's copy of the
	// operator's table.
	FreshnessRequest(l *Link, r FreshnessRequest)
	// Freshness receives the response to such a request.
	Freshness(l *Link, f Freshness)
	// QuotaReport receives a report on the limits of accounts, QuotaGrant the answer to one of
	// this node.
	QuotaReport(l *Link, r quota.Report)
	QuotaGrant(l *Link, g quota.Grant)
	// QuotaShareReport receives a report with the share of its sender.
	QuotaShareReport(l *Link, r quota.ShareReport)
	// SharesRequest receives a request for what this node knows of the members with a share, Shares
	// the answer to one of this node.
	SharesRequest(l *Link, r SharesRequest)
	Shares(l *Link, s Shares)
	// Silent is called when the link begins to count as silent.
	Silent(l *Link)
	// Malformed is called for a frame that cannot be decoded, and for a ping whose
	// response cannot be queued.
	Malformed(l *Link, err error)
}
