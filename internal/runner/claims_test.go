package runner

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a flush before a forwarded call has ended, and against a shutdown
// that refused calls delay.
func TestWaitForForwardedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f inFlight
		first, second := make(chan struct{}), make(chan struct{})
		serve := func(end chan struct{}) {
			f.serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }), nil, nil)
		}
		go serve(first)
		synctest.Wait()
		ended := false
		go func() {
			ended = f.wait(context.Background()) == nil
		}()
		synctest.Wait()
		go serve(second)
		synctest.Wait()
		is.True(!ended)
		close(first)
		synctest.Wait()
		is.True(ended)
		close(second)
	})
}
