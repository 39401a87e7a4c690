// Package proxy forwards HTTP calls between the nodes of a mesh. At the ingress node,
// where a request enters, the CallerServer accepts requests from callers, chooses an
// upstream and retries. At the node beside the upstream, the PeerServer accepts the
// forwarded calls, applies limits, records them in the ledger and sends them to the
// upstream. This package pools connections itself, because net/http's Transport replays
// some requests on its own and does not report whether bytes were sent.
package proxy
