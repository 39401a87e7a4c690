package history

import (
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/platform/aws"
	"corianderwood.example/corianderwood/pkg/platform/memory"
)

const (
	checkTimeout = 60 * time.Second
	sections     = 3
)

// seed returns the value of the environment variable SEED, or 1 if it is not a number.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// acceptors returns n acceptors on one table and object store, one for each node.
func acceptors(n int, t platform.Table, o platform.ObjectStore, seed uint64) []*accept.Acceptor {
	var nodes []*accept.Acceptor
	for i := range n {
		nodes = append(nodes, accept.New(t, o, accept.Options{Random: rand.New(rand.NewPCG(seed, uint64(i)))}))
	}
	return nodes
}

// countOutcomes counts the edits of a history by outcome.
func countOutcomes(history []Operation) map[EditOutcome]int {
	counts := map[EditOutcome]int{}
	for _, o := range history {
		if o.Input.Kind == Edit {
			counts[o.Output.Outcome]++
		}
	}
	return counts
}

// runInMemory runs a workload over the in-memory platform under all injected faults, and
// resolves and checks its history. wrap, if not nil, replaces the table that the acceptors
// use.
func runInMemory(t *testing.T, seed uint64, wrap func(platform.Table) platform.Table) ([]Operation, error) {
	t.Helper()
	var resolved []Operation
	var failure error
	synctest.Test(t, func(t *testing.T) {
		table, objects := memory.NewTable(seed), memory.NewObjectStore(seed)
		used := platform.Table(table)
		if wrap != nil {
			used = wrap(table)
		}
		r := &Recorder{}
		w := Workload{Acceptors: acceptors(4, used, objects, seed), Sections: sections, Editors: 8, Readers: 3, Steps: 25, Pause: 400 * time.Millisecond, Seed: seed}
		done := make(chan struct{})
		go func() {
			time.Sleep(time.Millisecond) // no faults while Workload.Run creates the sections
			injectFaults(rand.New(rand.NewPCG(seed, 99)), table, objects, done)
		}()
		failure = w.Run(t.Context(), r)
		close(done)
		synctest.Wait()
		table.SetFaults(memory.Faults{})
		table.WaitDelayedWrites()
		objects.WaitDelayedWrites()
		if failure != nil {
			return
		}
		reader := accept.New(table, objects, accept.Options{})
		counts := countOutcomes(r.History())
		t.Logf("seed %d: %d operations; edits accepted %d, conflicts %d, refused %d, unknown %d",
			seed, len(r.History()), counts[Accepted], counts[Conflict], counts[Refused], counts[Unknown])
		resolved, failure = Resolve(r.History(), func(id string) (accept.Result, bool, error) { return reader.Operation(t.Context(), id) })
	})
	if failure != nil {
		return nil, failure
	}
	return resolved, Check(resolved, checkTimeout)
}

// injectFaults changes the faults every 300 ms until done is closed.
func injectFaults(rnd *rand.Rand, table *memory.Table, objects *memory.ObjectStore, done chan struct{}) {
	for {
		f := memory.Faults{Delay: time.Duration(rnd.IntN(60)) * time.Millisecond, DropResponse: 0.15, DropRequest: 0.1, DelayWrite: 0.1, MaxWriteDelay: 2 * time.Second}
		switch rnd.IntN(6) {
		case 0:
			f.Down = true
		case 1:
			f.RatePerSecond = 20
		case 2:
			f = memory.Faults{Delay: 7 * time.Second} // exceeds the request timeout
		}
		table.SetFaults(f)
		objects.SetFaults(f)
		select {
		case <-done:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// Guards against lost, duplicated or reordered edits, a stale head, and a refusal of an
// edit that was written. Operators edit concurrently at several nodes while the platform
// drops requests and responses, delays writes and responses, throttles, and is down.
func TestProofEditsAreLinearizable(t *testing.T) {
	for i := range uint64(12) {
		if _, err := runInMemory(t, seed()*1000+i, nil); err != nil {
			t.Fatalf("seed %d: %v", seed()*1000+i, err)
		}
	}
}

// Guards against the same failures with the AWS adapter over HTTP. They would also arise
// if the SDK retried a write on its own.
func TestProofEditsThroughAdapterAreLinearizable(t *testing.T) {
	p := fake.NewPlatform(seed())
	server := httptest.NewServer(p)
	defer server.Close()
	table, objects, err := aws.New(aws.Options{Endpoint: server.URL, Region: "local", TableName: "t", Bucket: "b", AccessKeyID: "a", SecretAccessKey: "s"})
	if err != nil {
		t.Fatal(err)
	}
	r := &Recorder{}
	w := Workload{Acceptors: acceptors(3, table, objects, seed()), Sections: sections, Editors: 6, Readers: 2, Steps: 20, Pause: 20 * time.Millisecond, Seed: seed()}
	rnd, done, stopped := rand.New(rand.NewPCG(seed(), 98)), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		time.Sleep(100 * time.Millisecond) // no faults while Workload.Run creates the sections
		for {
			f := fake.PlatformFaults{DelayMS: rnd.IntN(10), DropResponse: 0.15, DropRequest: 0.1}
			if rnd.IntN(5) == 0 {
				f.Down = []string{fake.DownStatus, fake.DownClose}[rnd.IntN(2)]
			}
			p.SetFaults(f)
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	err = w.Run(t.Context(), r)
	close(done)
	<-stopped
	p.SetFaults(fake.PlatformFaults{})
	if err != nil {
		t.Fatal(err)
	}
	counts := countOutcomes(r.History())
	t.Logf("%d operations; edits accepted %d, conflicts %d, refused %d, unknown %d; platform %+v",
		len(r.History()), counts[Accepted], counts[Conflict], counts[Refused], counts[Unknown], p.Stats())
	resolved, err := Resolve(r.History(), func(id string) (accept.Result, bool, error) { return w.Acceptors[0].Operation(t.Context(), id) })
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(resolved, checkTimeout); err != nil {
		t.Error(err)
	}
	if counts[Accepted] < 10 || p.Stats().Dropped == 0 {
		t.Errorf("only %d edits were accepted and %d requests or responses dropped; too few for a meaningful check, want at least 10 and 1", counts[Accepted], p.Stats().Dropped)
	}
}
