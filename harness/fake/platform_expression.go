package fake

import (
	"fmt"
	"maps"
	"math/big"
	"regexp"
)

// The forms of expressions that the adapter uses. The fake rejects all others.
var (
	notExistsPattern = regexp.MustCompile(`^attribute_not_exists\((\w+)\)$`)
	equalPattern     = regexp.MustCompile(`^(\w+) = (:\w+)$`)
	updatePattern    = regexp.MustCompile(`^SET (\w+) = (:\w+) ADD (\w+) (:\w+)$`)
	prefixPattern    = regexp.MustCompile(`^(\w+) = (:\w+) AND begins_with\((\w+), (:\w+)\)$`)
)

// evaluateCondition reports whether an item, which is nil if absent, meets a condition
// expression. An empty expression is always met.
func evaluateCondition(expression string, values item, it item) (bool, error) {
	if expression == "" {
		return true, nil
	}
	if m := notExistsPattern.FindStringSubmatch(expression); m != nil {
		_, exists := it[m[1]]
		return !exists, nil
	}
	if m := equalPattern.FindStringSubmatch(expression); m != nil {
		want, ok := values[m[2]]
		if !ok {
			return false, fmt.Errorf("the expression uses %s, which has no value", m[2])
		}
		got, exists := it[m[1]]
		return exists && got.equal(want), nil
	}
	return false, fmt.Errorf("the condition %q is not supported", expression)
}

// applyUpdate returns a copy of an item after an update expression. If the item is absent
// (nil), the copy starts with the key attributes only.
func applyUpdate(expression string, values item, key itemKey, it item) (item, error) {
	m := updatePattern.FindStringSubmatch(expression)
	if m == nil {
		return nil, fmt.Errorf("the update %q is not supported", expression)
	}
	set, okSet := values[m[2]]
	add, okAdd := values[m[4]]
	if !okSet || !okAdd || add.N == nil {
		return nil, fmt.Errorf("the update %q lacks values", expression)
	}
	updated := key.item()
	maps.Copy(updated, it)
	updated[m[1]] = set
	sum, ok := new(big.Int).SetString(*add.N, 10)
	if !ok {
		return nil, fmt.Errorf("%q is not a whole number", *add.N)
	}
	if old := it[m[3]].N; old != nil {
		previous, ok := new(big.Int).SetString(*old, 10)
		if !ok {
			return nil, fmt.Errorf("attribute %s is not a whole number", m[3])
		}
		sum.Add(sum, previous)
	}
	text := sum.String()
	updated[m[3]] = attribute{N: &text}
	return updated, nil
}

// parseKeyCondition returns the partition key and the sort key prefix that a key condition
// selects. The prefix is empty if the condition names the partition only.
func parseKeyCondition(expression string, values item) (partition, prefix string, err error) {
	m := prefixPattern.FindStringSubmatch(expression)
	if m == nil {
		if m = equalPattern.FindStringSubmatch(expression); m == nil {
			return "", "", fmt.Errorf("the key condition %q is not supported", expression)
		}
	}
	pk := values[m[2]].S
	if m[1] != partitionKey || pk == nil || *pk == "" {
		return "", "", fmt.Errorf("the key condition %q does not name a partition", expression)
	}
	if len(m) == 3 {
		return *pk, "", nil
	}
	sk := values[m[4]].S
	if m[3] != sortKey || sk == nil || *sk == "" {
		return "", "", fmt.Errorf("the key condition %q does not name a sort key", expression)
	}
	return *pk, *sk, nil
}
