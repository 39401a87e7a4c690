// Package policysim is a discrete-event simulator that runs the balancer, the limiter's
// queue and the retry policy in virtual time, for benchmarks of these policies. Servers,
// networks and callers are models; all decisions are made by the product's code. Nothing
// in the package is safe for concurrent use.
package policysim
