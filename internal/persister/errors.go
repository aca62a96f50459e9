package persister

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// throttlingCodes are the error codes with which the services refuse a request before it
// takes effect, even if the status is a 5xx (S3's SlowDown is a 503).
var throttlingCodes = []string{
	"SlowDown",
	"ThrottlingException",
	"ProvisionedThroughputExceededException",
	"RequestLimitExceeded",
}

// inProgressCode means that an earlier request with the same token is still being
// processed, so the write may still take effect although the status is 400.
const inProgressCode = "TransactionInProgressException"

// traceSend returns a context that records whether a request got a connection. If it got
// none, no part of it can have reached the service.
func traceSend(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), &sent
}

// conditionError returns a *storer.ConditionError if err is a failed condition, and nil
// otherwise.
func conditionError(err error) error {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return nil
	}
	for i, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
			return &storer.ConditionError{Index: i}
		}
	}
	return nil
}

// writeError returns a *storer.UnavailableError if the write cannot have taken effect, and
// a *storer.UnknownError otherwise.
func writeError(operation string, sent bool, err error) error {
	if !sent || refused(err) {
		return &storer.UnavailableError{
			Operation: operation,
			Cause:     err,
		}
	}
	return &storer.UnknownError{
		Operation: operation,
		Cause:     err,
	}
}

// refused reports whether the service's response proves that the write did not take
// effect. That includes cancelled transactions (TransactionConflict and similar reasons),
// whose status is 4xx.
func refused(err error) bool {
	var api smithy.APIError
	if errors.As(err, &api) {
		if api.ErrorCode() == inProgressCode {
			return false
		}
		for _, code := range throttlingCodes {
			if api.ErrorCode() == code {
				return true
			}
		}
	}
	var resp *smithyhttp.ResponseError
	if !errors.As(err, &resp) {
		return false
	}
	status := resp.HTTPStatusCode()
	// A proxy may send 408 without knowing whether the request took effect.
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}
