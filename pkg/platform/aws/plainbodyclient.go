package aws

import (
	"io"
	"net/http"
)

// plainBodyClient sends requests whose bodies have no WriteTo method. The SDK closes a body when the head of
// the response has arrived, and WriteTo of its closed bodies returns io.EOF as an error. net/http calls
// WriteTo, if there is one, to see that nothing follows a body that it has sent. If the SDK closes the body
// before that, net/http takes the io.EOF for a failed write and closes the connection while the response is read.
type plainBodyClient struct{ client *http.Client }

// Do implements the HTTPClient interface of the SDK.
func (c plainBodyClient) Do(req *http.Request) (*http.Response, error) {
	if _, ok := req.Body.(io.WriterTo); ok && req.Body != http.NoBody {
		req = req.WithContext(req.Context()) // a shallow copy; the caller keeps its body
		req.Body = plainBody{req.Body}
	}
	return c.client.Do(req)
}

// plainBody hides all methods of a body except for Read and Close.
type plainBody struct{ io.ReadCloser }
