// Package uplink shares the network link of an instance between responses of very
// different size. Small frames are sent at once; large ones are sent in parts, the
// most urgent first, no faster than the link carries them. So a small response does
// not wait behind large ones in the link's queue, and the node knows how long a
// large response would take before it accepts the request for it.
package uplink
