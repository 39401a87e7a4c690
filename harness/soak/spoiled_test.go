package soak

import (
	"context"
	"sync"
	"testing"
	"time"
)

// minServed is the least share of the requests that must be served. A spoiled response may cost
// its own request and one more, by the connections that its node gives up.
const minServed = 1 - 2.0/spoiledOneIn

// playMisbehavior lets clients send requests for a while to nodes whose servers misbehave. Each
// of the spoiled deliveries must be played.
func playMisbehavior(t *testing.T, m Misbehavior, spoiled ...string) {
	const (
		nodes    = 4
		clients  = 4 // for each node, half of them with unsafe requests
		duration = 4 * time.Second
	)
	s := newSoak(Options{Nodes: nodes, Binary: binary, Dir: t.TempDir()})
	defer s.close()
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	if !s.waitUntilServing(t.Context()) {
		t.Fatal("not all nodes serve requests")
	}
	_, before := s.checker.Report()
	served := before["200"]
	sent := requestCount.Load()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, i := range s.instances {
		i.server.SetMisbehavior(m)
		for n := range clients {
			wg.Go(func() { newClient(s, i).run(ctx, n%2 == 1) })
		}
	}
	wg.Wait()
	violations, counts := s.checker.Report()
	sent = requestCount.Load() - sent
	share := float64(counts["200"]-served) / float64(sent)
	t.Logf("%.2f of %d requests served; %v", share, sent, counts)
	if share < minServed {
		t.Errorf("%.2f of the requests were served, want %.2f", share, minServed)
	}
	for _, name := range spoiled {
		if counts[name] == 0 {
			t.Errorf("no response was counted as %q", name)
		}
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}

// Guards against a response that was broken off on an open connection and is filled up by the
// bytes of the next one, so that the client gets a success where the server did not respond.
func TestCutResponseIsFilledByCopy(t *testing.T) { playMisbehavior(t, Cutting, "cut") }

// Guards against a success with the request's id that is preferred to the failure, with another
// id or none, that the server sent first.
func TestSecondResponseDiffers(t *testing.T) { playMisbehavior(t, Contradicting, "contradicted") }

// Guards against a copy that counts as part of a response without a length.
func TestCopyBeforeEndOfConnection(t *testing.T) { playMisbehavior(t, Unframed, "unframed") }

// Guards against pieces of a copy within a response.
func TestPiecesOfResponsesAlternate(t *testing.T) { playMisbehavior(t, Alternating, "alternated") }

// Guards against chunks that are filled up by the bytes of the next response.
func TestCutChunkIsFilledByCopy(t *testing.T) { playMisbehavior(t, Chunked, "cut", "alternated") }
