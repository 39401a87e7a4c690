package accept

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// HeadKey is the table key of the head row.
const HeadKey = "head"

// OperationKey returns the table key of an operation record.
func OperationKey(id string) string { return "op/" + id }

// SectionKey returns the object key of a section body.
func SectionKey(hash string) string { return "sections/" + hash }

// operationRecord is the value of the row `op/<operation id>`. It is written once, in
// the transaction that replaces the head.
type operationRecord struct {
	Revision        uint64 `cbor:"1,keyasint"`
	Section         string `cbor:"2,keyasint"`
	SectionRevision uint64 `cbor:"3,keyasint"`
	Hash            string `cbor:"4,keyasint"`
	Fingerprint     string `cbor:"5,keyasint"`
	Team            string `cbor:"6,keyasint"`
	AcceptedUnixMS  int64  `cbor:"7,keyasint"`
}

func (o operationRecord) result(id string) Result {
	return Result{OperationID: id, Revision: o.Revision, SectionRevision: o.SectionRevision, Hash: o.Hash}
}

func decodeOperation(id string, data []byte) (operationRecord, error) {
	var o operationRecord
	if err := cbor.Unmarshal(data, &o); err != nil {
		return operationRecord{}, fmt.Errorf("accept: decoding the record of operation %s: %w", id, err)
	}
	return o, nil
}
