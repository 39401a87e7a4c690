package backend

import (
	"hash/maphash"
	"net/http"
	"strconv"

	"corianderwood.example/corianderwood/pkg/call"
)

// response is a response whose body has been read completely.
type response struct {
	*http.Response
	body []byte
}

func (r *response) isSuccess() bool { return r.StatusCode/100 == 2 }

// id returns the request id that the response bears, or an empty one unless it bears exactly one.
func (r *response) id(names call.Headers) string {
	if values := r.Header.Values(names.RequestID); len(values) == 1 {
		return values[0]
	}
	return ""
}

// digest returns a hash of what tells the response from those to other requests: its signature, which
// a second response to the same request bears as well, or else what it says. It is never 0.
func (r *response) digest(names call.Headers) uint64 {
	var h maphash.Hash
	h.SetSeed(idSeed)
	texts := []string{r.Header.Get(names.Signature)}
	if texts[0] == "" {
		texts = []string{strconv.Itoa(r.StatusCode), r.Header.Get(names.NotExecuted), string(r.body)}
	}
	for _, text := range texts {
		_, _ = h.WriteString(text + "\n") // returns no errors
	}
	return max(h.Sum64(), 1)
}
