package node

import (
	"errors"
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/platform"
)

// platformState tracks whether the platform responded to the last request, so that an
// outage is logged only once.
type platformState struct {
	down    atomic.Bool
	metrics *metrics
}

func (p *platformState) observe(err error) {
	if err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknownOutcome) {
		if p.down.CompareAndSwap(true, false) {
			event.PlatformUp.Log()
		}
		p.metrics.platformUp.Set(1)
		return
	}
	p.metrics.platformUp.Set(0)
	if p.down.CompareAndSwap(false, true) {
		event.PlatformDown.LogError(err)
	}
}
