package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
)

// Workload is a set of clients that edit and read the configuration concurrently.
type Workload struct {
	// Acceptors are the acceptors of the nodes; clients choose one at random for each
	// operation.
	Acceptors []*accept.Acceptor
	Sections  int // number of sections that Run creates
	// Editors is the number of clients that edit random sections, Readers the number of
	// those that read the head. Each client performs Steps operations.
	Editors, Readers, Steps int
	// Pause is the upper bound of the random wait before each operation of a client. Zero
	// means no wait.
	Pause time.Duration
	// Seed seeds the random choices of the clients.
	Seed uint64
}

const team = "icemakers"

// sectionName returns the name of the section with the given number.
func sectionName(i int) string { return fmt.Sprintf("section-%d", i) }

// newSection returns a valid section with the given number whose content depends on value.
func newSection(i, value int) (config.Section, error) {
	name := sectionName(i)
	return config.ParseSection(fmt.Appendf(nil, `{"name":%q,"team":%q,"services":[{"name":%q,"version":"v1","timeout_ms":%d}],
		"routes":[{"name":%q,"path_prefix":"/%s","service":%q}]}`, name, team, name, 1000+value, name, name, name))
}

// Run creates the sections, runs all clients until they are done, and returns unexpected
// errors. The platform must be free of faults while the sections are created.
func (w Workload) Run(ctx context.Context, r *Recorder) error {
	for i := range w.Sections {
		section, err := newSection(i, 0)
		if err != nil {
			return err
		}
		request := accept.EditRequest{OperationID: fmt.Sprintf("create-%d", i), Team: config.AdminTeam, Section: section}
		if out := r.Edit(ctx, 0, w.Acceptors[0], request); out.Outcome != Accepted {
			return fmt.Errorf("history: create section %d: edit was not accepted", i)
		}
	}
	var clients sync.WaitGroup
	for i := range w.Editors + w.Readers {
		c := client{w: w, r: r, id: i + 1, rnd: rand.New(rand.NewPCG(w.Seed, uint64(i)))}
		step := c.read
		if i < w.Editors {
			step = c.edit
		}
		clients.Go(func() {
			for n := range w.Steps {
				c.pause()
				step(ctx, n)
			}
		})
	}
	clients.Wait()
	return r.Unexpected()
}

// client simulates one operator. One goroutine owns it.
type client struct {
	w   Workload
	r   *Recorder
	id  int
	rnd *rand.Rand
}

func (c *client) pause() {
	if c.w.Pause > 0 {
		time.Sleep(time.Duration(c.rnd.Int64N(int64(c.w.Pause))))
	}
}

func (c *client) acceptor() *accept.Acceptor { return c.w.Acceptors[c.rnd.IntN(len(c.w.Acceptors))] }

func (c *client) read(ctx context.Context, _ int) { c.r.ReadHead(ctx, c.id, c.acceptor()) }

// edit makes one edit based on the current section revision, or with a probability of 1/8
// on the one before. It sends the edit again with the same operation id after an unknown
// outcome, and with a probability of 1/8 after any other. With a probability of 1/8 it also
// sends it through another acceptor at the same time, and with 1/6 it cancels the edit
// after a random time, like an operator who disconnects.
func (c *client) edit(ctx context.Context, n int) {
	head, ok := c.r.ReadHead(ctx, c.id, c.acceptor())
	if !ok {
		return
	}
	i := c.rnd.IntN(c.w.Sections)
	base := head.Head.Sections[sectionName(i)].Revision
	if base > 1 && c.rnd.IntN(8) == 0 {
		base--
	}
	section, err := newSection(i, 1+c.id*1000+n)
	if err != nil {
		panic(err) // sections built by newSection are always valid
	}
	request := accept.EditRequest{OperationID: fmt.Sprintf("op-%d-%d", c.id, n), Team: team, Section: section, BaseRevision: base}
	if c.rnd.IntN(8) == 0 {
		other := c.acceptor()
		var both sync.WaitGroup
		both.Go(func() { c.r.Edit(ctx, -c.id, other, request) })
		defer both.Wait()
	}
	editCtx := ctx
	if c.w.Pause > 0 && c.rnd.IntN(6) == 0 {
		var cancel context.CancelFunc
		editCtx, cancel = context.WithTimeout(ctx, time.Duration(c.rnd.Int64N(int64(c.w.Pause))))
		defer cancel()
	}
	out := c.r.Edit(editCtx, c.id, c.acceptor(), request)
	if out.Outcome == Unknown || c.rnd.IntN(8) == 0 {
		c.pause()
		c.r.ReadOperation(ctx, c.id, c.acceptor(), request.OperationID)
		c.r.Edit(ctx, c.id, c.acceptor(), request)
	}
}
