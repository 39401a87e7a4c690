// Package e2e holds end-to-end tests. They run node processes on loopback addresses and
// inject faults: killed, paused and restarted nodes, and outages of the platform. The
// platform and the upstreams are fakes in the test process.
package e2e
