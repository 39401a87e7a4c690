package proxy

import "net/http"

// exchangeID is the header by which a response may name its exchange. A node repeats the
// number of the exchange on its connection, an upstream may repeat the call id. Neither is
// sent twice over one connection.
type exchangeID struct{ header, value string }

// isForeign reports whether a response names another exchange. A response that names none is
// accepted, because older nodes and most upstreams repeat nothing.
func (id exchangeID) isForeign(response http.Header) bool {
	named := response[id.header]
	return len(named) > 0 && named[0] != id.value
}
