package gossip

// Kind returns the name of the message's most specific part, for metrics. The name of the
// messages about minimum revisions is "floor".
func (m *Message) Kind() string {
	switch {
	case m.FullState != nil:
		return "full"
	case m.Join != nil:
		return "join"
	case m.Refusal != nil:
		return "refusal"
	case m.Delta != nil:
		return "delta"
	case m.Bodies != nil:
		return "bodies"
	case m.Fetch != nil:
		return "fetch"
	case m.Held != nil:
		return "held"
	case m.MinRevisionPut != nil, m.MinRevisionStored != nil, m.MinRevisionQuery != nil, m.MinRevisionReply != nil:
		return "floor"
	case m.Evidence != nil:
		return "evidence"
	case m.Sync != nil, m.Buckets != nil:
		return "sync"
	case m.Digest != nil:
		return "digest"
	case m.Ping != nil, m.PingRequest != nil:
		return "ping"
	case m.Ack != nil:
		return "ack"
	default:
		return "announce"
	}
}
