package fake

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// Limits of DynamoDB.
const (
	maxItemBytes        = 400 << 10
	maxTransactionItems = 100
	// tokenLifetime is how long a ClientRequestToken makes a transaction idempotent.
	tokenLifetime = 10 * time.Minute
)

// tokenRecord records a successful transaction under its ClientRequestToken. request is
// the SHA-256 of the request body.
type tokenRecord struct {
	request     [sha256.Size]byte
	committedAt time.Time
}

// writeRequest is the body of PutItem, UpdateItem and DeleteItem, and one action of
// TransactWriteItems.
type writeRequest struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeValues item
}

// readRequest is the body of GetItem and Query.
type readRequest struct {
	TableName                 string
	Key                       item
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

// transactRequest is the body of TransactWriteItems.
type transactRequest struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, Update, Delete *writeRequest }
}

// cancellationReason is one entry of the CancellationReasons of a canceled transaction.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

func (p *Platform) serveDynamoDB(r *http.Request, body []byte) response {
	if r.Header.Get("Authorization") == "" {
		return errorResponse(r, http.StatusBadRequest, "MissingAuthenticationTokenException", "the request is not signed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch op := operation(r); op {
	case "GetItem", "Query":
		var in readRequest
		if err := decode(body, &in); err != nil {
			return validationError(r, err)
		}
		p.stats.Reads++
		if op == "Query" {
			return p.query(r, in)
		}
		return p.getItem(r, in)
	case "PutItem", "UpdateItem", "DeleteItem":
		var in writeRequest
		if err := decode(body, &in); err != nil {
			return validationError(r, err)
		}
		return p.writeItem(r, op, in)
	case "TransactWriteItems":
		var in transactRequest
		if err := decode(body, &in); err != nil {
			return validationError(r, err)
		}
		return p.transact(r, in, sha256.Sum256(body))
	default:
		return errorResponse(r, http.StatusBadRequest, "UnknownOperationException", op+" is not supported")
	}
}

func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func validationError(r *http.Request, err error) response {
	return errorResponse(r, http.StatusBadRequest, "ValidationException", err.Error())
}

// table returns the table with the given name and creates it if it does not exist.
// The caller of this method and of getItem, query, plan, writeItem and transact holds mu.
func (p *Platform) table(name string) *table {
	if p.tables[name] == nil {
		p.tables[name] = &table{partitions: map[string]map[string]item{}}
	}
	return p.tables[name]
}

func (p *Platform) getItem(r *http.Request, in readRequest) response {
	key, ok := keyOf(in.Key)
	if !ok {
		return validationError(r, errKey)
	}
	out := map[string]item{}
	if it := p.table(in.TableName).get(key); it != nil {
		out["Item"] = it
	}
	return jsonResponse(http.StatusOK, out)
}

func (p *Platform) query(r *http.Request, in readRequest) response {
	partition, prefix, err := parseKeyCondition(in.KeyConditionExpression, in.ExpressionAttributeValues)
	if err != nil {
		return validationError(r, err)
	}
	start, _ := keyOf(in.ExclusiveStartKey) // without a start key, the zero key sorts before all items
	items, more := p.table(in.TableName).query(partition, prefix, start.sort, in.Limit)
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: items, Count: len(items)}
	if more {
		last, _ := keyOf(items[len(items)-1]) // stored items always have a key
		out.LastEvaluatedKey = last.item()
	}
	return jsonResponse(http.StatusOK, out)
}

var (
	errKey  = errors.New("the key attributes are missing or empty")
	errSize = errors.New("the item is larger than 400 KB")
)

// plannedWrite is a validated write whose condition has been evaluated and which has not
// been applied yet.
type plannedWrite struct {
	table        *table
	key          itemKey
	conditionMet bool
	updated      item // nil deletes the item
}

// plan validates a write and evaluates its condition without changing the table. An unmet
// condition is reported in the result; an error means that the request is invalid.
func (p *Platform) plan(op string, in writeRequest) (plannedWrite, error) {
	source := in.Key
	if op == "PutItem" {
		source = in.Item
	}
	key, ok := keyOf(source)
	if !ok {
		return plannedWrite{}, errKey
	}
	w := plannedWrite{table: p.table(in.TableName), key: key}
	old := w.table.get(key)
	var err error
	if w.conditionMet, err = evaluateCondition(in.ConditionExpression, in.ExpressionAttributeValues, old); err != nil {
		return plannedWrite{}, err
	}
	switch op {
	case "PutItem":
		w.updated = in.Item
	case "UpdateItem":
		if w.updated, err = applyUpdate(in.UpdateExpression, in.ExpressionAttributeValues, key, old); err != nil {
			return plannedWrite{}, err
		}
	}
	if w.updated.size() > maxItemBytes {
		return plannedWrite{}, errSize
	}
	return w, nil
}

func (w plannedWrite) apply() {
	if w.updated == nil {
		w.table.remove(w.key)
		return
	}
	w.table.put(w.key, w.updated)
}

func (p *Platform) writeItem(r *http.Request, op string, in writeRequest) response {
	w, err := p.plan(op, in)
	if err != nil {
		return validationError(r, err)
	}
	p.stats.Writes++
	if !w.conditionMet {
		p.stats.Conflicts++
		return errorResponse(r, http.StatusBadRequest, "ConditionalCheckFailedException", "the conditional request failed")
	}
	w.apply()
	return jsonResponse(http.StatusOK, struct{}{})
}
