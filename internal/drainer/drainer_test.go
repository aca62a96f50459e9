package drainer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a shutdown or a second SIGTERM that interrupts an upload, a listener that
// closes before peers are notified, a flush before the requests have finished, and a listener
// that closes before the flush.
func TestDrainWithUpload(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var events []string
	event := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, name)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil && n > 0 {
			event("upload finished")
		}
		_, _ = fmt.Fprint(w, n)
	}))
	body, upload := io.Pipe()
	uploaded := make(chan string)
	go func() {
		resp, err := http.Post(s.URL, "", body)
		if err != nil {
			uploaded <- err.Error()
			return
		}
		b, _ := io.ReadAll(resp.Body)
		uploaded <- string(b)
	}()
	_, _ = io.WriteString(upload, "first")
	d := &Drainer{
		Period:         50 * time.Millisecond,
		RefuseRequests: func() { event("refuse requests") },
		Announce: func(ctx context.Context) {
			event("announce")
			// A request during the announcement is still served.
			resp, err := http.Get(s.URL)
			if err == nil {
				event("served")
				_ = resp.Body.Close()
			}
			<-ctx.Done()
		},
		Close: []func(context.Context) error{s.Config.Shutdown},
		Flush: []func(context.Context) error{func(context.Context) error {
			event("flush")
			return nil
		}},
		CloseLast: []func(context.Context) error{func(context.Context) error {
			event("close last")
			return nil
		}},
		OnError: func(err error) { event(err.Error()) },
	}
	ended := make(chan struct{})
	go func() {
		d.Run()
		close(ended)
	}()
	time.Sleep(200 * time.Millisecond)
	is.True(d.Draining())
	d.Run()
	_, _ = io.WriteString(upload, "second")
	_ = upload.Close()
	is.Equal(<-uploaded, "11")
	<-ended
	is.Equal(events[:3], []string{"refuse requests", "announce", "served"})
	is.Equal(slices.Index(events, "flush"), len(events)-2)
	is.Equal(events[3:], []string{"upload finished", "flush", "close last"})
}
