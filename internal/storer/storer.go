// Package storer is the port to the platform's table service and object store.
// Adapters fill the function fields; tests fill them with fakes.
package storer

import (
	"context"
	"fmt"
	"time"
)

// Key names a row. Rows of one partition can be queried in the order of Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version is chosen by the writer and is what conditions compare.
	Version uint64
	// Body is the encoded value; the table service accepts at most 400 KB a row.
	Body []byte
	// Expires is the time after which the table may delete the row; zero is never.
	Expires time.Time
}

// Condition says what must hold for a write to take effect.
type Condition uint8

// The conditions of a write.
const (
	Always Condition = iota
	// Absent requires that no row has the key.
	Absent
	// VersionIs requires that the stored row's version equals Write.IfVersion.
	VersionIs
)

// Write is one conditional put or delete.
type Write struct {
	Row       Row
	Condition Condition
	IfVersion uint64
	Delete    bool
}

// Table is the transactional table service. Set all fields before use.
type Table struct {
	// Get reads one row with strong consistency and reports whether it exists.
	Get func(ctx context.Context, k Key) (Row, bool, error)
	// Write applies all writes or none. Its errors are *ConditionError,
	// *UnavailableError and *UnknownError.
	Write func(ctx context.Context, writes []Write) error
	// Query returns at most limit rows of a partition whose sort key is greater
	// than after, in order, with strong consistency.
	Query func(ctx context.Context, partition, after string, limit int) ([]Row, error)
}

// Objects is the object store. Set all fields before use.
type Objects struct {
	Put func(ctx context.Context, name string, body []byte) error
	// Get returns a *NotFoundError for an object that does not exist.
	Get func(ctx context.Context, name string) ([]byte, error)
}

// ConditionError reports that a condition did not hold. Nothing was written.
type ConditionError struct {
	// Index is the position of the first write whose condition failed.
	Index int
}

func (e *ConditionError) Error() string {
	return fmt.Sprintf("condition of write %d does not hold", e.Index)
}

// UnavailableError reports an operation that the platform refused or never
// received. It did not take effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports an operation whose answer was lost. It may have taken
// effect, or may still do so later.
type UnknownError struct {
	Operation string
	Cause     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Name)
}
