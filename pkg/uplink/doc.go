// Package uplink schedules the network link of an instance between responses of very
// different sizes. Small frames are sent at once; large ones are sent in parts,
// earliest deadline first, no faster than the link transmits them. Small responses
// therefore do not wait behind large ones in the link's queue, and the node can
// estimate the transmission time of a large response before it accepts the request. A
// frame here is any unit that is sent as a whole: a response to a client or a frame of a
// connection to another node.
package uplink
