// Package peer transports messages between nodes over QUIC with mutual TLS. One UDP
// socket serves incoming and outgoing connections. Small messages are sent as QUIC
// datagrams, larger ones each on a stream of its own, requests on a bidirectional
// stream. The payload of each is one CBOR item, which package gossip encodes and decodes.
package peer
