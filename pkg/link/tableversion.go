package link

// TableRequest asks a peer up to which version its copy of the operator's table is complete. Number
// identifies the question. Nodes of earlier versions do not answer.
type TableRequest struct {
	Number uint64 `cbor:"1,keyasint"`
}

// TableVersion is the response to TableRequest.
type TableVersion struct {
	Number  uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// TableHandler is implemented by handlers that answer TableRequest frames and take the answers.
type TableHandler interface {
	// TableRequest receives a question of the peer, TableVersion the answer to one of this node.
	TableRequest(l *Link, r TableRequest)
	TableVersion(l *Link, v TableVersion)
}

func (l *Link) handleTable(kind Kind, body []byte) error {
	handler, ok := l.handler.(TableHandler)
	switch {
	case !ok:
		return nil
	case kind == KindTableRequest:
		return decode(body, func(r TableRequest) { handler.TableRequest(l, r) })
	default:
		return decode(body, func(v TableVersion) { handler.TableVersion(l, v) })
	}
}
