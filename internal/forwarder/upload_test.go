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

// Guards against a refused upload whose body was sent, so that it can't go to another
// endpoint.
func TestRefusedUpload(t *testing.T) {
	is := is.New(t)
	echo := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	s := start(t, echo, echo)
	s.nodes[0].side.Admitter.Drain()
	const size = 10 << 20
	for range 10 {
		got, err := s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil)
		is.NoErr(err)
		is.Equal(got.body, fmt.Sprint(size))
	}
	s.nodes[1].side.Admitter.Drain()
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

// Guards against an upload that waits at the only endpoint known at its arrival although
// an empty one has joined since.
func TestWaitingUploadMovesToNewEndpoint(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	busy := endpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	defer close(release)
	empty := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	s := start(t, busy, empty)
	known := func(i int) picker.Endpoint {
		return picker.Endpoint{
			ID:      fmt.Sprint(i),
			Service: "proofs",
			Address: s.nodes[i].address,
		}
	}
	s.caller.Picker.SetEndpoints("proofs", []picker.Endpoint{known(0)})
	const size = 1 << 20
	upload := func() (result, error) { return s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil) }
	for range 3 {
		go func() { _, _ = upload() }()
	}
	for s.nodes[0].side.Admitter.Load().LongInFlight < 3 {
		time.Sleep(time.Millisecond)
	}
	answered := make(chan string, 1)
	go func() {
		got, _ := upload()
		answered <- got.body
	}()
	for s.nodes[0].side.Admitter.Load().QueuedLong == 0 {
		time.Sleep(time.Millisecond)
	}
	s.caller.Picker.SetEndpoints("proofs", []picker.Endpoint{known(0), known(1)})
	select {
	case body := <-answered:
		is.Equal(body, fmt.Sprint(size))
	case <-time.After(20 * time.Second):
		t.Fatal("the upload still waits")
	}
}

// Guards against a body whose beginning a failed attempt took, so that the next attempt
// sends the remainder as if it were the whole.
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
	known := []picker.Endpoint{
		{ID: "good", Service: "proofs", Address: s.nodes[0].address},
		{ID: "broken", Service: "proofs", Address: broken},
	}
	s.caller.Picker.SetEndpoints("proofs", known)
	for range 100 {
		got, err := s.do("PUT", "/upload", io.LimitReader(zeros{}, size), nil)
		if err == nil && got.status == http.StatusOK {
			is.Equal(got.body, fmt.Sprint(size)) // never a part
		}
	}
}

// Guards against the same fault where the given-up attempt reads late, which a race
// decides between real connections.
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

// Guards against a time limit that cuts a slow but steady body or lets a stalled one
// stay.
func TestPace(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		bytes int64
		allow time.Duration
	}{
		{bytes: 0, allow: paceGrace},
		{bytes: 60 * paceRate, allow: paceGrace + time.Minute},
		{bytes: 1 << 40, allow: time.Hour},
	} {
		p := pace{
			start: start,
			end:   start.Add(time.Hour),
			bytes: c.bytes,
		}
		is.Equal(p.deadline().Sub(start), c.allow)
	}
}
