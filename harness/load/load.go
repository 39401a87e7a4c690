package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends the load and returns after its end or when ctx is canceled; requests in
// progress are completed. It returns an error only for invalid options.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if len(o.Paths) == 0 {
		o.Paths = []string{"/"}
	}
	if o.Timeout <= 0 {
		o.Timeout = 10 * time.Second
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Workers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	s := &schedule{options: o, start: time.Now()}
	reports := make([]*Report, o.Workers)
	var wg sync.WaitGroup
	for i := range o.Workers {
		w := newWorker(o, i, transport)
		reports[i] = w.report
		wg.Go(func() { w.run(ctx, s) })
	}
	wg.Wait()
	total := newReport()
	for _, r := range reports {
		total.merge(r)
	}
	total.finalize(time.Since(s.start))
	return total, nil
}

// schedule assigns each request its number and planned time. It is safe for concurrent
// use.
type schedule struct {
	options Options
	start   time.Time
	issued  atomic.Int64
}

// next waits until the next request is due; ok is false at the end of the load. With a
// fixed rate, due is the planned time even if the request is sent late: latencies then
// include the time that a request waited behind slow responses.
func (s *schedule) next(ctx context.Context) (number int64, due time.Time, ok bool) {
	number = s.issued.Add(1) - 1
	if s.options.Requests > 0 && number >= int64(s.options.Requests) || ctx.Err() != nil {
		return 0, time.Time{}, false
	}
	if s.options.Rate == 0 {
		return number, time.Now(), true
	}
	due = s.start.Add(time.Duration(float64(number) / s.options.Rate * float64(time.Second)))
	if wait := time.Until(due); wait > 0 {
		select {
		case <-ctx.Done():
			return 0, time.Time{}, false
		case <-time.After(wait):
		}
	}
	return number, due, true
}
