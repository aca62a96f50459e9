package exchanger

import (
	"fmt"
	"net/netip"
)

// ConnectError reports that no connection could be made and no pooled one became free.
// No byte of the request was sent.
type ConnectError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// NotSentError reports that an exchange failed after a connection was obtained and before
// the kernel accepted a byte of the request.
type NotSentError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("no byte sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ExchangeError reports that an exchange failed after bytes of the request may have been
// sent.
type ExchangeError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// BodyError reports that a request body that is sent while the response is awaited could
// not be read. It is the cause of another error of this package, and is not a failure of
// the address.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("read the request body: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// FramingError reports a response that was refused because of its header or framing. It
// is the cause of an ExchangeError.
type FramingError struct {
	Problem string
}

func (e *FramingError) Error() string {
	return "response framing: " + e.Problem
}
