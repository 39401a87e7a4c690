package framing

import "fmt"

// Interruption is the error of a response within which another one begins. Its rest is not known.
type Interruption struct {
	// At is the offset of the other response's status line in the response, in bytes.
	At int64
	// Status is the status code of the other response.
	Status int
	// Mark is the header by which the other response is known to be one, if there is one.
	Mark Mark
}

// Error implements error.
func (i *Interruption) Error() string {
	return fmt.Sprintf("another response, with status %d, begins after %d bytes of the response: "+
		"the server sent two at once, or broke off the first", i.Status, i.At)
}
