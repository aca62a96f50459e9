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
		return r.Write(w)
	}
	unsafe := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if strings.ContainsFunc(r.RequestURI, unsafe) {
		return &TargetError{Target: r.RequestURI}
	}
	out := *r
	out.URL = &url.URL{Path: placeholder}
	return out.Write(&targetWriter{
		Writer: w,
		target: r.RequestURI,
	})
}

// placeholder is the target that targetWriter replaces.
const placeholder = "/"

// targetWriter replaces the target in the request line, which is the first thing written.
type targetWriter struct {
	*bufio.Writer
	target string
	begun  bool
}

func (w *targetWriter) Write(p []byte) (int, error) {
	if w.begun {
		return w.Writer.Write(p)
	}
	w.begun = true
	method, rest, found := bytes.Cut(p, []byte(" "+placeholder+" "))
	if !found {
		return 0, &TargetError{Target: w.target}
	}
	if _, err := fmt.Fprintf(w.Writer, "%s %s %s", method, w.target, rest); err != nil {
		return 0, err
	}
	return len(p), nil
}
