package aws

import (
	"fmt"
	"strconv"
	"strings"

	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// Attributes of an item. None is a reserved word in DynamoDB expressions.
const (
	partitionAttribute = "pk" // string
	sortAttribute      = "sk" // string
	revisionAttribute  = "rv" // number
	valueAttribute     = "vl" // binary
)

// splitKey splits a row key or prefix at its last '/'.
func splitKey(key string) (partition, sort string) {
	if i := strings.LastIndexByte(key, '/'); i >= 0 {
		return key[:i], key[i+1:]
	}
	return rootPartition, key
}

func joinKey(partition, sort string) string {
	if partition == rootPartition {
		return sort
	}
	return partition + "/" + sort
}

func itemKey(key string) (map[string]types.AttributeValue, error) {
	partition, sort := splitKey(key)
	if partition == "" || sort == "" {
		return nil, fmt.Errorf("aws: %q is not a valid row key; use text on both sides of the last '/'", key)
	}
	return map[string]types.AttributeValue{
		partitionAttribute: &types.AttributeValueMemberS{Value: partition},
		sortAttribute:      &types.AttributeValueMemberS{Value: sort},
	}, nil
}

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func binary(value []byte) types.AttributeValue {
	if value == nil {
		value = []byte{}
	}
	return &types.AttributeValueMemberB{Value: value}
}

func rowOf(item map[string]types.AttributeValue) (platform.Row, error) {
	partition, ok1 := item[partitionAttribute].(*types.AttributeValueMemberS)
	sort, ok2 := item[sortAttribute].(*types.AttributeValueMemberS)
	revision, ok3 := item[revisionAttribute].(*types.AttributeValueMemberN)
	value, ok4 := item[valueAttribute].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return platform.Row{}, fmt.Errorf("aws: an item has a missing or invalid attribute; only this adapter may write to the table")
	}
	n, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return platform.Row{}, fmt.Errorf("aws: item %s has an invalid revision: %w", joinKey(partition.Value, sort.Value), err)
	}
	return platform.Row{Key: joinKey(partition.Value, sort.Value), Revision: n, Value: value.Value}, nil
}
