package config

// Head is the content of the head row, whose successive versions order all accepted
// revisions: the revision of the document and the hash of each section body.
type Head struct {
	Revision uint64                `cbor:"1,keyasint"`
	Sections map[string]SectionRef `cbor:"2,keyasint"`
}
