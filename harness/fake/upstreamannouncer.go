package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/upstream"
)

// heartbeatInterval is a third of the lifetime of an announcement (upstream.TTL), so that
// a lost heartbeat does not let it expire.
const heartbeatInterval = time.Second

// Announcer announces an upstream to the node on its instance. Its fields must not change
// while Run runs.
type Announcer struct {
	// URL is the base URL of the node's announce API without path, for example
	// http://127.0.0.1:9000.
	URL          string
	Announcement upstream.Announcement
	// Failed, if not nil, is called from Run with the error of each failed heartbeat.
	Failed func(error)
}

// Run announces the upstream once per heartbeatInterval until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil && a.Failed != nil {
			a.Failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Announce sends one heartbeat and waits at most heartbeatInterval for the response.
func (a *Announcer) Announce(ctx context.Context) error {
	body, err := json.Marshal(a.Announcement)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	return a.send(ctx, http.MethodPost, "", body)
}

// Drain marks the upstream as draining at the node. The node stops sending requests to it
// and responds once none is in progress, or after upstream.DefaultDrainWait; Drain returns
// nil in both cases. The node rejects later heartbeats, which do not end the drain.
func (a *Announcer) Drain(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, "", nil)
}

func (a *Announcer) send(ctx context.Context, method, query string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, a.URL+upstream.AnnouncePath+query, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("node responded with status %d: %s", resp.StatusCode, text)
	}
	return err
}
