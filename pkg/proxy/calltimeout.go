package proxy

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// callTimeout returns the time that a call may take: the timeout of the route, or else
// of the service, or else DefaultCallTimeout, and at most what the request asks for and
// MaxCallTimeout.
func callTimeout(route config.Route, service config.Service, requested time.Duration) time.Duration {
	timeout := DefaultCallTimeout
	switch {
	case route.TimeoutMS > 0:
		timeout = time.Duration(route.TimeoutMS) * time.Millisecond
	case service.TimeoutMS > 0:
		timeout = time.Duration(service.TimeoutMS) * time.Millisecond
	}
	if requested > 0 {
		timeout = min(timeout, requested)
	}
	return min(timeout, MaxCallTimeout)
}
