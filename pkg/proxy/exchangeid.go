package proxy

import "net/http"

// exchangeID is the header by which a response may name its exchange. A node repeats the
// number of the exchange on its connection, an upstream may repeat the call id. Neither is
// sent twice over one connection.
type exchangeID struct{ header, value string }

// isForeign reports whether a response names another exchange. A response that names none is
// accepted, because older nodes and most upstreams repeat nothing.
func (id exchangeID) isForeign(response http.Header) bool {
	return id.isNamed(response) && response[id.header][0] != id.value
}

// isNamed reports whether a response names an exchange.
func (id exchangeID) isNamed(response http.Header) bool { return len(response[id.header]) > 0 }
