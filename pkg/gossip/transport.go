package gossip

import "context"

// Transport carries encoded messages between nodes. Package peer implements it.
type Transport interface {
	// Send queues a message for an address; the message may be lost. Send never blocks
	// and reports false if it dropped the message, such as for a full queue.
	Send(addr string, payload []byte) bool
	// Request sends a message and waits for the response or the end of ctx.
	Request(ctx context.Context, addr string, payload []byte) ([]byte, error)
	// Run calls handle for each message that arrives, from several goroutines
	// concurrently, until ctx ends. For requests reply is not nil and is called at most
	// once; it returns when the response is sent or sending has failed.
	Run(ctx context.Context, handle func(payload []byte, reply func([]byte) error)) error
}
