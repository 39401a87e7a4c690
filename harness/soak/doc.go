// Package soak runs the real node as separate processes, injects faults with signals,
// loopback TCP proxies and a fake metadata store, and checks the guarantees that
// clients, servers and the operator rely on. A seed determines the schedule of faults.
package soak
