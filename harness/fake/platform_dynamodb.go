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
	tokenLifetime       = 10 * time.Minute
)

// tokenRecord remembers a successful transaction under its ClientRequestToken.
type tokenRecord struct {
	request [sha256.Size]byte
	at      time.Time
}

// writeRequest is the body of PutItem, UpdateItem and DeleteItem and of the actions
// of TransactWriteItems.
type writeRequest struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeValues item
}

type readRequest struct {
	TableName                 string
	Key                       item
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

type transactRequest struct {
	ClientRequestToken string
	TransactItems      []struct{ Put, Update, Delete *writeRequest }
}

// reason is one entry of CancellationReasons.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func (p *Platform) serveDynamoDB(r *http.Request, body []byte) answer {
	if r.Header.Get("Authorization") == "" {
		return failure(r, http.StatusBadRequest, "MissingAuthenticationTokenException", "the request is not signed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch op := operation(r); op {
	case "GetItem", "Query":
		var in readRequest
		if err := decode(body, &in); err != nil {
			return invalid(r, err)
		}
		p.stats.Reads++
		if op == "Query" {
			return p.query(r, in)
		}
		return p.getItem(r, in)
	case "PutItem", "UpdateItem", "DeleteItem":
		var in writeRequest
		if err := decode(body, &in); err != nil {
			return invalid(r, err)
		}
		return p.writeItem(r, op, in)
	case "TransactWriteItems":
		var in transactRequest
		if err := decode(body, &in); err != nil {
			return invalid(r, err)
		}
		return p.transact(r, in, sha256.Sum256(body))
	default:
		return failure(r, http.StatusBadRequest, "UnknownOperationException", op+" is not supported")
	}
}

func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func invalid(r *http.Request, err error) answer {
	return failure(r, http.StatusBadRequest, "ValidationException", err.Error())
}

// table returns a table by name. Called with mu held, like all methods below.
func (p *Platform) table(name string) *table {
	if p.tables[name] == nil {
		p.tables[name] = &table{partitions: map[string]map[string]item{}}
	}
	return p.tables[name]
}

func (p *Platform) getItem(r *http.Request, in readRequest) answer {
	key, ok := keyOf(in.Key)
	if !ok {
		return invalid(r, errKey)
	}
	out := map[string]item{}
	if it := p.table(in.TableName).get(key); it != nil {
		out["Item"] = it
	}
	return jsonAnswer(http.StatusOK, out)
}

func (p *Platform) query(r *http.Request, in readRequest) answer {
	partition, prefix, err := keyCondition(in.KeyConditionExpression, in.ExpressionAttributeValues)
	if err != nil {
		return invalid(r, err)
	}
	start, _ := keyOf(in.ExclusiveStartKey) // the zero key starts at the first item
	items, more := p.table(in.TableName).query(partition, prefix, start.sort, in.Limit)
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: items, Count: len(items)}
	if more {
		last, _ := keyOf(items[len(items)-1]) // items of a table have a key
		out.LastEvaluatedKey = last.item()
	}
	return jsonAnswer(http.StatusOK, out)
}

var (
	errKey  = errors.New("the key attributes are missing or empty")
	errSize = errors.New("the item is larger than 400 KB")
)

// plannedWrite is a write whose condition has been evaluated.
type plannedWrite struct {
	table   *table
	key     itemKey
	holds   bool
	updated item // nil deletes
}

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
	if w.holds, err = conditionHolds(in.ConditionExpression, in.ExpressionAttributeValues, old); err != nil {
		return plannedWrite{}, err
	}
	switch op {
	case "PutItem":
		w.updated = in.Item
	case "UpdateItem":
		if w.updated, err = update(in.UpdateExpression, in.ExpressionAttributeValues, key, old); err != nil {
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

func (p *Platform) writeItem(r *http.Request, op string, in writeRequest) answer {
	w, err := p.plan(op, in)
	if err != nil {
		return invalid(r, err)
	}
	p.stats.Writes++
	if !w.holds {
		p.stats.Conflicts++
		return failure(r, http.StatusBadRequest, "ConditionalCheckFailedException", "the conditional request failed")
	}
	w.apply()
	return jsonAnswer(http.StatusOK, struct{}{})
}
