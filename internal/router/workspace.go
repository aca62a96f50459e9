package router

import (
	"fmt"
	"math"
	"time"
)

// Workspace is a group of callers that share API keys, a priority and a quota.
type Workspace struct {
	Name string
	// Keys are the API keys of the workspace's callers.
	Keys []string
	// Priority is the rank of the workspace's requests, which goes before that of their routes; zero
	// is the most urgent.
	Priority int
	// Rate is the quota in requests a second over all nodes together; zero means no limit. Burst is
	// the number of requests that may be sent in addition.
	Rate  float64
	Burst float64
}

// WorkspaceError reports an invalid workspace. It never contains a key.
type WorkspaceError struct {
	Workspace string
	Field     string
	Problem   string
}

func (e *WorkspaceError) Error() string {
	return fmt.Sprintf("workspace %q: %s %s", e.Workspace, e.Field, e.Problem)
}

// buildWorkspaces validates the workspaces and prepares Workspace. The error is a *WorkspaceError.
func (t *Table) buildWorkspaces() error {
	t.keys = make(map[string]*Workspace)
	names := make(map[string]bool)
	limited, sum := 0, 0.0
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		fail := func(field, format string, args ...any) error {
			return &WorkspaceError{
				Workspace: w.Name,
				Field:     field,
				Problem:   fmt.Sprintf(format, args...),
			}
		}
		switch {
		case w.Name == "":
			return fail("name", "is empty")
		case names[w.Name]:
			return fail("name", "is used twice")
		case !(w.Rate >= 0) || math.IsInf(w.Rate, 0):
			return fail("rate", "%v is not a number of at least zero", w.Rate)
		case !(w.Burst >= 0) || math.IsInf(w.Burst, 0):
			return fail("burst", "%v is not a number of at least zero", w.Burst)
		}
		names[w.Name] = true
		if w.Rate > 0 {
			limited++
			sum += w.Rate
		}
		for n, key := range w.Keys {
			if key == "" {
				return fail("keys", "has an empty entry at position %d", n)
			}
			if other := t.keys[key]; other != nil && other != w {
				return fail("keys", "has the key at position %d in common with workspace %q", n, other.Name)
			}
			t.keys[key] = w
		}
	}
	t.meanRate = 1
	if limited > 0 {
		t.meanRate = sum / float64(limited)
	}
	return nil
}

// Share returns the part of the capacity that is a workspace's share: its quota as a part of all quotas.
// A workspace without a quota counts with the mean one. Workspaces are sized by their quotas, and equal
// shares would refuse the requests of the large ones first in any overload.
func (t *Table) Share(w *Workspace) float64 {
	rate := w.Rate
	if rate == 0 {
		rate = t.meanRate
	}
	return rate / (t.meanRate * float64(len(t.Workspaces)))
}

// HasWorkspaces reports whether the table has workspaces, so that requests need keys.
func (t *Table) HasWorkspaces() bool { return len(t.Workspaces) > 0 }

// Workspace returns the workspace that holds an API key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// LongestTimeout returns the longest timeout of all routes.
func (t *Table) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, r := range t.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}
