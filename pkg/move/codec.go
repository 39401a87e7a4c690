package move

import "github.com/fxamacker/cbor/v2"

// encoding is deterministic: equal values have equal encodings.
var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding rejects duplicate keys and bounds nesting depth and lengths.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1024,
		MaxMapPairs:      1024,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeReport returns the CBOR encoding of a report.
func EncodeReport(p Report) ([]byte, error) {
	return encoding.Marshal(p)
}

// DecodeReport decodes and validates a report of at most 256 KB. Its errors match
// ErrReport.
func DecodeReport(data []byte) (Report, error) {
	if len(data) > maxReportBytes {
		return Report{}, reportError("is larger than the limit of %d bytes", maxReportBytes)
	}
	var p Report
	if err := decoding.Unmarshal(data, &p); err != nil {
		return Report{}, reportError("is not valid CBOR: %v", err)
	}
	return p, p.Check()
}
