// Package forwarder holds the HTTP handlers of a node: the caller side, which picks an
// endpoint for each call, and the endpoint side, which admits calls to the local endpoint.
package forwarder

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	headerRetried   = "Gentianlever-Retried"
	headerNode      = "Gentianlever-Node"
	headerLoad      = reporter.Header
	headerDetail    = "Gentianlever-Detail"
)

// maxDepth bounds the depth of nested calls. It is well above the 9 services of the
// deepest known call tree.
const maxDepth = 16

// NodeToken derives the value of the Gentianlever-Node header, which authenticates a
// forwarded call, from the membership key: its HMAC-SHA-256 in hexadecimal.
func NodeToken(membershipKey []byte) string {
	mac := hmac.New(sha256.New, membershipKey)
	_, _ = io.WriteString(mac, "forwarded call")
	return hex.EncodeToString(mac.Sum(nil))
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
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

// headerPrefix is the prefix of the names of gentianlever's own headers.
const headerPrefix = "Gentianlever-"

// forwarded returns the headers of h that are forwarded to the next hop. It leaves out the
// hop-by-hop headers, including those that Connection lists, and gentianlever's own
// headers except for those in keep. The value slices are shared with h.
func forwarded(h http.Header, keep ...string) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if !notForwarded(name, named, keep) {
			out[name] = values
		}
	}
	return out
}

// ForwardedHeader returns the headers of h that are forwarded to the next hop. It leaves out
// hop-by-hop headers and gentianlever's own. The value slices are shared with h.
func ForwardedHeader(h http.Header) http.Header { return forwarded(h) }

// strip removes from h the headers that forwarded leaves out.
func strip(h http.Header) {
	named := connectionNames(h)
	for name := range h {
		if notForwarded(name, named, nil) {
			delete(h, name)
		}
	}
}

// connectionNames returns the header names that Connection lists.
func connectionNames(h http.Header) []string {
	var named []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return named
}

// notForwarded reports whether a header is hop-by-hop or one of gentianlever's own that is
// not in keep. named are the headers that Connection lists.
func notForwarded(name string, named, keep []string) bool {
	if strings.HasPrefix(name, headerPrefix) && !slices.Contains(keep, name) {
		return true
	}
	return slices.Contains(hopByHopHeaders, name) || slices.Contains(named, name)
}

// nextHopRequest builds the request for the next hop. h is a result of forwarded and is
// modified.
func nextHopRequest(r *http.Request, h http.Header, b *requestBody) *http.Request {
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Keeps http.Request.Write from adding its default User-Agent.
		h["User-Agent"] = []string{""}
	}
	target := ""
	if strings.HasPrefix(r.RequestURI, "/") {
		target = r.RequestURI
	}
	return &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		RequestURI:    target,
		Host:          r.Host,
		Header:        h,
		Body:          b.open(),
		ContentLength: b.length,
		Trailer:       b.trailer,
	}
}

// checkTunnel refuses CONNECT and requests for a protocol upgrade.
func checkTunnel(r *http.Request) error {
	if r.Method != http.MethodConnect && len(r.Header["Upgrade"]) == 0 {
		return nil
	}
	return &refuser.Refusal{
		Reason: refuser.Malformed,
		Detail: "CONNECT and Upgrade are not supported",
	}
}

// parseMicroseconds returns the duration in a header whose value is in microseconds.
func parseMicroseconds(h http.Header, name string) (time.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, false
	}
	return time.Duration(n) * time.Microsecond, true
}

// setMicroseconds sets a header to a duration in microseconds.
func setMicroseconds(h http.Header, name string, d time.Duration) {
	h[name] = []string{strconv.FormatInt(d.Microseconds(), 10)}
}

// writeRefusal writes a refusal as the response to a request. Errors of another type are
// written as node-failed.
func writeRefusal(w http.ResponseWriter, err error) {
	refusal := asRefusal(err)
	row := refusal.Row()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(transferGrace))
	h := w.Header()
	h.Set(refuser.HeaderRefused, string(row.Reason))
	h.Set(refuser.HeaderRan, string(row.Ran))
	if refusal.NoRetry {
		h.Set(refuser.HeaderRetry, string(refuser.RetryNever))
	}
	if refusal.Detail != "" {
		h.Set(headerDetail, printable(refusal.Detail))
	}
	if refusal.RetryDelay > 0 {
		seconds := (refusal.RetryDelay + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(row.Status)
	_, _ = io.WriteString(w, refusal.Error()+"\n")
}

// printable replaces control characters, which are not allowed in a header value, by
// spaces.
func printable(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return ' '
		}
		return c
	}, s)
}

// asRefusal returns the refusal in err, or node-failed for an error of another type.
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

// parseRefusal returns the refusal in the headers of a node's response, or nil if there is
// none.
func parseRefusal(resp *http.Response) *refuser.Refusal {
	reason := resp.Header.Get(refuser.HeaderRefused)
	if reason == "" {
		return nil
	}
	ran := refuser.RanUnknown
	if resp.Header.Get(refuser.HeaderRan) == string(refuser.NotRun) {
		ran = refuser.NotRun
	}
	refusal := &refuser.Refusal{
		Reason:  refuser.Reason(reason),
		Ran:     ran,
		NoRetry: resp.Header.Get(refuser.HeaderRetry) == string(refuser.RetryNever),
		Detail:  resp.Header.Get(headerDetail),
	}
	if seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		refusal.RetryDelay = time.Duration(seconds) * time.Second
	}
	refusal.Load, _ = reporter.Parse(resp.Header.Get(headerLoad))
	return refusal
}
