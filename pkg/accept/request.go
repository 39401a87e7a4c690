package accept

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"corianderwood.example/corianderwood/pkg/config"
)

// EditRequest is a request to create or replace one section.
type EditRequest struct {
	// OperationID is chosen by the operator. An edit with the same id is applied at
	// most once, regardless of how often and at which nodes it is requested.
	OperationID string
	// Team is the team in the operator's certificate.
	Team    string
	Section config.Section
	// BaseRevision is the section revision on which the edit is based; 0 creates the
	// section.
	BaseRevision uint64
}

// fingerprint identifies the content of a request. It is used to detect another request
// with the same operation id.
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
	// Revision is the document revision that the edit created.
	Revision uint64
	// SectionRevision is the new revision of the section and the base of the next edit.
	SectionRevision uint64
	// Hash is the hash of the section body.
	Hash string
	// AckedBy lists the failure domains or instances that acknowledged the revision
	// before the response. If it is empty, only the platform is known to store it.
	AckedBy []string
}
