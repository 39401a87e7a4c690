package fake

import (
	"slices"
	"strings"
)

// attribute is one attribute value of an item in DynamoDB JSON: a string (S), a number in
// decimal text (N) or binary data (B).
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B *[]byte `json:",omitempty"`
}

func (a attribute) equal(b attribute) bool {
	return equalPointers(a.S, b.S) && equalPointers(a.N, b.N) && (a.B == nil) == (b.B == nil) && (a.B == nil || slices.Equal(*a.B, *b.B))
}

func equalPointers(a, b *string) bool { return (a == nil) == (b == nil) && (a == nil || *a == *b) }

func (a attribute) size() int {
	n := 0
	if a.S != nil {
		n += len(*a.S)
	}
	if a.N != nil {
		n += len(*a.N)
	}
	if a.B != nil {
		n += len(*a.B)
	}
	return n
}

// item maps attribute names to values. It is immutable once stored in a table.
type item map[string]attribute

// size returns the size of names and values in bytes, which approximates DynamoDB's item size.
func (it item) size() int {
	n := 0
	for name, value := range it {
		n += len(name) + value.size()
	}
	return n
}

// Key attributes of every table of the fake.
const (
	partitionKey = "pk"
	sortKey      = "sk"
)

// keyOf returns the primary key of an item, and false if a key attribute is missing or empty.
func keyOf(it item) (itemKey, bool) {
	pk, sk := it[partitionKey].S, it[sortKey].S
	if pk == nil || sk == nil || *pk == "" || *sk == "" {
		return itemKey{}, false
	}
	return itemKey{*pk, *sk}, true
}

// itemKey is the primary key of an item.
type itemKey struct{ partition, sort string }

// item returns an item with the key attributes only.
func (k itemKey) item() item {
	return item{partitionKey: {S: &k.partition}, sortKey: {S: &k.sort}}
}

// table holds items by partition key and sort key.
type table struct {
	partitions map[string]map[string]item
}

func (t *table) get(k itemKey) item { return t.partitions[k.partition][k.sort] }

func (t *table) put(k itemKey, it item) {
	if t.partitions[k.partition] == nil {
		t.partitions[k.partition] = map[string]item{}
	}
	t.partitions[k.partition][k.sort] = it
}

func (t *table) remove(k itemKey) { delete(t.partitions[k.partition], k.sort) }

// maxPageBytes is DynamoDB's limit for the total size of the items in one page of a query.
const maxPageBytes = 1 << 20

// query returns one page of the items of a partition whose sort key has the given prefix
// and is greater than after, in the order of their sort keys, and whether more items
// follow. A limit of 0 means no limit on the number of items.
func (t *table) query(partition, prefix, after string, limit int) (items []item, more bool) {
	var keys []string
	for key := range t.partitions[partition] {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, key := range keys {
		it := t.partitions[partition][key]
		size += it.size()
		if limit > 0 && i == limit || i > 0 && size > maxPageBytes {
			return items, true
		}
		items = append(items, it)
	}
	return items, false
}
