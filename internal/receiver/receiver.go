// Package receiver reads the bodies of large responses.
package receiver

import (
	"fmt"
	"io"
)

// IncompleteError reports that a body ended early. Received is the number of bytes read
// before the error.
type IncompleteError struct {
	Received int64
	Cause    error
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("body incomplete after %d bytes: %v", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// Read reads at most limit bytes of a body. The error is an *IncompleteError.
func Read(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		return nil, &IncompleteError{
			Received: int64(len(b)),
			Cause:    err,
		}
	}
	return b, nil
}
