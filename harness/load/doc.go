// Package load generates a bounded HTTP load on loopback addresses and checks that
// each response is complete and belongs to its request.
package load
