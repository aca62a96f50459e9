package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
)

// Guards against a refused upload whose body was already consumed, so that it cannot be
// sent to another endpoint.
func TestRefusedUpload(t *testing.T) {
	is := is.New(t)
	echo := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	s := start(t, echo, echo)
	s.nodes[0].side.Admitter.Drain(0)
	const size = 10 << 20
	for range 10 {
		got, err := s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil)
		is.NoErr(err)
		is.Equal(got.body, fmt.Sprint(size))
	}
	s.nodes[1].side.Admitter.Drain(0)
	var read atomic.Int64
	body := io.TeeReader(io.LimitReader(zeros{}, size), countWriter{n: &read})
	got, err := s.do("PUT", "/upload", body, func(r *http.Request) {
		r.ContentLength = size
		r.Header.Set("Expect", "100-continue")
	})
	is.NoErr(err)
	is.Equal(got.ran, "no")
	is.Equal(read.Load(), int64(0))
}

// Guards against an upload that stays queued at the only endpoint known on its arrival
// although an idle endpoint has joined since.
func TestWaitingUploadMovesToNewEndpoint(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	busy := endpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	defer close(release)
	idle := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	s := start(t, busy, idle)
	endpointOf := func(i int) picker.Endpoint {
		return picker.Endpoint{
			ID:      fmt.Sprint(i),
			Service: "proofs",
			Address: s.nodes[i].address,
		}
	}
	s.caller.Picker.SetEndpoints("proofs", []picker.Endpoint{endpointOf(0)})
	const size = 1 << 20
	upload := func() (result, error) { return s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil) }
	for range 3 {
		go func() { _, _ = upload() }()
	}
	for s.nodes[0].side.Admitter.Load().LongInFlight < 3 {
		time.Sleep(time.Millisecond)
	}
	received := make(chan string, 1)
	go func() {
		got, _ := upload()
		received <- got.body
	}()
	for s.nodes[0].side.Admitter.Load().QueuedLong == 0 {
		time.Sleep(time.Millisecond)
	}
	s.caller.Picker.SetEndpoints("proofs", []picker.Endpoint{endpointOf(0), endpointOf(1)})
	select {
	case body := <-received:
		is.Equal(body, fmt.Sprint(size))
	case <-time.After(20 * time.Second):
		t.Fatal("the upload is still queued")
	}
}

// Guards against a truncated upload: a failed attempt consumes the beginning of the body
// and the next attempt sends the remainder as the whole body.
func TestUploadAfterBrokenContinue(t *testing.T) {
	is := is.New(t)
	const size = 300 << 10
	broken := rawEndpoint(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	})
	s := start(t, endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	endpoints := []picker.Endpoint{
		{ID: "good", Service: "proofs", Address: s.nodes[0].address},
		{ID: "broken", Service: "proofs", Address: broken},
	}
	s.caller.Picker.SetEndpoints("proofs", endpoints)
	for range 100 {
		got, err := s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil)
		if err == nil && got.status == http.StatusOK {
			is.Equal(got.body, fmt.Sprint(size)) // the whole body or an error
		}
	}
}

// Guards against the same truncated upload if the abandoned attempt reads after the next
// one has begun. The reads are ordered here because real connections race.
func TestRevokedReader(t *testing.T) {
	is := is.New(t)
	b := &requestBody{
		prefix: []byte("pre"),
		rest:   strings.NewReader("fix"),
		length: -1,
	}
	first := b.open()
	_, err := io.ReadFull(first, make([]byte, 3))
	is.NoErr(err)
	is.True(b.replayable())
	second := b.open()
	n, _ := first.Read(make([]byte, 3))
	is.Equal(n, 0)
	whole, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(string(whole), "prefix")
	is.True(!b.replayable())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

type countWriter struct {
	n *atomic.Int64
}

func (c countWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a time limit that aborts a slow but steady body or does not abort a
// stalled one.
func TestTransferDeadline(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		bytes    int64
		expected time.Duration
	}{
		{bytes: 0, expected: transferGrace},
		{bytes: 60 * minTransferRate, expected: transferGrace + time.Minute},
		{bytes: 1 << 40, expected: time.Hour},
	} {
		p := transfer{
			start: start,
			end:   start.Add(time.Hour),
			bytes: c.bytes,
		}
		is.Equal(p.deadline().Sub(start), c.expected)
	}
}
