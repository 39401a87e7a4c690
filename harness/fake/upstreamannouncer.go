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

// heartbeat is the period of announcements, a third of their life.
const heartbeat = time.Second

// Announcer announces an upstream to the node on its instance.
type Announcer struct {
	// URL is that of the announce API without path, for example
	// http://127.0.0.1:9000.
	URL          string
	Announcement upstream.Announcement
	// Failed, if set, is called with the error of each failed heartbeat.
	Failed func(error)
}

// Run announces the upstream each second until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
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

// Announce sends one heartbeat.
func (a *Announcer) Announce(ctx context.Context) error {
	body, err := json.Marshal(a.Announcement)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeat)
	defer cancel()
	return a.send(ctx, http.MethodPost, "", body)
}

// Drain asks the node to stop sending requests and returns when none is running.
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
		err = fmt.Errorf("the node answered status %d: %s", resp.StatusCode, text)
	}
	return err
}
