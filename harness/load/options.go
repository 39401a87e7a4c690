package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"
)

// Limits of one run.
const (
	maxWorkers  = 512
	maxDuration = 10 * time.Minute
	maxRate     = 20000 // requests per second
)

// Options configure a load.
type Options struct {
	// URLs are the base URLs that requests are sent to in turn; their hosts must be
	// loopback IP addresses.
	URLs []string
	// Workers is the number of concurrent senders.
	Workers int
	// Rate is the number of requests per second over all workers; with 0, each worker
	// sends its next request as soon as the previous one has ended.
	Rate float64
	// Duration is the maximum length of the load. If Requests is not 0, the load also
	// ends after that many requests.
	Duration time.Duration
	Requests int
	// Paths are requested in turn; empty means "/".
	Paths []string
	// PostShare is the fraction of requests sent with POST, from 0 to 1.
	PostShare float64
	// RequestBytes is the body size of POST requests; ResponseBytes is the body size
	// that is requested from a fake.Upstream.
	RequestBytes, ResponseBytes int
	// Timeout is the time limit of one request; 0 means 10 s.
	Timeout time.Duration
	// IDPrefix is the prefix of the request ids, which keeps those of several loads
	// distinct.
	IDPrefix string
	// Seed seeds the random choice between GET and POST.
	Seed uint64
	// SkipCheck disables the check of response bodies, for targets other than a
	// fake.Upstream.
	SkipCheck bool
}

func (o Options) check() error {
	var errs []error
	if len(o.URLs) == 0 {
		errs = append(errs, errors.New("no URL given: at least one is required"))
	}
	for _, text := range o.URLs {
		u, err := url.Parse(text)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
			errs = append(errs, fmt.Errorf("host of URL %q is not a loopback IP address: load is sent on loopback only", text))
		}
	}
	if o.Workers < 1 || o.Workers > maxWorkers {
		errs = append(errs, fmt.Errorf("workers is %d: want 1 to %d", o.Workers, maxWorkers))
	}
	if o.Rate < 0 || o.Rate > maxRate {
		errs = append(errs, fmt.Errorf("rate is %g: want 0 to %d", o.Rate, maxRate))
	}
	if o.Duration <= 0 || o.Duration > maxDuration {
		errs = append(errs, fmt.Errorf("duration is %v: want up to %v", o.Duration, maxDuration))
	}
	return errors.Join(errs...)
}
