package sidecar

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
)

// awaitStop waits for the request to stop and ends the node without breaking off
// a request: peers and clients are told first, and whatever has been read is
// answered. Clients that still send requests when they should have left are
// refused, so that all responses are ready before the kill.
func (n *Node) awaitStop(ctx context.Context, cancel context.CancelFunc) error {
	stop, done := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer done()
	<-stop.Done()
	if ctx.Err() != nil {
		return nil
	}
	began := time.Now()
	event.NodeStopping.Log("pending", n.ingress.Pending(), "running", n.gate.Load().Running)
	n.closing.Store(true)
	n.ingress.DisableKeepAlives()
	n.announceServer()
	time.AfterFunc(leaveNotice, n.gate.Close)
	tick := time.NewTicker(stopInterval)
	defer tick.Stop()
	for range tick.C {
		elapsed := time.Since(began)
		n.refusing.Store(elapsed >= minStop)
		load := n.gate.Load()
		idle := n.ingress.Pending() == 0 && load.Running+load.Waiting == 0
		if (idle && elapsed >= minStop) || elapsed >= n.settings.Bounds.Grace-stopMargin {
			break
		}
	}
	n.ingress.CloseIdle()
	time.Sleep(stopInterval) // idle connections end before the process does
	cancel()
	return nil
}
