package config

// SectionRef references the accepted body of one section.
type SectionRef struct {
	// Hash is the hex SHA-256 of the section body.
	Hash string `cbor:"1,keyasint"`
	// Revision is the number of accepted edits of the section, starting at 1.
	Revision uint64 `cbor:"2,keyasint"`
	// Team is the team that owns the section.
	Team string `cbor:"3,keyasint"`
}
