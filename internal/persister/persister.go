// Package persister is the adapter from the storer port to a table service with
// DynamoDB's API and an object store with S3's API.
package persister

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// DefaultTimeout bounds an operation whose context has no deadline.
const DefaultTimeout = 5 * time.Second

// Persister opens the two services. Set the exported fields before use.
type Persister struct {
	Platform validator.Platform
	// Timeout bounds an operation whose context has no deadline; zero is DefaultTimeout.
	Timeout time.Duration
	// OnRead, OnWrite and OnError are called once for each operation that starts or
	// fails; nil fields are skipped. A failed condition is not an error.
	OnRead  func(operation string)
	OnWrite func(operation string)
	OnError func(operation string, err error)
}

// Table opens the table service without counting.
func Table(p validator.Platform) storer.Table {
	return (&Persister{Platform: p}).Table()
}

// Objects opens the object store without counting.
func Objects(p validator.Platform) storer.Objects {
	return (&Persister{Platform: p}).Objects()
}

// bound returns a context that has a deadline.
func (p *Persister) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	timeout := p.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// read runs one read.
func (p *Persister) read(ctx context.Context, operation string, run func(ctx context.Context) error) error {
	ctx, cancel := p.bound(ctx)
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

// write runs one write and classifies its error.
func (p *Persister) write(ctx context.Context, operation string, run func(ctx context.Context) error) error {
	ctx, cancel := p.bound(ctx)
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
