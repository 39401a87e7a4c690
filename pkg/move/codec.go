package move

import "github.com/fxamacker/cbor/v2"

// encoding writes the same bytes for equal values.
var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding refuses duplicate keys and bounds nesting and lengths.
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

// EncodeReport returns the CBOR form of a part.
func EncodeReport(p Report) ([]byte, error) {
	return encoding.Marshal(p)
}

// DecodeReport parses and checks a part of at most 256 KB.
func DecodeReport(data []byte) (Report, error) {
	if len(data) > maxPartBytes {
		return Report{}, partError("is larger than %d bytes", maxPartBytes)
	}
	var p Report
	if err := decoding.Unmarshal(data, &p); err != nil {
		return Report{}, partError("is not valid CBOR: %v", err)
	}
	return p, p.Check()
}
