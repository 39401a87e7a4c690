package uplink

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const narrow = 38e6 / 8 // bytes a second; the narrow links of a grown fleet

// Guards against parts that are sent faster than the link carries them, which would
// queue small frames behind large ones, and against a link that idles meanwhile.
func TestLargeBlocksKeepToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(narrow)
		began := time.Now()
		const blocks, size = 5, 280_000
		done := make(chan error, blocks)
		for range blocks {
			go func() { done <- s.Write(t.Context(), &bytes.Buffer{}, make([]byte, size), began.Add(time.Second)) }()
		}
		for range blocks {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		want := s.Duration(blocks * size)
		if took := time.Since(began); took < want-lead-s.Duration(PartBytes) || took > want {
			t.Errorf("five charts took %v, want about %v", took, want)
		}
	})
}

// Guards against an urgent response that waits until a less urgent one is sent whole.
func TestUrgentBlockPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(narrow)
		began := time.Now()
		ends := make(chan string, 2)
		send := func(name string, size int, by time.Duration) {
			if err := s.Write(t.Context(), &bytes.Buffer{}, make([]byte, size), began.Add(by)); err != nil {
				t.Error(err)
			}
			ends <- name
		}
		go send("late", 800_000, 2*time.Second)
		time.Sleep(20 * time.Millisecond)
		go send("urgent", 100_000, 300*time.Millisecond)
		if first := <-ends; first != "urgent" {
			t.Errorf("the first response that was sent is %q", first)
		}
		<-ends
	})
}

// Guards against bytes that stay in the backlog after their client has left or their
// connection has failed: the gate would refuse downloads for ever.
func TestBacklogEmptiesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(narrow)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 2)
		go func() { failed <- s.Write(ctx, &bytes.Buffer{}, make([]byte, 5_000_000), time.Now()) }()
		go func() { failed <- s.Write(t.Context(), brokenWriter{}, make([]byte, 5_000_000), time.Now()) }()
		release := s.Reserve(1_000_000)
		time.Sleep(50 * time.Millisecond)
		cancel()
		for range 2 {
			if err := <-failed; err == nil {
				t.Error("no error")
			}
		}
		release()
		time.Sleep(time.Second)
		if left := s.Backlog(time.Now()); left != 0 {
			t.Errorf("backlog of %v without anything to send", left)
		}
	})
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

// Replays the load of a warehouse's link on a day of high load: 15 charts of 280 KB and
// 80 small responses a second on 38 Mbit/s. The baseline writes charts whole, in order
// of arrival. With the scheduler small responses do not wait for charts.
func TestReplaySmallResponsesBesideCharts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, charts, small = 20, 15, 80
		scheduled := New(narrow)
		var fifo time.Time // when the link of the baseline is free
		rnd := rand.New(rand.NewPCG(1, 2))
		var waits, baseline []time.Duration
		for i := range seconds * (charts + small) {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (charts + small) * float64(time.Second)))
			now := time.Now()
			size := 2_000
			if i%(charts+small) < charts {
				size = int(280_000 * (0.4 + 1.2*rnd.Float64()))
				go func() {
					if err := scheduled.Write(t.Context(), &bytes.Buffer{}, make([]byte, size), now.Add(600*time.Millisecond)); err != nil {
						t.Error(err)
					}
				}()
			}
			if fifo.Before(now) {
				fifo = now
			}
			if size == 2_000 {
				baseline = append(baseline, fifo.Sub(now))
				scheduled.mu.Lock()
				waits = append(waits, max(scheduled.freeAt.Sub(now), 0))
				scheduled.mu.Unlock()
				scheduled.RecordSent(size)
			}
			fifo = fifo.Add(time.Duration(float64(size) / narrow * float64(time.Second)))
		}
		p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
		t.Logf("wait of small responses, 99 in 100: %v, whole charts first: %v", p99(waits), p99(baseline))
		if got := p99(waits); got > 25*time.Millisecond { // a tenth of the shortest target latency
			t.Errorf("small responses wait %v", got)
		}
		if p99(baseline) < 4*p99(waits) {
			t.Errorf("the baseline waits %v only; the replay shows no gain", p99(baseline))
		}
		time.Sleep(5 * time.Second)
	})
}
