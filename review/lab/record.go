// Package lab holds the stand-ins of the review's scripts: a store, an upstream, a requester and the
// start of nodes as processes. They do what the users' pages say and nothing else.
package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the script causes its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record collects the lines of record.txt.
type Record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// NewRecord returns a record that starts now.
func NewRecord() *Record { return &Record{began: time.Now()} }

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.began) }

// Add adds a line with the current time.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt adds a line with a time.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  %s", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Add(format, args...)
}

// Write writes the lines, ordered by time, to record.txt in the folder of the case.
func (r *Record) Write(dir string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i][:11] < r.lines[j][:11] })
	_ = os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// At returns a time in seconds since the start of the record.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.began).Seconds() }
