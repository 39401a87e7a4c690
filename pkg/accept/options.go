package accept

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// Options are the settings and collaborators of an Acceptor. All may be left out.
type Options struct {
	// Replicate spreads an accepted head and the bodies by hash to peers and returns the
	// failure domains or instances that acknowledged them before ctx ended.
	Replicate func(ctx context.Context, h config.Head, bodies map[string][]byte) []string
	// Outcome returns the recorded result of a move. Without it no move has a result.
	Outcome func(ctx context.Context, moveID string) (config.MoveResult, bool, error)
	// LocalBody returns a section body that the node holds. Others are read from the
	// object store.
	LocalBody func(hash string) ([]byte, bool)
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Random draws the waits between attempts. It is used by one goroutine at a time.
	Random *rand.Rand

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
		o.ReplicateTimeout = defaultHoldTimeout
	}
	return o
}
