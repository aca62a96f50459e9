// Package persister implements the storer interfaces with a table service that has
// DynamoDB's API and an object store that has S3's API.
package persister

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// DefaultTimeout is the default of Persister.Timeout.
const DefaultTimeout = 5 * time.Second

// Persister connects to the table service and the object store of one platform. Set the
// exported fields before use.
type Persister struct {
	Platform validator.Platform
	// Timeout bounds an operation, which is one call of a service, if its context has no
	// deadline; zero means DefaultTimeout. A query is one operation for each page.
	Timeout time.Duration
	// OnRead and OnWrite are called once for each operation that starts, and OnError once
	// for each that fails. A failed condition or a missing object is not a failure. Each may
	// be nil.
	OnRead  func(operation string)
	OnWrite func(operation string)
	OnError func(operation string, err error)
}

// Table returns the table service of a platform, without callbacks.
func Table(p validator.Platform) storer.Table {
	return (&Persister{Platform: p}).Table()
}

// Objects returns the object store of a platform, without callbacks.
func Objects(p validator.Platform) storer.Objects {
	return (&Persister{Platform: p}).Objects()
}

// withTimeout returns a context that has a deadline.
func (p *Persister) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	timeout := p.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// read runs one read operation. Its errors are *storer.UnavailableError.
func (p *Persister) read(ctx context.Context, operation string, run func(ctx context.Context) error) error {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	if p.OnRead != nil {
		p.OnRead(operation)
	}
	err := run(ctx)
	if err == nil {
		return nil
	}
	if p.OnError != nil {
		p.OnError(operation, err)
	}
	return &storer.UnavailableError{
		Operation: operation,
		Cause:     err,
	}
}

// write runs one write operation. Its errors are *storer.ConditionError,
// *storer.UnavailableError and *storer.UnknownError.
func (p *Persister) write(ctx context.Context, operation string, run func(ctx context.Context) error) error {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	if p.OnWrite != nil {
		p.OnWrite(operation)
	}
	ctx, sent := traceSend(ctx)
	err := run(ctx)
	if err == nil {
		return nil
	}
	if failed := conditionError(err); failed != nil {
		return failed
	}
	if p.OnError != nil {
		p.OnError(operation, err)
	}
	return writeError(operation, sent.Load(), err)
}
