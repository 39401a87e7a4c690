package aws

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// Table implements platform.Table on a DynamoDB table.
type Table struct {
	name   string
	client *dynamodb.Client
}

var _ platform.Table = (*Table)(nil)

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	r := requestTracker{operation: "GetItem"}
	item, err := itemKey(key)
	if err != nil {
		return platform.Row{}, false, r.readError(err)
	}
	defer observe(r.operation, time.Now())
	out, err := t.client.GetItem(r.withTrace(ctx), &dynamodb.GetItemInput{
		TableName: &t.name, Key: item, ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return platform.Row{}, false, r.readError(err)
	}
	if len(out.Item) == 0 {
		return platform.Row{}, false, nil
	}
	row, err := rowOf(out.Item)
	return row, err == nil, r.readError(err)
}

// Query implements platform.Table. The prefix must contain a '/', and only keys are
// found whose last '/' is the last '/' of the prefix.
func (t *Table) Query(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	r := requestTracker{operation: "Query"}
	partition, sort := splitKey(prefix)
	if partition == rootPartition || partition == "" {
		return nil, r.readError(fmt.Errorf("aws: the query prefix %q has no '/' after a partition name", prefix))
	}
	if limit <= 0 {
		return nil, nil
	}
	in := &dynamodb.QueryInput{
		TableName: &t.name, ConsistentRead: aws.Bool(true),
		KeyConditionExpression:    aws.String(partitionAttribute + " = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": &types.AttributeValueMemberS{Value: partition}},
	}
	if sort != "" {
		in.KeyConditionExpression = aws.String(partitionAttribute + " = :p AND begins_with(" + sortAttribute + ", :s)")
		in.ExpressionAttributeValues[":s"] = &types.AttributeValueMemberS{Value: sort}
	}
	var rows []platform.Row
	for {
		in.Limit = aws.Int32(int32(min(limit-len(rows), 1<<30)))
		page, err := t.queryPage(ctx, &r, in)
		if err != nil {
			return nil, r.readError(err)
		}
		for _, item := range page.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, r.readError(err)
			}
			rows = append(rows, row)
		}
		if len(rows) >= limit || len(page.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		in.ExclusiveStartKey = page.LastEvaluatedKey
	}
}

func (t *Table) queryPage(ctx context.Context, r *requestTracker, in *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	defer observe(r.operation, time.Now())
	return t.client.Query(r.withTrace(ctx), in)
}

// Transact implements platform.Table. A single write is sent without a transaction, at
// half the cost.
func (t *Table) Transact(ctx context.Context, writes []platform.Write) error {
	if len(writes) == 1 {
		return t.writeOne(ctx, writes[0])
	}
	r := requestTracker{operation: "TransactWriteItems"}
	if len(writes) == 0 || len(writes) > maxTransactionWrites {
		return r.writeError(fmt.Errorf("aws: a transaction has 1 to %d writes, not %d", maxTransactionWrites, len(writes)))
	}
	// The token is unique for each call. If a lower layer sends the request twice,
	// DynamoDB executes it once and returns the same response, while an equal
	// transaction of another caller is executed separately.
	in := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(rand.Text())}
	for _, w := range writes {
		action, err := t.transactItem(w)
		if err != nil {
			return r.writeError(err)
		}
		in.TransactItems = append(in.TransactItems, action)
	}
	defer observe(r.operation, time.Now())
	_, err := t.client.TransactWriteItems(r.withTrace(ctx), in)
	return r.writeError(err)
}
