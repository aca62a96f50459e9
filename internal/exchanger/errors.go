package exchanger

import (
	"fmt"
	"net/netip"
)

// ConnectError reports that no connection was made or none became free, so no byte
// of the request was sent.
type ConnectError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// NotSentError reports that a connection existed and that the kernel accepted no
// byte of the request for it.
type NotSentError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ExchangeError reports that an exchange broke after bytes may have been sent.
type ExchangeError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// BodyError reports that the request's own body could not be read. It is the cause
// of another error of this package and not a failure of the address.
type BodyError struct {
	Cause error
}

func (e *BodyError) Error() string {
	return fmt.Sprintf("read the request body: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// FramingError reports a response whose header or framing is refused. It is the
// cause of an ExchangeError.
type FramingError struct {
	Problem string
}

func (e *FramingError) Error() string {
	return "response framing: " + e.Problem
}
