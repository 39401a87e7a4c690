package aws

import (
	"context"
	"maps"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// Expressions of the writes.
const (
	absentCondition   = "attribute_not_exists(" + partitionAttribute + ")"
	revisionCondition = revisionAttribute + " = :r"
	// replaceUpdate replaces the value unconditionally and increments the revision.
	replaceUpdate = "SET " + valueAttribute + " = :v ADD " + revisionAttribute + " :one"
)

// condition returns the condition expression of a write and its values, both nil if the
// write is unconditional.
func condition(w platform.Write) (*string, map[string]types.AttributeValue) {
	switch w.Condition {
	case platform.IfAbsent:
		return aws.String(absentCondition), nil
	case platform.IfRevision:
		return aws.String(revisionCondition), map[string]types.AttributeValue{":r": number(w.Revision)}
	default:
		return nil, nil
	}
}

// newItem returns the item that a conditional put writes.
func newItem(key map[string]types.AttributeValue, w platform.Write) map[string]types.AttributeValue {
	item := maps.Clone(key)
	revision := uint64(1)
	if w.Condition == platform.IfRevision {
		revision = w.Revision + 1
	}
	item[revisionAttribute] = number(revision)
	item[valueAttribute] = binary(w.Value)
	return item
}

func updateValues(w platform.Write) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{":v": binary(w.Value), ":one": number(1)}
}

func (t *Table) transactItem(w platform.Write) (types.TransactWriteItem, error) {
	key, err := itemKey(w.Key)
	if err != nil {
		return types.TransactWriteItem{}, err
	}
	expression, values := condition(w)
	switch {
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.name, Key: key, ConditionExpression: expression, ExpressionAttributeValues: values,
		}}, nil
	case expression == nil:
		return types.TransactWriteItem{Update: &types.Update{
			TableName: &t.name, Key: key, UpdateExpression: aws.String(replaceUpdate), ExpressionAttributeValues: updateValues(w),
		}}, nil
	default:
		return types.TransactWriteItem{Put: &types.Put{
			TableName: &t.name, Item: newItem(key, w), ConditionExpression: expression, ExpressionAttributeValues: values,
		}}, nil
	}
}

// writeOne sends a single write without a transaction.
func (t *Table) writeOne(ctx context.Context, w platform.Write) error {
	r := requestTracker{operation: "PutItem"}
	key, err := itemKey(w.Key)
	if err != nil {
		return r.writeError(err)
	}
	expression, values := condition(w)
	switch {
	case w.Delete:
		r.operation = "DeleteItem"
		defer observe(r.operation, time.Now())
		_, err = t.client.DeleteItem(r.withTrace(ctx), &dynamodb.DeleteItemInput{
			TableName: &t.name, Key: key, ConditionExpression: expression, ExpressionAttributeValues: values,
		})
	case expression == nil:
		r.operation = "UpdateItem"
		defer observe(r.operation, time.Now())
		_, err = t.client.UpdateItem(r.withTrace(ctx), &dynamodb.UpdateItemInput{
			TableName: &t.name, Key: key, UpdateExpression: aws.String(replaceUpdate), ExpressionAttributeValues: updateValues(w),
		})
	default:
		defer observe(r.operation, time.Now())
		_, err = t.client.PutItem(r.withTrace(ctx), &dynamodb.PutItemInput{
			TableName: &t.name, Item: newItem(key, w), ConditionExpression: expression, ExpressionAttributeValues: values,
		})
	}
	return r.writeError(err)
}
