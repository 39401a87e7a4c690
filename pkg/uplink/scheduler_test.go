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

const linkBytesPerSecond = 38e6 / 8 // 38 Mbit/s, a narrow link of a large deployment

// Guards against parts that are sent faster than the link transmits them, so that small
// frames queue behind large ones, and against an idle link while parts wait.
func TestLargeBlocksAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(linkBytesPerSecond)
		began := time.Now()
		const frames, size = 5, 280_000
		done := make(chan error, frames)
		for range frames {
			go func() { done <- s.Write(t.Context(), &bytes.Buffer{}, make([]byte, size), began.Add(time.Second)) }()
		}
		for range frames {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		want := s.Duration(frames * size)
		if took := time.Since(began); took < want-lookahead-s.Duration(PartBytes) || took > want {
			t.Errorf("five large frames took %v, want about %v", took, want)
		}
	})
}

// Guards against an urgent frame that waits until a less urgent one is sent completely.
func TestUrgentBlockOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(linkBytesPerSecond)
		began := time.Now()
		ends := make(chan string, 2)
		send := func(name string, size int, timeout time.Duration) {
			if err := s.Write(t.Context(), &bytes.Buffer{}, make([]byte, size), began.Add(timeout)); err != nil {
				t.Error(err)
			}
			ends <- name
		}
		go send("late", 800_000, 2*time.Second)
		time.Sleep(20 * time.Millisecond)
		go send("urgent", 100_000, 300*time.Millisecond)
		if first := <-ends; first != "urgent" {
			t.Errorf("the first frame sent completely is %q, want \"urgent\"", first)
		}
		<-ends
	})
}

// Guards against bytes that stay in the backlog after their context was canceled or
// their connection has failed, because admission control would then refuse large
// responses forever.
func TestBacklogEmptiesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(linkBytesPerSecond)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 2)
		go func() { failed <- s.Write(ctx, &bytes.Buffer{}, make([]byte, 5_000_000), time.Now()) }()
		go func() { failed <- s.Write(t.Context(), brokenWriter{}, make([]byte, 5_000_000), time.Now()) }()
		release := s.Reserve(1_000_000)
		time.Sleep(50 * time.Millisecond)
		cancel()
		for range 2 {
			if err := <-failed; err == nil {
				t.Error("Write returned no error after cancellation or a failed connection")
			}
		}
		release()
		time.Sleep(time.Second)
		if left := s.Backlog(time.Now()); left != 0 {
			t.Errorf("backlog is %v although nothing remains to be sent", left)
		}
	})
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

// Simulates a link under high load: 15 responses of 280 KB and 80 small responses per
// second on 38 Mbit/s. Guards against small responses that wait for large ones. The
// baseline sends complete responses in order of arrival.
func TestReplaySmallResponsesWithLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, large, small = 20, 15, 80
		scheduled := New(linkBytesPerSecond)
		var fifo time.Time // when the link of the baseline is free
		rnd := rand.New(rand.NewPCG(1, 2))
		var waits, baseline []time.Duration
		for i := range seconds * (large + small) {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (large + small) * float64(time.Second)))
			now := time.Now()
			size := 2_000
			if i%(large+small) < large {
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
			fifo = fifo.Add(time.Duration(float64(size) / linkBytesPerSecond * float64(time.Second)))
		}
		p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
		t.Logf("p99 wait of small responses: %v; in order of arrival: %v", p99(waits), p99(baseline))
		if got := p99(waits); got > 25*time.Millisecond { // a tenth of the shortest target latency
			t.Errorf("p99 wait of small responses is %v, want at most 25 ms", got)
		}
		if p99(baseline) < 4*p99(waits) {
			t.Errorf("p99 wait of the baseline is only %v, less than 4 times that of the scheduler", p99(baseline))
		}
		time.Sleep(5 * time.Second)
	})
}
