package sidecar

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
)

// awaitStop waits for SIGTERM or SIGINT and shuts the node down gracefully. Peers and
// clients are notified first, and requests that have been received, also in part, are answered. Requests
// that arrive after minStopTime are refused, so that all responses are sent before the
// process is killed at the end of the grace period.
func (n *Node) awaitStop(ctx context.Context, cancel context.CancelFunc) error {
	stop, done := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer done()
	<-stop.Done()
	if ctx.Err() != nil {
		return nil
	}
	began := time.Now()
	event.NodeStopping.Log("pending", n.ingress.Pending(), "running", n.admission.Load("").Running)
	n.closing.Store(true)
	n.ingress.DisableKeepAlives()
	n.announceServer()
	time.AfterFunc(stopNotice, n.admission.Close)
	tick := time.NewTicker(stopCheckInterval)
	defer tick.Stop()
	for range tick.C {
		elapsed := time.Since(began)
		n.refusing.Store(elapsed >= minStopTime)
		load := n.admission.Load("")
		idle := n.ingress.Pending() == 0 && load.Running+load.Waiting == 0
		if (idle && elapsed >= minStopTime) || elapsed >= n.settings.Bounds.Grace-stopMargin {
			break
		}
	}
	n.ingress.StopReceiving()
	time.Sleep(stopCheckInterval) // lets the refusals of requests received in part be sent
	n.ingress.CloseIdle()
	time.Sleep(stopCheckInterval) // lets idle connections close before the process exits
	cancel()
	return nil
}
