package rowcache

// Row is one row of a table of the store, or the tombstone of a deleted one.
type Row struct {
	Table string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
	// Version is the value of the store's version counter at the row's last change.
	Version uint64 `cbor:"4,keyasint"`
	Deleted bool   `cbor:"5,keyasint,omitempty"`
}
