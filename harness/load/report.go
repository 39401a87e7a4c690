package load

import (
	"slices"
	"time"
)

// Report is the result of a load.
type Report struct {
	Requests int `json:"requests"`
	// Statuses counts the complete responses by status, Refused by the refusal reason in
	// proxy.HeaderRefused, and Ran by the value of proxy.HeaderRan: yes, no or unknown, for
	// whether the upstream executed the request.
	Statuses map[int]int    `json:"statuses"`
	Refused  map[string]int `json:"refused,omitempty"`
	Ran      map[string]int `json:"ran,omitempty"`
	// Errors counts the requests without a complete response.
	Errors int `json:"errors"`
	// Wrong counts responses with status 200 whose body differs from fake.ExpectedBody:
	// it is shortened or belongs to another request.
	Wrong int `json:"wrong"`
	// Outcomes holds the outcome of each POST request, by request id.
	Outcomes map[string]Outcome `json:"-"`
	Elapsed  time.Duration      `json:"elapsed"`
	// latencies holds the latencies of the responses with status 200, sorted by
	// finalize.
	latencies []time.Duration
}

// Outcome is the outcome of a POST request as its caller sees it.
type Outcome struct {
	Status int    // 0 if no complete response was received
	Ran    string // value of proxy.HeaderRan; empty if there is none
}

// Quantile returns the latency below which the fraction q (0 to 1) of the responses
// with status 200 lies, or 0 without such responses.
func (r *Report) Quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

func newReport() *Report {
	return &Report{Statuses: map[int]int{}, Refused: map[string]int{}, Ran: map[string]int{}, Outcomes: map[string]Outcome{}}
}

// merge adds the report of one worker to r.
func (r *Report) merge(o *Report) {
	r.Requests += o.Requests
	r.Errors += o.Errors
	r.Wrong += o.Wrong
	for k, v := range o.Statuses {
		r.Statuses[k] += v
	}
	for k, v := range o.Refused {
		r.Refused[k] += v
	}
	for k, v := range o.Ran {
		r.Ran[k] += v
	}
	for k, v := range o.Outcomes {
		r.Outcomes[k] = v
	}
	r.latencies = append(r.latencies, o.latencies...)
}

func (r *Report) finalize(elapsed time.Duration) {
	r.Elapsed = elapsed
	slices.Sort(r.latencies)
}
