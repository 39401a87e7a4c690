package routing

import (
	"strings"

	"github.com/samber/oops"
)

// validate returns an error for the first invalid limit, service or route.
func (t *Table) validate(routes []Route) error {
	fail := oops.In("routing").Hint("the configuration in force stays; publish a corrected version")
	if t.Version == 0 {
		return fail.Errorf("configuration has no version")
	}
	if len(t.services) == 0 || len(routes) == 0 {
		return fail.Errorf("configuration has %d services and %d routes; both must be present", len(t.services), len(routes))
	}
	for name := range t.services {
		if name == "" {
			return fail.Errorf("configuration contains a service without a name")
		}
	}
	l := t.Limits
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes <= 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return fail.Errorf("configuration limits (maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout) must all be above zero")
	}
	seen := make(map[string]bool, len(routes))
	for _, r := range routes {
		if err := t.validateRoute(r); err != nil {
			return fail.Wrap(err)
		}
		key := strings.ToLower(r.Host) + r.Prefix
		if seen[key] {
			return fail.Errorf("two routes have the same host %q and prefix %q", r.Host, r.Prefix)
		}
		seen[key] = true
	}
	return nil
}

func (t *Table) validateRoute(r Route) error {
	switch {
	case r.Host == "":
		return oops.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return oops.Errorf("route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0 || r.TargetLatency <= 0:
		return oops.Errorf("route %q: timeout and target latency must be above zero", r.Name)
	case r.Attempts < 1:
		return oops.Errorf("route %q: attempts must be at least 1", r.Name)
	case r.Priority < 0:
		return oops.Errorf("route %q: priority must not be negative", r.Name)
	case len(r.Backends) == 0:
		return oops.Errorf("route %q has no service", r.Name)
	}
	for _, b := range r.Backends {
		if _, ok := t.services[b.Service]; !ok {
			return oops.Errorf("route %q refers to the unknown service %q", r.Name, b.Service)
		}
		if b.Weight <= 0 {
			return oops.Errorf("route %q: weight of service %q must be above zero", r.Name, b.Service)
		}
	}
	return nil
}
