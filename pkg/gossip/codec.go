package gossip

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"corianderwood.example/corianderwood/pkg/config"
	"github.com/fxamacker/cbor/v2"
)

// encMode is the deterministic encoding; with it all nodes compute the same digest for
// equal heads.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode rejects malformed input from peers and bounds its size.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR form of a message.
func Encode(m Message) ([]byte, error) { return encMode.Marshal(m) }

// Decode parses the CBOR form of a message.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("gossip: malformed message; check that the peer runs a compatible version: %w", err)
	}
	if m.From.Instance == "" {
		return Message{}, fmt.Errorf("gossip: message has no sender instance; check that the peer runs a compatible version")
	}
	return m, nil
}

// HeadDigest is the SHA-256 of the canonical CBOR form of a head.
func HeadDigest(h config.Head) []byte {
	if h.Sections == nil {
		h.Sections = map[string]config.SectionRef{}
	}
	data, err := encMode.Marshal(h)
	if err != nil {
		panic(err) // plain strings and integers always encode
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// hashBody returns the hex SHA-256 of a section body, as in config.SectionRef.
func hashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
