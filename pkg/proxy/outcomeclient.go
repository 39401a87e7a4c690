package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// errOutcomeTooLarge is returned for a response that no node of this version sends.
var errOutcomeTooLarge = fmt.Errorf("it exceeds the limit of %d bytes; check that the peer is a node of this mesh", outcomeLimit)

// outcomeClient sends outcome queries to the nodes of upstreams. Its connections are used
// for nothing else, so that a query neither waits for a call nor uses the stalled
// connection of one.
type outcomeClient struct {
	pools *pools
}

// probe queries the progress of a call, over an idle connection or, if there is none or it
// doesn't respond within probeReuseTimeout, over a new one.
func (o *outcomeClient) probe(ctx context.Context, addr string, q outcomeQuery) (outcomeReply, error) {
	p := o.pools.of(addr)
	if c := p.takeIdle(idleTimeout); c != nil {
		short, cancel := context.WithTimeout(ctx, probeReuseTimeout)
		reply, err := o.roundTrip(short, p, c, q)
		cancel()
		if err == nil {
			return reply, nil
		}
		p.dropStalled(c)
	}
	c, err := p.open(ctx)
	if err != nil {
		return outcomeReply{}, err
	}
	return o.roundTrip(ctx, p, c, q)
}

// sendQuery sends one query, over a new connection or one that completed an exchange within
// maxIdleForQuery.
func (o *outcomeClient) sendQuery(ctx context.Context, addr string, q outcomeQuery) (outcomeReply, error) {
	p := o.pools.of(addr)
	c, err := p.get(ctx, maxIdleForQuery)
	if err != nil {
		return outcomeReply{}, err
	}
	return o.roundTrip(ctx, p, c, q)
}

// roundTrip sends a query over a connection and then returns the connection to the pool or
// closes it.
func (o *outcomeClient) roundTrip(ctx context.Context, p *pool, c *pooledConn, q outcomeQuery) (outcomeReply, error) {
	var reply outcomeReply
	raw, err := cbor.Marshal(q)
	if err != nil {
		p.discard(c)
		return reply, err
	}
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: outcomePath}, Host: p.addr,
		Header:        http.Header{"User-Agent": {""}, "Content-Type": {"application/cbor"}},
		Body:          io.NopCloser(bytes.NewReader(raw)),
		ContentLength: int64(len(raw)),
	}
	x, err := start(ctx, p, c, exchangeRequest{req: req})
	if err != nil {
		return reply, err
	}
	body, err := io.ReadAll(io.LimitReader(x, outcomeLimit+1))
	if err == nil && len(body) > outcomeLimit {
		err = errOutcomeTooLarge
	}
	if err != nil {
		x.abandon()
		return reply, fmt.Errorf("the response to an outcome query is incomplete after %d bytes: %w", len(body), err)
	}
	if x.resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("the peer answered an outcome query with status %d", x.resp.StatusCode)
	}
	return reply, cbor.Unmarshal(body, &reply)
}

// resolve queries the outcome of a non-repeatable call whose connection broke, and fences
// the call if it has not arrived. It repeats the query until the node reports a call that
// is not running, even with an unknown outcome, or ctx ends.
func (o *outcomeClient) resolve(ctx context.Context, addr string, target Target, id ledger.CallID) (ledger.Report, error) {
	wait := 10 * time.Millisecond
	for {
		report, err := o.queryOnce(ctx, addr, outcomeQuery{ID: id, Target: target, Fence: true})
		if err == nil && !report.Running {
			return report, nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			wait = min(2*wait, queryWait)
		}
		if ctx.Err() != nil {
			if err == nil {
				err = ctx.Err()
			}
			return ledger.Report{Ran: reason.RanUnknown}, err
		}
	}
}

// queryOnce sends one query that waits at the upstream's node for up to queryWait.
func (o *outcomeClient) queryOnce(ctx context.Context, addr string, q outcomeQuery) (ledger.Report, error) {
	wait := queryWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(min(wait, time.Until(deadline)), time.Millisecond)
	}
	q.WaitMS = wait.Milliseconds()
	ctx, cancel := context.WithTimeout(ctx, wait+queryGrace)
	defer cancel()
	reply, err := o.sendQuery(ctx, addr, q)
	return reply.Report, err
}
