package quota

// ShareReport is a report of a node that knows its share by itself, since the members change.
type ShareReport struct {
	_      struct{} `cbor:",toarray"`
	Report Report
	// Part is the sender's part of each limit that Report.Lease is about.
	Part float64
}
