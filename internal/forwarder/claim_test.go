package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against an outcome that is not recorded because the caller disconnected, a claim
// that is kept although the endpoint did not run the request, a claim that is released
// although the request may have run, and a dispatch before a connection exists.
func TestClaimOutcomes(t *testing.T) {
	const (
		afterDispatch = "after dispatch"
		beforeClaim   = "before the claim"
	)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		// disconnects is when the caller disconnects; empty if it does not.
		disconnects string
		address     string
		expected    []string
	}{
		{
			name:     "complete response",
			handler:  func(http.ResponseWriter, *http.Request) {},
			expected: []string{"dispatch", "finish"},
		},
		{
			name:        "caller disconnected during the run",
			handler:     func(http.ResponseWriter, *http.Request) {},
			disconnects: afterDispatch,
			expected:    []string{"dispatch", "finish"},
		},
		{
			name:        "caller disconnected before dispatch",
			disconnects: beforeClaim,
			expected:    []string{"withdraw"},
		},
		{
			name:     "endpoint shed the request",
			handler:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
			expected: []string{"dispatch", "not run"},
		},
		{
			name:     "endpoint broke the connection",
			handler:  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			expected: []string{"dispatch", "mark lost"},
		},
		{
			name: "endpoint broke the connection in the response",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "9")
				_, _ = w.Write([]byte("part"))
				panic(http.ErrAbortHandler)
			},
			expected: []string{"dispatch", "mark lost"},
		},
		{
			name:     "no connection",
			address:  "127.0.0.1:1",
			expected: []string{"withdraw"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			disconnected := make(chan struct{})
			s := start(t, endpoint(t, func(w http.ResponseWriter, r *http.Request) {
				if c.disconnects == afterDispatch {
					disconnect()
					<-disconnected
				}
				c.handler(w, r)
			}))
			side := s.nodes[0].side
			if c.address != "" {
				side.Endpoint = netip.MustParseAddrPort(c.address)
			}
			events := make(chan string, 10)
			side.Claim = func(ctx context.Context, _ ClaimRequest) (*Claim, *RecordedResponse, error) {
				if c.disconnects == beforeClaim {
					disconnect()
					<-ctx.Done()
				}
				context.AfterFunc(ctx, func() { close(disconnected) })
				return &Claim{
					Dispatch: func() error { events <- "dispatch"; return nil },
					Withdraw: func(context.Context) error { events <- "withdraw"; return nil },
					Finish:   func(RecordedResponse) { events <- "finish" },
					MarkLost: func() { events <- "mark lost" },
					NotRun:   func(context.Context) { events <- "not run" },
				}, nil, nil
			}
			_, _ = s.do("POST", "/sign", nil, func(r *http.Request) {
				r.Header.Set("Idempotency-Key", "1")
				*r = *r.WithContext(ctx)
			})
			for _, expected := range c.expected {
				is.Equal(<-events, expected)
			}
			is.Equal(len(events), 0)
		})
	}
}
