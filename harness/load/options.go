package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"
)

// Bounds of one run.
const (
	maxWorkers  = 512
	maxDuration = 10 * time.Minute
	maxRate     = 20000 // requests per second
)

// Options describe a load.
type Options struct {
	// URLs are the addresses that requests are sent to in turn; only loopback
	// addresses are accepted.
	URLs []string
	// Workers is the number of concurrent senders.
	Workers int
	// Rate is the number of requests per second over all workers; 0 sends the next
	// request when the last has ended.
	Rate float64
	// Duration ends the load; Requests, if not 0, ends it earlier.
	Duration time.Duration
	Requests int
	// Paths are requested in turn; empty means "/".
	Paths []string
	// PostShare is the share of requests sent with POST, from 0 to 1.
	PostShare float64
	// RequestBytes and ResponseBytes are the sizes of bodies; they apply to POST
	// requests and to all responses of a fake.Upstream.
	RequestBytes, ResponseBytes int
	// Timeout bounds one request.
	Timeout time.Duration
	// IDPrefix begins the request ids, so that several loads can be told apart.
	IDPrefix string
	// Seed seeds the choice of methods.
	Seed uint64
	// SkipCheck accepts any body, for targets that are not a fake.Upstream.
	SkipCheck bool
}

func (o Options) check() error {
	var faults []error
	if len(o.URLs) == 0 {
		faults = append(faults, errors.New("no URL is given"))
	}
	for _, text := range o.URLs {
		u, err := url.Parse(text)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
			faults = append(faults, fmt.Errorf("URL %q is not a loopback address: load is sent on loopback only", text))
		}
	}
	if o.Workers < 1 || o.Workers > maxWorkers {
		faults = append(faults, fmt.Errorf("workers is %d: want 1 to %d", o.Workers, maxWorkers))
	}
	if o.Rate < 0 || o.Rate > maxRate {
		faults = append(faults, fmt.Errorf("rate is %g: want 0 to %d", o.Rate, maxRate))
	}
	if o.Duration <= 0 || o.Duration > maxDuration {
		faults = append(faults, fmt.Errorf("duration is %v: want up to %v", o.Duration, maxDuration))
	}
	return errors.Join(faults...)
}
