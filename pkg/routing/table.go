package routing

import (
	"sort"
	"strings"

	"corianderwood.example/corianderwood/pkg/account"
)

// Table is one version of the configuration. It is immutable and safe for concurrent
// use.
type Table struct {
	// Version orders configurations; a higher version replaces a lower one.
	Version uint64
	Limits  Limits
	// Accounts holds the client accounts; nil if the configuration has none. It must not be
	// changed once the table is in use.
	Accounts *account.Directory
	services map[string]Service
	byHost   map[string][]Route // longest prefix first
}

// NewTable validates a configuration and builds its table. The error describes the
// first invalid part; an invalid configuration must not be put in force.
func NewTable(version uint64, limits Limits, services []Service, routes []Route) (*Table, error) {
	t := &Table{
		Version: version, Limits: limits,
		services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	if err := t.validate(routes); err != nil {
		return nil, err
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

// Match returns the route of the host with the longest prefix of path. The host may
// include a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	list := t.byHost[hostName(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// HasHost reports whether a route has the host, which may include a port.
func (t *Table) HasHost(host string) bool { return len(t.byHost[hostName(host)]) > 0 }

// hostName returns the host in lower case and without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the description of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Hosts returns the hosts that have routes, in lower case and in no particular order.
func (t *Table) Hosts() []string {
	hosts := make([]string, 0, len(t.byHost))
	for host := range t.byHost {
		hosts = append(hosts, host)
	}
	return hosts
}

// RouteNames returns the names of the routes, in no particular order.
func (t *Table) RouteNames() []string {
	names := make([]string, 0, t.Routes())
	for _, list := range t.byHost {
		for i := range list {
			names = append(names, list[i].Name)
		}
	}
	return names
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
