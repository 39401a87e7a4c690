package platform

// Row is one row of the table.
type Row struct {
	Key string
	// Revision is the number of writes of the row, starting at 1.
	Revision uint64
	Value    []byte
}
