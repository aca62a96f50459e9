// Package authenticator finds the workspace of a request by its API key. It does no I/O.
package authenticator

import (
	"net/http"
	"strings"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/router"
)

// Header is the name of the header with the API key.
const Header = "Authorization"

// scheme is the authentication scheme of API keys. It is not case-sensitive.
const scheme = "Bearer"

// maxKeyBytes limits the length of a key that is looked up. It is far above that of keys in use.
const maxKeyBytes = 4096

// Request is what the decision on a request depends on besides its headers.
type Request struct {
	// Public is set if the request's route needs no key.
	Public bool
	// Nested is set for a call of a request that the local endpoint is running.
	Nested bool
	// MaybeNested is set while the endpoint may run requests of an earlier process of the node, whose
	// calls can't be recognized.
	MaybeNested bool
}

// Authenticate returns the workspace whose key the headers contain, or nil if the request needs none
// and has none. The error is a *refuser.Refusal, which never contains the key. A table without
// workspaces needs no keys.
func Authenticate(table *router.Table, h http.Header, r Request) (*router.Workspace, error) {
	if !table.HasWorkspaces() {
		return nil, nil
	}
	values := h[Header]
	key, problem := parse(values)
	if problem == "" {
		if workspace := table.Workspace(key); workspace != nil {
			return workspace, nil
		}
		problem = "no workspace holds the key"
	}
	switch {
	case r.Public, r.Nested && !HasCredentials(h):
		return nil, nil
	case r.MaybeNested && !HasCredentials(h):
		return nil, &refuser.Refusal{
			Reason: refuser.ParentUnknown,
			Detail: problem,
		}
	}
	return nil, &refuser.Refusal{
		Reason: refuser.Unauthorized,
		Detail: problem,
	}
}

// HasCredentials reports whether a request has a key, valid or not.
func HasCredentials(h http.Header) bool { return len(h[Header]) > 0 }

// parse returns the key in the values of Header, or what is wrong with them.
func parse(values []string) (key, problem string) {
	if len(values) == 0 {
		return "", "the request has no key"
	}
	if len(values) > 1 {
		return "", "the request has more than one key"
	}
	s, key, _ := strings.Cut(values[0], " ")
	switch {
	case !strings.EqualFold(s, scheme):
		return "", "the authentication scheme is not Bearer"
	case key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return "", "the key is empty, too long or not printable ASCII"
	}
	return key, ""
}
