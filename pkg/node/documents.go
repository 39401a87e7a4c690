package node

import (
	"fmt"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/gossip"
)

// documents builds configuration documents from revisions. It caches the parsed sections
// of the last revision. It is not safe for concurrent use; the goroutine of runApply
// owns it.
type documents struct {
	parsed map[string]config.Section // by hash
}

// build returns the document of a complete revision. It returns an error if a section
// body is missing or cannot be parsed.
func (d *documents) build(r gossip.Revision) (config.Document, error) {
	doc := config.Document{Revision: r.Head.Revision, Sections: make(map[string]config.Section, len(r.Head.Sections))}
	parsed := make(map[string]config.Section, len(r.Head.Sections))
	for name, ref := range r.Head.Sections {
		section, ok := d.parsed[ref.Hash]
		if !ok {
			body, held := r.Bodies[ref.Hash]
			if !held {
				return doc, fmt.Errorf("node: revision %d has no body for section %s", r.Head.Revision, name)
			}
			var err error
			if section, err = config.ParseBody(ref.Hash, body); err != nil {
				return doc, err
			}
		}
		parsed[ref.Hash] = section
		doc.Sections[name] = section
	}
	d.parsed = parsed
	return doc, nil
}
