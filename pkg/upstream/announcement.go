package upstream

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// Announcement is the JSON body of POST /v1/announce.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is the IP address and TCP port on which the upstream serves HTTP/1.1.
	Address string `json:"address"`
	// HealthPath is polled for health and returns status 200 while the upstream is
	// healthy; empty disables the poll.
	HealthPath string `json:"health_path,omitempty"`
	// LoadPath is polled for load and returns {"running", "queued", "slots"}; empty
	// disables the poll.
	LoadPath string `json:"load_path,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently; 0 means the
	// value from the configuration.
	Slots int `json:"slots,omitempty"`
}

// check returns all validation errors of an announcement, joined.
func (a Announcement) check() error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(a.Service == "", "service is empty: state the service that the upstream runs")
	fault(a.Version == "", "version is empty: state the version that the upstream runs")
	host, _, err := net.SplitHostPort(a.Address)
	fault(err != nil || net.ParseIP(host) == nil, "address %q is not an IP address with a port: state one such as 127.0.0.1:8080", a.Address)
	fault(a.Slots < 0 || a.Slots > maxSlots, "slots is %d: state a number from 0 to %d", a.Slots, maxSlots)
	for name, path := range map[string]string{"health_path": a.HealthPath, "load_path": a.LoadPath} {
		fault(path != "" && !strings.HasPrefix(path, "/"), "%s is %q: state a path that begins with /", name, path)
	}
	return errors.Join(faults...)
}

// sameProcess reports whether two announcements describe the same process.
func (a Announcement) sameProcess(b Announcement) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Address == b.Address
}
