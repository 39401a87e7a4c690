// Package upstream registers the upstream process that runs on the same instance as the
// node. It provides a loopback HTTP API for announcements, which expire unless they are
// renewed, and for drains, which wait for calls in flight. It also polls the upstream's
// health and load endpoints, whose results are used as hints.
package upstream
