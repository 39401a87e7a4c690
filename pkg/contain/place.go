package contain

// Place tells what ended because of a panic. It is the value of a metric label.
type Place string

// Places.
const (
	ClientRequest    Place = "client-request"    // one request of a client
	ClientConnection Place = "client-connection" // one connection of a client
	ServerRequest    Place = "server-request"    // one request at the local server
	PeerRequest      Place = "peer-request"      // one request of a peer
	Link             Place = "link"              // one link to a peer
	Row              Place = "row"               // the processing of one row or list of rows
	StoreCall        Place = "store-call"        // one call of the store
	StatusRequest    Place = "status-request"    // one request for the status of a node
	PeerMessage      Place = "peer-message"      // one message of a peer
)
