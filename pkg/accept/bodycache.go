package accept

import (
	"context"
	"sync"

	"corianderwood.example/corianderwood/pkg/config"
	"golang.org/x/sync/errgroup"
)

type cachedBody struct {
	body    []byte
	section config.Section
}

// bodyCache caches the section bodies of the most recently read head, by hash.
type bodyCache struct {
	mu      sync.Mutex // guards entries
	entries map[string]cachedBody
}

func (c *bodyCache) get(hash string) (cachedBody, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.entries[hash]
	return entry, ok
}

func (c *bodyCache) put(hash string, entry cachedBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[hash] = entry
}

// retainOnly evicts the bodies that the head does not reference.
func (c *bodyCache) retainOnly(h config.Head) {
	named := make(map[string]bool, len(h.Sections))
	for _, ref := range h.Sections {
		named[ref.Hash] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for hash := range c.entries {
		if !named[hash] {
			delete(c.entries, hash)
		}
	}
}

// body returns a section body from the cache, the node or the object store.
func (a *Acceptor) body(ctx context.Context, hash string) ([]byte, error) {
	entry, err := a.section(ctx, hash)
	return entry.body, err
}

func (a *Acceptor) section(ctx context.Context, hash string) (cachedBody, error) {
	if entry, ok := a.bodies.get(hash); ok {
		return entry, nil
	}
	body, section, ok := a.localBody(hash)
	if !ok {
		var err error
		if body, err = a.ReadBody(ctx, hash); err != nil {
			return cachedBody{}, err
		}
		if section, err = config.ParseBody(hash, body); err != nil {
			return cachedBody{}, err
		}
	}
	entry := cachedBody{body: body, section: section}
	a.bodies.put(hash, entry)
	return entry, nil
}

func (a *Acceptor) localBody(hash string) ([]byte, config.Section, bool) {
	if a.opts.LocalBody == nil {
		return nil, config.Section{}, false
	}
	body, ok := a.opts.LocalBody(hash)
	if !ok {
		return nil, config.Section{}, false
	}
	section, err := config.ParseBody(hash, body)
	return body, section, err == nil
}

// document assembles the document of a head.
func (a *Acceptor) document(ctx context.Context, h config.Head) (config.Document, error) {
	doc := config.Document{Revision: h.Revision, Sections: make(map[string]config.Section, len(h.Sections))}
	var mu sync.Mutex // guards doc.Sections while the group runs
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelBodyReads)
	for name, ref := range h.Sections {
		group.Go(func() error {
			entry, err := a.section(ctx, ref.Hash)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			doc.Sections[name] = entry.section
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return config.Document{}, err
	}
	a.bodies.retainOnly(h)
	return doc, nil
}
