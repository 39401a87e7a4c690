package accept

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"corianderwood.example/corianderwood/pkg/config"
)

// EditRequest asks for the replacement of one section.
type EditRequest struct {
	// OperationID is chosen by the operator. An edit with the same id is applied at
	// most once, however often and at whatever node it is asked for.
	OperationID string
	// Team is the team of the operator's certificate.
	Team    string
	Section config.Section
	// BaseRevision is the section revision that the edit starts from; 0 creates the section.
	BaseRevision uint64
}

// fingerprint identifies the content of a request, so that another request under the
// same operation id is noticed.
func (r EditRequest) fingerprint() (string, error) {
	body, err := config.EncodeSection(r.Section)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %s", r.Team, r.BaseRevision, body))
	return hex.EncodeToString(sum[:]), nil
}

// Result is the result of an accepted edit.
type Result struct {
	OperationID string
	// Revision is the document revision that the edit made.
	Revision uint64
	// SectionRevision is the revision of the section; the base of the next edit.
	SectionRevision uint64
	// Hash is the hash of the section body.
	Hash string
	// AckedBy lists who acknowledged the revision before the answer. If it is empty,
	// the revision is stored in the platform only.
	AckedBy []string
}
