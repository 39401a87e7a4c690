package accept

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// Options configure an Acceptor. All fields are optional.
type Options struct {
	// Replicate sends an accepted head and its new bodies, by hash, to peers and
	// returns the failure domains or instances that acknowledged them before ctx ended.
	Replicate func(ctx context.Context, h config.Head, bodies map[string][]byte) []string
	// Outcome returns the recorded result of a move. If it is nil, no move has a
	// result.
	Outcome func(ctx context.Context, moveID string) (config.MoveResult, bool, error)
	// LocalBody returns a section body that this node has in memory. Other bodies are
	// read from the object store.
	LocalBody func(hash string) ([]byte, bool)
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// Random is the source of the jitter between attempts. It is used by one goroutine
	// at a time.
	Random *rand.Rand

	// EditTimeout limits one edit including its retries, CallTimeout one request to the
	// platform, and ReplicateTimeout the wait for acknowledgements of peers. A value that
	// is not positive means the default: 10 s, 3 s and 1 s.
	EditTimeout, CallTimeout, ReplicateTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.EditTimeout <= 0 {
		o.EditTimeout = defaultEditTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.ReplicateTimeout <= 0 {
		o.ReplicateTimeout = defaultReplicateTimeout
	}
	return o
}
