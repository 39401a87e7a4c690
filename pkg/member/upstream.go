package member

// Upstream is the upstream that an instance announces. The zero value means that
// none is announced.
type Upstream struct {
	Service  string `cbor:"1,keyasint,omitempty"`
	Version  string `cbor:"2,keyasint,omitempty"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
	Slots    int    `cbor:"4,keyasint,omitempty"`
}
