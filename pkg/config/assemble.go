package config

import "fmt"

// AssembleDocument builds the document of a head from its section bodies, which body
// returns by hash. It returns an error if any body is missing, does not match its hash
// or is not a valid section, so that a revision is never applied partially.
func AssembleDocument(h Head, body func(hash string) ([]byte, bool)) (Document, error) {
	doc := Document{Revision: h.Revision, Sections: make(map[string]Section, len(h.Sections))}
	for name, ref := range h.Sections {
		data, ok := body(ref.Hash)
		if !ok {
			return Document{}, fmt.Errorf("config: revision %d: the body of section %s (hash %s) is missing", h.Revision, name, ref.Hash)
		}
		section, err := ParseBody(ref.Hash, data)
		if err != nil {
			return Document{}, fmt.Errorf("config: revision %d: section %s: %w", h.Revision, name, err)
		}
		doc.Sections[name] = section
	}
	return doc, nil
}

// ParseBody verifies the hash of a stored section body and parses it.
func ParseBody(hash string, data []byte) (Section, error) {
	if got := HashBody(data); got != hash {
		return Section{}, fmt.Errorf("config: the body has hash %s, want %s", got, hash)
	}
	return ParseSection(data)
}
