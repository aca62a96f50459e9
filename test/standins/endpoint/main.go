// Command endpoint is a stand-in for a server: after a service time it responds to each
// request with a description of the request. It does not limit concurrent requests.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:8200" help:"address to listen on"`
	Name    string        `arg:"--name" default:"endpoint" help:"name of the endpoint in responses"`
	Service time.Duration `arg:"--service-time" default:"2ms" help:"service time of a request"`
	Padding int           `arg:"--padding" help:"bytes added to each response"`
}

// description describes a request as the endpoint received it.
type description struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Key      string `json:"idempotency-key,omitempty"`
	Bytes    int64  `json:"bytes"`
	Run      int64  `json:"run"`
	Padding  string `json:"padding,omitempty"`
}

type endpoint struct {
	args    arguments
	padding string
	// runs counts all requests, inFlight those in progress; peak is the maximum of inFlight.
	runs     atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64
}

func main() {
	var args arguments
	arg.MustParse(&args)
	e := &endpoint{
		args:    args,
		padding: strings.Repeat("x", args.Padding),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/stats", e.stats)
	mux.HandleFunc("/", e.serve)
	s := &http.Server{
		Addr:    args.Listen,
		Handler: mux,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = s.Shutdown(context.Background())
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("endpoint stand-in failed", "error", err)
		os.Exit(1)
	}
}

// serve responds with a description of the request after the service time.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	run := e.runs.Add(1)
	n := e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	for {
		peak := e.peak.Load()
		if n <= peak || e.peak.CompareAndSwap(peak, n) {
			break
		}
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if service := e.serviceTime(r); service > 0 {
		select {
		case <-time.After(service):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(description{
		Endpoint: e.args.Name,
		Method:   r.Method,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		Key:      r.Header.Get("Idempotency-Key"),
		Bytes:    size,
		Run:      run,
		Padding:  e.padding,
	})
}

// serviceTime returns the value of the query parameter sleep-ms if there is one, otherwise the
// default.
func (e *endpoint) serviceTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("sleep-ms"))
	if err != nil {
		return e.args.Service
	}
	return time.Duration(ms) * time.Millisecond
}

// stats responds with the counters of requests.
func (e *endpoint) stats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int64{
		"runs":      e.runs.Load(),
		"in-flight": e.inFlight.Load(),
		"peak":      e.peak.Load(),
	})
}
