// Package storer defines the interfaces to the platform's table service and object store,
// as structs with function fields. Package persister implements them; tests use fakes.
package storer

import (
	"context"
	"fmt"
	"time"
)

// Key identifies a row. The rows of a partition can be queried in the order of Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version is set by the writer. The condition VersionIs compares it.
	Version uint64
	// Body is the encoded value. The table service accepts at most 400 KB per row.
	Body []byte
	// Expires is the time after which the table may delete the row; zero means never.
	Expires time.Time
}

// Condition is the condition under which a write takes effect.
type Condition uint8

// The conditions of a write.
const (
	// Always makes a write unconditional.
	Always Condition = iota
	// Absent requires that no row with the key exists.
	Absent
	// VersionIs requires that the stored row's version equals Write.IfVersion.
	VersionIs
)

// Write is a conditional put or delete of one row.
type Write struct {
	// Row is the row to put. For a delete, only its Key is used.
	Row       Row
	Condition Condition
	// IfVersion is the version that VersionIs requires.
	IfVersion uint64
	// Delete selects a delete instead of a put.
	Delete bool
}

// Table is a transactional table service. Set all fields before use.
type Table struct {
	// Get reads one row with strong consistency and reports whether it exists. Its errors
	// are *UnavailableError.
	Get func(ctx context.Context, k Key) (Row, bool, error)
	// Write applies all writes in one transaction or none. Its errors are *ConditionError,
	// *UnavailableError and *UnknownError.
	Write func(ctx context.Context, writes []Write) error
	// Query returns at most limit rows of a partition whose sort key is greater than
	// after, sorted by that key, with strong consistency. Its errors are *UnavailableError.
	Query func(ctx context.Context, partition, after string, limit int) ([]Row, error)
}

// Objects is an object store. Set all fields before use.
type Objects struct {
	// Put creates or replaces an object. Its errors are *UnavailableError and
	// *UnknownError.
	Put func(ctx context.Context, name string, body []byte) error
	// Get returns the content of an object, or a *NotFoundError if it does not exist. Its
	// other errors are *UnavailableError.
	Get func(ctx context.Context, name string) ([]byte, error)
}

// ConditionError reports that the condition of a write failed. Nothing was written.
type ConditionError struct {
	// Index is the position of the first write whose condition failed.
	Index int
}

func (e *ConditionError) Error() string {
	return fmt.Sprintf("condition of write %d failed", e.Index)
}

// UnavailableError reports a failed read, or a write that the platform refused or never
// received. The operation did not take effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports a write whose response was lost or leaves its outcome open, such as
// an internal error of the service. It may have taken effect or may still take effect later.
type UnknownError struct {
	Operation string
	Cause     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns Cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Name)
}
