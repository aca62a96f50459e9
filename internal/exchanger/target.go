package exchanger

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// TargetError reports a request target that can't be sent.
type TargetError struct {
	Target string
}

func (e *TargetError) Error() string { return fmt.Sprintf("request target %q can't be sent", e.Target) }

// writeRequest writes r with r.RequestURI, if set, as its target. http.Request.Write builds the target
// from r.URL, which can't represent every target: a path that begins with two slashes gets a colon
// before it.
func writeRequest(w *bufio.Writer, r *http.Request) error {
	if r.RequestURI == "" {
		return r.Write(&requestWriter{w: w})
	}
	unsafe := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if strings.ContainsFunc(r.RequestURI, unsafe) {
		return &TargetError{Target: r.RequestURI}
	}
	out := *r
	out.URL = &url.URL{Path: placeholder}
	return out.Write(&requestWriter{
		w:      w,
		target: r.RequestURI,
	})
}

// placeholder is the target that requestWriter replaces.
const placeholder = "/"

// requestWriter writes a request to a connection's buffer. It has no ReadFrom, unlike the buffer: that
// of bufio.Writer reads into the buffer, which the reader of an upload flushes.
type requestWriter struct {
	w *bufio.Writer
	// target replaces that of the request line, the first thing written; empty replaces nothing.
	target string
}

func (w *requestWriter) Write(p []byte) (int, error) {
	if w.target == "" {
		return w.w.Write(p)
	}
	target := w.target
	w.target = ""
	method, rest, found := bytes.Cut(p, []byte(" "+placeholder+" "))
	if !found {
		return 0, &TargetError{Target: target}
	}
	if _, err := fmt.Fprintf(w.w, "%s %s %s", method, target, rest); err != nil {
		return 0, err
	}
	return len(p), nil
}

// WriteByte keeps http.Request.Write from adding a buffer of its own.
func (w *requestWriter) WriteByte(c byte) error { return w.w.WriteByte(c) }

// WriteString saves http.Request.Write the conversion of header lines.
func (w *requestWriter) WriteString(s string) (int, error) { return w.w.WriteString(s) }
