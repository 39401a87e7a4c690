package aws

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
)

// conditionFailed is the cancellation reason of a write whose condition does not hold.
const conditionFailed = "ConditionalCheckFailed"

// slowDown is the error code of S3 for requests above its rate limit. The response has
// status 503, but the request was not executed.
const slowDown = "SlowDown"

// requestTracker records whether any part of one request can have reached the service.
type requestTracker struct {
	operation string
	connected atomic.Bool
}

// withTrace returns a context that marks the request as possibly sent once it has a
// connection.
func (r *requestTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
}

// writeError wraps the error of a write with its platform error kind.
func (r *requestTracker) writeError(err error) error {
	if err == nil {
		return nil
	}
	return r.wrap(r.writeKind(err), err)
}

func (r *requestTracker) writeKind(err error) error {
	var check *types.ConditionalCheckFailedException
	var canceled *types.TransactionCanceledException
	switch {
	case !r.connected.Load():
		return platform.ErrUnavailable
	case errors.As(err, &check):
		return platform.ErrConflict
	case errors.As(err, &canceled):
		return canceledKind(canceled)
	case notExecuted(err):
		return platform.ErrUnavailable
	}
	// No response, an unreadable response or a server error: DynamoDB documents that a
	// write with a response of status 500 may have succeeded.
	return platform.ErrUnknownOutcome
}

// canceledKind distinguishes a condition that does not hold from other causes of a
// canceled transaction, such as a concurrent transaction or throttling. Nothing is
// written in either case.
func canceledKind(err *types.TransactionCanceledException) error {
	for _, reason := range err.CancellationReasons {
		if reason.Code != nil && *reason.Code == conditionFailed {
			return platform.ErrConflict
		}
	}
	return platform.ErrUnavailable
}

// notExecuted reports whether the service responded that it did not execute the
// request.
func notExecuted(err error) bool {
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return false
	}
	var api smithy.APIError
	var response *smithyhttp.ResponseError
	if !errors.As(err, &api) || !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	return api.ErrorCode() == slowDown || status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// readError wraps the error of a read with its platform error kind.
func (r *requestTracker) readError(err error) error {
	if err == nil {
		return nil
	}
	var noKey *s3types.NoSuchKey
	if errors.As(err, &noKey) {
		return r.wrap(platform.ErrNotFound, err)
	}
	return r.wrap(platform.ErrUnavailable, err)
}

func (r *requestTracker) wrap(kind, err error) error {
	failuresTotal.WithLabelValues(r.operation, kindLabel(kind)).Inc()
	return fmt.Errorf("aws: %s: %w (%w)", r.operation, kind, err)
}

func kindLabel(kind error) string {
	switch kind {
	case platform.ErrConflict:
		return "conflict"
	case platform.ErrUnavailable:
		return "unavailable"
	case platform.ErrNotFound:
		return "not-found"
	case platform.ErrTooLarge:
		return "too-large"
	default:
		return "unknown-outcome"
	}
}
