package memory

import (
	"bytes"
	"context"
	"fmt"

	"corianderwood.example/corianderwood/pkg/platform"
)

// ObjectStore implements platform.ObjectStore.
type ObjectStore struct {
	*service
	objects map[string][]byte
}

var _ platform.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty store. The seed determines which requests are
// affected by random faults.
func NewObjectStore(seed uint64) *ObjectStore {
	return &ObjectStore{service: newService(seed, 2), objects: map[string][]byte{}}
}

// Put implements platform.ObjectStore.
func (o *ObjectStore) Put(ctx context.Context, key string, body []byte) error {
	body = bytes.Clone(body)
	return o.run(ctx, true, func() error {
		o.objects[key] = body
		o.counters.Writes++
		o.counters.WrittenBytes += len(key) + len(body)
		return nil
	})
}

// Get implements platform.ObjectStore.
func (o *ObjectStore) Get(ctx context.Context, key string, maxBytes int64) ([]byte, error) {
	var body []byte
	err := o.run(ctx, false, func() error {
		found, ok := o.objects[key]
		o.counters.Reads++
		if !ok {
			return fmt.Errorf("memory: object %s: %w", key, platform.ErrNotFound)
		}
		if int64(len(found)) > maxBytes {
			return fmt.Errorf("memory: object %s has more than %d bytes: %w", key, maxBytes, platform.ErrTooLarge)
		}
		o.counters.ReadBytes += len(key) + len(found)
		body = bytes.Clone(found)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return body, nil
}
