package backend

import "net/http"

// framedBy is what tells where a response ends.
type framedBy string

const (
	// byHead means that the head is not whole.
	byHead   framedBy = "head"
	byLength framedBy = "length"
	byChunks framedBy = "chunks"
	// byEnd means the end of the connection.
	byEnd framedBy = "end"
)

func framingOf(res *http.Response) framedBy {
	switch {
	case len(res.TransferEncoding) > 0:
		return byChunks
	case res.ContentLength < 0:
		return byEnd
	default:
		return byLength
	}
}
