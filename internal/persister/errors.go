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

// throttlingCodes are the error codes by which the services refuse a request before
// it takes effect, also where they come with a 5xx status (S3's SlowDown is a 503).
var throttlingCodes = []string{
	"SlowDown",
	"ThrottlingException",
	"ProvisionedThroughputExceededException",
	"RequestLimitExceeded",
}

// codeInProgress reports that an earlier request with the same token is still
// being processed, so the write may yet take effect although the status is 400.
const codeInProgress = "TransactionInProgressException"

// traceSend returns a context that records whether the request got a connection.
// Without one, nothing of it can have reached the service.
func traceSend(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), &sent
}

// conditionError returns nil for an error that is not a failed condition.
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

// writeError sorts the errors of a write by whether it may have taken effect.
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

// refused reports whether the service's answer excludes that the write took effect.
// A cancelled transaction (TransactionConflict and similar reasons) is among the 4xx.
func refused(err error) bool {
	var api smithy.APIError
	if errors.As(err, &api) {
		if api.ErrorCode() == codeInProgress {
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
	// An intermediary sends 408 without knowing what became of the request.
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}
