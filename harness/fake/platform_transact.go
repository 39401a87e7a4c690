package fake

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"time"
)

var (
	errActions  = errors.New("a transaction has 1 to 100 actions")
	errAction   = errors.New("an action is a put, an update or a delete")
	errSameItem = errors.New("a transaction cannot include several actions on one item")
)

// transact applies all actions or none. A repeated ClientRequestToken is answered like
// the first time for 10 minutes and applies nothing.
func (p *Platform) transact(r *http.Request, in transactRequest, request [sha256.Size]byte) answer {
	now := time.Now()
	if earlier, ok := p.tokens[in.ClientRequestToken]; ok && in.ClientRequestToken != "" && now.Sub(earlier.at) < tokenLifetime {
		if earlier.request != request {
			return failure(r, http.StatusBadRequest, "IdempotentParameterMismatchException", "the token was used with other parameters")
		}
		return jsonAnswer(http.StatusOK, struct{}{})
	}
	writes, err := p.planTransaction(in)
	if err != nil {
		return invalid(r, err)
	}
	p.stats.Writes++
	reasons, canceled := make([]reason, len(writes)), false
	for i, w := range writes {
		reasons[i] = reason{Code: "None"}
		if !w.holds {
			reasons[i] = reason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			canceled = true
		}
	}
	if canceled {
		p.stats.Conflicts++
		return jsonAnswer(http.StatusBadRequest, struct {
			Type                string `json:"__type"`
			Message             string
			CancellationReasons []reason
		}{dynamoErrorPrefix + "TransactionCanceledException", "Transaction cancelled, please refer cancellation reasons for specific reasons", reasons})
	}
	for _, w := range writes {
		w.apply()
	}
	if in.ClientRequestToken != "" {
		p.tokens[in.ClientRequestToken] = tokenRecord{request: request, at: now}
	}
	return jsonAnswer(http.StatusOK, struct{}{})
}

func (p *Platform) planTransaction(in transactRequest) ([]plannedWrite, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return nil, errActions
	}
	type itemID struct {
		table *table
		key   itemKey
	}
	seen := map[itemID]bool{}
	var writes []plannedWrite
	for _, action := range in.TransactItems {
		var w plannedWrite
		var err error
		switch {
		case action.Put != nil:
			w, err = p.plan("PutItem", *action.Put)
		case action.Update != nil:
			w, err = p.plan("UpdateItem", *action.Update)
		case action.Delete != nil:
			w, err = p.plan("DeleteItem", *action.Delete)
		default:
			err = errAction
		}
		if err != nil {
			return nil, err
		}
		id := itemID{w.table, w.key}
		if seen[id] {
			return nil, errSameItem
		}
		seen[id] = true
		writes = append(writes, w)
	}
	return writes, nil
}
