// Package forwarder holds the HTTP handlers of a node: the caller side, which
// chooses an endpoint for each call, and the endpoint side, which admits calls to
// the node's own endpoint.
package forwarder

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// Names of the headers between nodes; docs/design.md describes their values.
const (
	headerService   = "Gentianlever-Service"
	headerTimeout   = "Gentianlever-Timeout"
	headerDepth     = "Gentianlever-Depth"
	headerLeastLoad = "Gentianlever-Least-Load"
	headerAge       = "Gentianlever-Age"
	headerAttempt   = "Gentianlever-Attempt"
	headerNode      = "Gentianlever-Node"
	headerLoad      = reporter.Header
	headerDetail    = "Gentianlever-Detail"
)

// maxDepth is well above the 9 services that the deepest known call tree passes.
const maxDepth = 16

// NodeToken derives the value of the Gentianlever-Node header from the membership key.
func NodeToken(membershipKey []byte) string {
	mac := hmac.New(sha256.New, membershipKey)
	_, _ = io.WriteString(mac, "forwarded call")
	return hex.EncodeToString(mac.Sum(nil))
}

// hopHeaders are the headers of one connection, which are not forwarded.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

func microseconds(h http.Header, name string) (time.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, false
	}
	return time.Duration(n) * time.Microsecond, true
}

func setMicroseconds(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Microseconds(), 10))
}

// writeRefusal answers a request with a refusal. Errors of another type become
// node-failed, of which nothing is known.
func writeRefusal(w http.ResponseWriter, err error) {
	refusal := asRefusal(err)
	row := refusal.Row()
	h := w.Header()
	h.Set(refuser.HeaderRefused, string(row.Reason))
	h.Set(refuser.HeaderRan, string(row.Ran))
	if refusal.Detail != "" {
		h.Set(headerDetail, refusal.Detail)
	}
	if refusal.Hint > 0 {
		seconds := (refusal.Hint + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(row.Status)
	_, _ = io.WriteString(w, refusal.Error()+"\n")
}

func asRefusal(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &refuser.Refusal{
		Reason: refuser.NodeFailed,
		Detail: err.Error(),
	}
}

// refusalOf returns the refusal that an answer of a node carries, or nil.
func refusalOf(resp *http.Response) *refuser.Refusal {
	reason := resp.Header.Get(refuser.HeaderRefused)
	if reason == "" {
		return nil
	}
	refusal := &refuser.Refusal{
		Reason: refuser.Reason(reason),
		Ran:    refuser.Ran(resp.Header.Get(refuser.HeaderRan)),
		Detail: resp.Header.Get(headerDetail),
	}
	refusal.Load, _ = reporter.Parse(resp.Header.Get(headerLoad))
	return refusal
}
