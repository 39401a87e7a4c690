// Package link connects two nodes by one TCP connection that carries frames in both
// directions: requests with their responses, and state that the nodes exchange, such as
// rows of the store. A frame consists of a length, a kind and a CBOR body.
package link
