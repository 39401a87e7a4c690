package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/harness/fake"
	"corianderwood.example/corianderwood/pkg/proxy"
)

// worker sends requests one at a time. Its state is owned by the goroutine that calls run.
type worker struct {
	options  Options
	client   http.Client
	rnd      *rand.Rand
	report   *Report
	postBody []byte
}

func newWorker(o Options, index int, transport http.RoundTripper) *worker {
	return &worker{options: o, client: http.Client{Transport: transport, Timeout: o.Timeout},
		rnd:    rand.New(rand.NewPCG(o.Seed, uint64(index))),
		report: newReport(), postBody: bytes.Repeat([]byte("r"), o.RequestBytes)}
}

func (w *worker) run(ctx context.Context, s *schedule) {
	for {
		number, due, ok := s.next(ctx)
		if !ok {
			return
		}
		w.sendOne(number, due)
	}
}

// sendOne sends a request and records its outcome. The end of the load doesn't cancel
// requests in progress.
func (w *worker) sendOne(number int64, due time.Time) {
	o := w.options
	method, body := http.MethodGet, []byte(nil)
	if w.rnd.Float64() < o.PostShare {
		method, body = http.MethodPost, w.postBody
	}
	path := o.Paths[number%int64(len(o.Paths))]
	id := fmt.Sprintf("%s%d", o.IDPrefix, number)
	url := fmt.Sprintf("%s%s?bytes=%d", o.URLs[number%int64(len(o.URLs))], path, o.ResponseBytes)
	w.report.Requests++
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		w.report.Errors++
		return
	}
	req.Header.Set(fake.RequestIDHeader, id)
	status, header, got, err := w.send(req)
	if err != nil {
		w.report.Errors++
		if method == http.MethodPost {
			w.report.Outcomes[id] = Outcome{}
		}
		return
	}
	w.record(status, header)
	if method == http.MethodPost {
		w.report.Outcomes[id] = Outcome{Status: status, Ran: header.Get(proxy.HeaderRan)}
	}
	if status != http.StatusOK {
		return
	}
	w.report.latencies = append(w.report.latencies, time.Since(due))
	if !o.SkipCheck && !bytes.Equal(got, fake.ExpectedBody(id, path, body, o.ResponseBytes)) {
		w.report.Wrong++
	}
}

func (w *worker) send(req *http.Request) (int, http.Header, []byte, error) {
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

func (w *worker) record(status int, header http.Header) {
	w.report.Statuses[status]++
	if why := header.Get(proxy.HeaderRefused); why != "" {
		w.report.Refused[why]++
	}
	if ran := header.Get(proxy.HeaderRan); ran != "" {
		w.report.Ran[ran]++
	}
}
