package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/platform/memory"
	"corianderwood.example/corianderwood/pkg/snapshot"
)

const (
	configSections        = 98      // services of the design size, one for each section
	configBodyBytes       = 4 << 10 // body of one section
	configEdits           = 200
	configConcurrentEdits = 16
	configLookups         = 1 << 20
	configAllocRuns       = 1000
)

// ConfigSuite measures the transferred bytes and platform requests of edits, and the cost
// of a route lookup, for a document of 98 sections of 4 KB.
func ConfigSuite() Suite { return Suite{Name: "config", Run: runConfig} }

func runConfig(ctx context.Context) ([]Row, error) {
	b, err := newConfigBench(ctx)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, part := range []func(ctx context.Context) ([]Row, error){b.editBytes, b.editRequests, b.concurrentEdits, b.routeLookups} {
		got, err := part(ctx)
		rows = append(rows, got...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// configBench is an in-memory platform with a document of the design size.
type configBench struct {
	table    *memory.Table
	objects  *memory.ObjectStore
	acceptor *accept.Acceptor
	edits    int
	// sections holds each section as created.
	sections []config.Section
	// cachedBodies are the bodies, by hash, that every node has read before the
	// concurrent edits.
	cachedBodies map[string][]byte
}

func newConfigBench(ctx context.Context) (*configBench, error) {
	b := &configBench{table: memory.NewTable(1), objects: memory.NewObjectStore(1)}
	b.acceptor = accept.New(b.table, b.objects, accept.Options{})
	for i := range configSections {
		s, err := configSection(i)
		if err != nil {
			return nil, err
		}
		b.sections = append(b.sections, s)
		request := accept.EditRequest{OperationID: fmt.Sprintf("create-%d", i), Team: config.AdminTeam, Section: s}
		if _, err := b.acceptor.Edit(ctx, request); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// configSection returns a section with one service and as many routes as fit into
// configBodyBytes.
func configSection(i int) (config.Section, error) {
	name := fmt.Sprintf("service-%02d", i)
	s, err := config.ParseSection(fmt.Appendf(nil, `{"name":%q,"team":"team-%02d","services":[{"name":%q,"version":"v1","timeout_ms":1000}]}`, name, i, name))
	if err != nil {
		return config.Section{}, err
	}
	for n := 0; ; n++ {
		next := config.CloneSection(s)
		next.Routes = append(next.Routes, config.Route{Name: fmt.Sprintf("%s-route-%02d", name, n), PathPrefix: fmt.Sprintf("/%s/resource-%02d/items", name, n),
			Methods: []string{"GET", "PUT"}, Service: name, Repeatable: config.RepeatByMethod})
		body, err := config.EncodeSection(next)
		if err != nil {
			return config.Section{}, err
		}
		if len(body) > configBodyBytes {
			return s, nil
		}
		s = next
	}
}

// editedSection returns section i with the given timeout in milliseconds.
func (b *configBench) editedSection(i, timeoutMS int) config.Section {
	s := config.CloneSection(b.sections[i])
	s.Services[0].TimeoutMS = timeoutMS
	return s
}

// nextEdit returns the next edit. Successive edits change the sections round-robin.
func (b *configBench) nextEdit() accept.EditRequest {
	s := b.editedSection(b.edits%configSections, 2000+b.edits)
	request := accept.EditRequest{OperationID: fmt.Sprintf("edit-%d", b.edits), Team: s.Team, Section: s, BaseRevision: uint64(1 + b.edits/configSections)}
	b.edits++
	return request
}

func (b *configBench) edit(ctx context.Context) error {
	_, err := b.acceptor.Edit(ctx, b.nextEdit())
	return err
}

// editBytes compares the bytes that a node reads after each edit if it fetches only the
// changed section with those of fetching the whole document.
func (b *configBench) editBytes(ctx context.Context) ([]Row, error) {
	held, bodies, sectionBytes, documentBytes, headBytes := map[string]bool{}, 0, 0, 0, 0
	if err := b.fetchMissing(ctx, held, func(body []byte) {}); err != nil {
		return nil, err
	}
	for range configEdits {
		if err := b.edit(ctx); err != nil {
			return nil, err
		}
		before := b.table.Counters().ReadBytes
		err := b.fetchMissing(ctx, held, func(body []byte) {
			bodies++
			sectionBytes += len(body)
		})
		if err != nil {
			return nil, err
		}
		headBytes += b.table.Counters().ReadBytes - before
		// The alternative fetches the whole document: all bodies of the head.
		if err := b.fetchMissing(ctx, map[string]bool{}, func(body []byte) { documentBytes += len(body) }); err != nil {
			return nil, err
		}
	}
	per := func(n int) float64 { return float64(n) / configEdits }
	return []Row{
		AtMost("config-bodies-fetched-per-edit", per(bodies), "bodies", 1),
		Unbounded("config-body-bytes-per-edit", per(sectionBytes), "B"),
		Unbounded("config-head-bytes-per-read", per(headBytes), "B"),
		Unbounded("config-full-document-bytes-per-edit", per(documentBytes), "B"),
		// Only the changed one of 98 sections may be fetched: 1/98, with 1% for unequal sizes.
		AtMost("config-section-to-document-bytes", float64(sectionBytes)/float64(documentBytes), "ratio", 1.01/configSections),
		Unbounded("config-section-and-head-to-document-bytes", float64(sectionBytes+headBytes)/float64(documentBytes), "ratio"),
	}, nil
}

// fetchMissing reads the head and those of its bodies whose hashes are not in held. It
// adds these to held and calls fetched for each.
func (b *configBench) fetchMissing(ctx context.Context, held map[string]bool, fetched func(body []byte)) error {
	head, _, err := b.acceptor.ReadHead(ctx)
	if err != nil {
		return err
	}
	for _, ref := range head.Sections {
		if held[ref.Hash] {
			continue
		}
		body, err := b.acceptor.ReadBody(ctx, ref.Hash)
		if err != nil {
			return err
		}
		held[ref.Hash] = true
		fetched(body)
	}
	return nil
}

// platformRequests returns the requests and written bytes of the table and the object
// store so far.
func (b *configBench) platformRequests() (writes, reads, bytes int) {
	t, o := b.table.Counters(), b.objects.Counters()
	return t.Writes + o.Writes, t.Reads + o.Reads, t.WrittenBytes + o.WrittenBytes
}

// editRequests counts the platform requests of edits made one at a time.
func (b *configBench) editRequests(ctx context.Context) ([]Row, error) {
	requests := make([]accept.EditRequest, configEdits)
	for i := range requests {
		requests[i] = b.nextEdit()
	}
	writes, reads, bytes := b.platformRequests()
	start := time.Now()
	for _, request := range requests {
		if _, err := b.acceptor.Edit(ctx, request); err != nil {
			return nil, err
		}
	}
	took := time.Since(start)
	writes2, reads2, bytes2 := b.platformRequests()
	return []Row{
		// One body and one transaction (design 6.2).
		AtMost("config-platform-writes-per-edit", float64(writes2-writes)/configEdits, "writes", 2),
		Unbounded("config-platform-reads-per-edit", float64(reads2-reads)/configEdits, "reads"),
		Unbounded("config-platform-written-per-edit", float64(bytes2-bytes)/configEdits, "B"),
		Unbounded("config-edit-duration-without-platform", float64(took.Microseconds())/configEdits, "us"),
	}, nil
}

// concurrentEdits counts the platform requests of 16 operators who edit different sections
// concurrently, each at its own node. Each request to the table takes 5 ms.
func (b *configBench) concurrentEdits(ctx context.Context) ([]Row, error) {
	b.table.SetFaults(memory.Faults{Delay: 5 * time.Millisecond})
	defer b.table.SetFaults(memory.Faults{})
	head, _, err := b.acceptor.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	b.cachedBodies = map[string][]byte{}
	for _, ref := range head.Sections {
		if b.cachedBodies[ref.Hash], err = b.acceptor.ReadBody(ctx, ref.Hash); err != nil {
			return nil, err
		}
	}
	writes, reads, _ := b.platformRequests()
	results := make(chan error, configConcurrentEdits)
	for i := range configConcurrentEdits {
		node := accept.New(b.table, b.objects, accept.Options{LocalBody: b.cachedBody, Random: rand.New(rand.NewPCG(1, uint64(i)))})
		go func() {
			s := b.editedSection(i, 9000)
			_, err := node.Edit(ctx, accept.EditRequest{OperationID: fmt.Sprintf("race-%d", i), Team: s.Team, Section: s, BaseRevision: head.Sections[s.Name].Revision})
			results <- err
		}()
	}
	for range configConcurrentEdits {
		err = errors.Join(err, <-results)
	}
	writes2, reads2, _ := b.platformRequests()
	return []Row{
		Unbounded("config-platform-writes-per-racing-edit", float64(writes2-writes)/configConcurrentEdits, "writes"),
		Unbounded("config-platform-reads-per-racing-edit", float64(reads2-reads)/configConcurrentEdits, "reads"),
	}, err
}

// cachedBody returns a body that every node has read before the concurrent edits.
func (b *configBench) cachedBody(hash string) ([]byte, bool) {
	body, ok := b.cachedBodies[hash]
	return body, ok
}

// routeLookups measures the parsing of the document, the build of its snapshot and the
// lookup of a route.
func (b *configBench) routeLookups(ctx context.Context) ([]Row, error) {
	head, _, err := b.acceptor.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	bodies := map[string][]byte{}
	for _, ref := range head.Sections {
		if bodies[ref.Hash], err = b.acceptor.ReadBody(ctx, ref.Hash); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	doc, err := config.AssembleDocument(head, func(hash string) ([]byte, bool) { return bodies[hash], true })
	if err != nil {
		return nil, err
	}
	parsed := time.Since(start)
	start = time.Now()
	s, err := snapshot.New(doc)
	if err != nil {
		return nil, err
	}
	built := time.Since(start)
	paths := make([]string, 256)
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range paths {
		paths[i] = fmt.Sprintf("/service-%02d/resource-%02d/items/%d", rnd.IntN(configSections), rnd.IntN(8), i)
	}
	missed := 0
	start = time.Now()
	for i := range configLookups {
		if _, ok := s.Route("mesh.example:8080", paths[i%len(paths)], "GET"); !ok {
			missed++
		}
	}
	took := time.Since(start)
	if missed > 0 {
		return nil, fmt.Errorf("%d of %d route lookups found no route", missed, configLookups)
	}
	allocs := testing.AllocsPerRun(configAllocRuns, func() { _, _ = s.Route("mesh.example:8080", paths[0], "GET") })
	return []Row{
		Unbounded("config-document-parse", float64(parsed.Microseconds()), "us"),
		Unbounded("config-snapshot-build", float64(built.Microseconds()), "us"),
		Unbounded("config-route-lookup", float64(took.Nanoseconds())/configLookups, "ns"),
		AtMost("config-route-lookup-allocations", allocs, "allocs", 0),
	}, nil
}
