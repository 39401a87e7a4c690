package aws

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// ObjectStore implements platform.ObjectStore on an S3 bucket.
type ObjectStore struct {
	bucket string
	client *s3.Client
}

var _ platform.ObjectStore = (*ObjectStore)(nil)

// Put implements platform.ObjectStore.
func (o *ObjectStore) Put(ctx context.Context, key string, body []byte) error {
	r := requestTracker{operation: "PutObject"}
	defer observe(r.operation, time.Now())
	_, err := o.client.PutObject(r.withTrace(ctx), &s3.PutObjectInput{
		Bucket: &o.bucket, Key: &key, Body: bytes.NewReader(body), ContentLength: aws.Int64(int64(len(body))),
	})
	return r.writeError(err)
}

// Get implements platform.ObjectStore.
func (o *ObjectStore) Get(ctx context.Context, key string, maxBytes int64) ([]byte, error) {
	r := requestTracker{operation: "GetObject"}
	defer observe(r.operation, time.Now())
	out, err := o.client.GetObject(r.withTrace(ctx), &s3.GetObjectInput{Bucket: &o.bucket, Key: &key})
	if err != nil {
		return nil, r.readError(err)
	}
	defer func() { _ = out.Body.Close() }() // the body has been read or is not needed
	body, err := io.ReadAll(io.LimitReader(out.Body, maxBytes+1))
	if err != nil {
		return nil, r.readError(err)
	}
	if int64(len(body)) > maxBytes {
		return nil, r.wrap(platform.ErrTooLarge, fmt.Errorf("object %s has more than %d bytes", key, maxBytes))
	}
	return body, nil
}
