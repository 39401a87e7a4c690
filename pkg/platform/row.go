package platform

// Row is one row of the table.
type Row struct {
	Key string
	// Revision is the number of writes of the row since it was created, starting at 1.
	Revision uint64
	Value    []byte
}
