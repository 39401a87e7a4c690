package ledger

// storedResponses is the queue of stored responses, oldest first. The ledger's mutex
// guards it.
type storedResponses struct {
	queue []storedResponse
	bytes int
}

type storedResponse struct {
	id   CallID
	size int
}

func (k *storedResponses) push(id CallID, size int) {
	k.queue = append(k.queue, storedResponse{id, size})
	k.bytes += size
}

func (k *storedResponses) pop() CallID {
	first := k.queue[0]
	k.queue = k.queue[1:]
	k.bytes -= first.size
	return first.id
}

// trim removes the responses whose entries have been removed.
func (k *storedResponses) trim(entries map[CallID]*entry) {
	rest := k.queue[:0]
	for _, a := range k.queue {
		if e, ok := entries[a.id]; ok && e.response != nil {
			rest = append(rest, a)
			continue
		}
		k.bytes -= a.size
	}
	k.queue = rest
}
