// Package balance selects the upstream of a call by the power of two choices: it draws
// two random upstreams and takes the one with the lower cost, computed from observed
// latency and load. It prefers the nearest failure domain while its upstreams have free
// slots. New upstreams get a growing share of the calls, and upstreams whose calls fail
// are ejected for some time. The package performs no I/O and takes the time as an
// argument.
package balance
