package fake

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"time"
)

var (
	errActionCount   = errors.New("a transaction has 1 to 100 actions")
	errActionKind    = errors.New("an action is a put, an update or a delete")
	errDuplicateItem = errors.New("a transaction cannot include several actions on one item")
)

// transact applies all actions or none. A request that repeats the ClientRequestToken of
// a successful transaction within tokenLifetime succeeds without applying anything; with
// a different body it fails. The caller holds mu.
func (p *Platform) transact(r *http.Request, in transactRequest, request [sha256.Size]byte) response {
	now := time.Now()
	if earlier, ok := p.tokens[in.ClientRequestToken]; ok && in.ClientRequestToken != "" && now.Sub(earlier.committedAt) < tokenLifetime {
		if earlier.request != request {
			return errorResponse(r, http.StatusBadRequest, "IdempotentParameterMismatchException", "the token was used with other parameters")
		}
		return jsonResponse(http.StatusOK, struct{}{})
	}
	writes, err := p.planTransaction(in)
	if err != nil {
		return validationError(r, err)
	}
	p.stats.Writes++
	reasons, canceled := make([]cancellationReason, len(writes)), false
	for i, w := range writes {
		reasons[i] = cancellationReason{Code: "None"}
		if !w.conditionMet {
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			canceled = true
		}
	}
	if canceled {
		p.stats.Conflicts++
		return jsonResponse(http.StatusBadRequest, struct {
			Type                string `json:"__type"`
			Message             string
			CancellationReasons []cancellationReason
		}{dynamoErrorPrefix + "TransactionCanceledException", "Transaction cancelled, please refer cancellation reasons for specific reasons", reasons})
	}
	for _, w := range writes {
		w.apply()
	}
	if in.ClientRequestToken != "" {
		p.tokens[in.ClientRequestToken] = tokenRecord{request: request, committedAt: now}
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

// planTransaction plans all actions of a transaction. It fails if their number is out of
// range, an action is invalid, or two actions are on the same item. The caller holds mu.
func (p *Platform) planTransaction(in transactRequest) ([]plannedWrite, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return nil, errActionCount
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
			err = errActionKind
		}
		if err != nil {
			return nil, err
		}
		id := itemID{w.table, w.key}
		if seen[id] {
			return nil, errDuplicateItem
		}
		seen[id] = true
		writes = append(writes, w)
	}
	return writes, nil
}
