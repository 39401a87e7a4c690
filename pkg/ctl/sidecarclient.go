package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/status"
)

const (
	// nodeTimeout is how long a node may take to answer.
	nodeTimeout = 2 * time.Second
	// busyRetry is the wait after a node has refused a request because it serves another one.
	busyRetry = 100 * time.Millisecond
	// maxDocumentBytes limits a response; a document with all entries has some 300 kB.
	maxDocumentBytes = 8 << 20
)

// errBusy means that the node serves the status request of another client.
var errBusy = errors.New("the node serves the request of another client; run the command again")

// parseNodeAddress checks a value of --node and returns it without a trailing slash.
func parseNodeAddress(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Host == "" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return "", usageError{fmt.Errorf("--node %q must have the form http://IP:PORT", text)}
	}
	return "http://" + u.Host, nil
}

// nodeStatus is the answer of one node.
type nodeStatus struct {
	address  string
	document status.Document
	err      error
}

// readStatus asks all nodes at once, without a proxy.
func readStatus(ctx context.Context, addresses []string) []nodeStatus {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	out := make([]nodeStatus, len(addresses))
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
			defer cancel()
			out[i] = nodeStatus{address: address}
			out[i].document, out[i].err = readNode(ctx, client, address)
		})
	}
	all.Wait()
	return out
}

// readNode asks one node until it has answered, or ctx ends.
func readNode(ctx context.Context, client *http.Client, address string) (status.Document, error) {
	for {
		d, err := readDocument(ctx, client, address)
		if !errors.Is(err, errBusy) {
			return d, err
		}
		select {
		case <-ctx.Done():
			return d, err
		case <-time.After(busyRetry):
		}
	}
}

func readDocument(ctx context.Context, client *http.Client, address string) (status.Document, error) {
	var d status.Document
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/status", nil)
	if err != nil {
		return d, err
	}
	res, err := client.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		return d, fmt.Errorf("no answer within %s", nodeTimeout)
	}
	if err != nil {
		return d, err
	}
	defer res.Body.Close()
	if err := framing.CheckFinal(res); err != nil {
		return d, err
	}
	kind, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type")) // an invalid type is not JSON either
	switch {
	case res.StatusCode == http.StatusServiceUnavailable:
		return d, errBusy
	case res.StatusCode != http.StatusOK:
		return d, fmt.Errorf("the node answered with status %s", res.Status)
	case kind != "application/json":
		return d, fmt.Errorf("the response is no status document; check that this is the metrics address of corianderwood sidecar, of a version with /status")
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxDocumentBytes)).Decode(&d); err != nil {
		return d, fmt.Errorf("cannot decode the response: %w", err)
	}
	return d, nil
}
