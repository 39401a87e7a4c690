package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// storedHead is the encoding of a head in the head row. Every node reads the row every
// few seconds, so hashes are stored as 32 bytes instead of 64 hex digits.
type storedHead struct {
	Revision uint64               `cbor:"1,keyasint"`
	Sections map[string]storedRef `cbor:"2,keyasint"`
}

type storedRef struct {
	_        struct{} `cbor:",toarray"`
	Hash     []byte
	Revision uint64
	Team     string
}

// headEncoding sorts map keys, so that equal heads have equal encodings.
var headEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeHead returns the deterministic CBOR encoding of a head for the head row.
func EncodeHead(h Head) ([]byte, error) {
	stored := storedHead{Revision: h.Revision, Sections: make(map[string]storedRef, len(h.Sections))}
	for name, ref := range h.Sections {
		hash, err := hex.DecodeString(ref.Hash)
		if err != nil || len(hash) != sha256.Size {
			return nil, fmt.Errorf("config: encoding head %d: section %s: %q is not a hex SHA-256", h.Revision, name, ref.Hash)
		}
		stored.Sections[name] = storedRef{Hash: hash, Revision: ref.Revision, Team: ref.Team}
	}
	data, err := headEncoding.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("config: encoding head %d: %w", h.Revision, err)
	}
	return data, nil
}

// DecodeHead decodes the CBOR encoding of a head.
func DecodeHead(data []byte) (Head, error) {
	var stored storedHead
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return Head{}, fmt.Errorf("config: decoding head: %w", err)
	}
	h := Head{Revision: stored.Revision, Sections: make(map[string]SectionRef, len(stored.Sections))}
	for name, ref := range stored.Sections {
		if len(ref.Hash) != sha256.Size {
			return Head{}, fmt.Errorf("config: decoding head %d: the hash of section %s has %d bytes", h.Revision, name, len(ref.Hash))
		}
		h.Sections[name] = SectionRef{Hash: hex.EncodeToString(ref.Hash), Revision: ref.Revision, Team: ref.Team}
	}
	return h, nil
}
