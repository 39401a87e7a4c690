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

// digest returns a hash of what two responses have in common if one is the copy of the other. Headers that
// a server may set anew, such as its load, are left out. It is never 0.
func (r *response) digest(names call.Headers) uint64 {
	var h maphash.Hash
	h.SetSeed(idSeed)
	for _, text := range []string{strconv.Itoa(r.StatusCode), r.Header.Get(names.Signature), r.Header.Get(names.NotExecuted)} {
		_, _ = h.WriteString(text + "\n") // returns no errors
	}
	_, _ = h.Write(r.body)
	return max(h.Sum64(), 1)
}
