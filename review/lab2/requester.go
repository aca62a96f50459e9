package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record writes the record of a case.
type record struct {
	mu      sync.Mutex
	w       *bufio.Writer
	file    *os.File
	started time.Time
}

func openRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{
		w:       bufio.NewWriter(f),
		file:    f,
		started: time.Now(),
	}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// request is one requester attempt.
type request struct {
	to     string
	method string
	path   string
	// budget is the time that the requester waits.
	budget time.Duration
	body   io.Reader
	length int64
}

// outcome is what the requester has seen.
type outcome struct {
	id     string
	sent   time.Time
	closed time.Time
	status int
	sealed bool
	err    error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// connection is a kept connection of a requester.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(to string) (*connection, error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:   c,
		reader: bufio.NewReader(c),
	}, nil
}

// do sends a request on a connection and reads the answer. When ctx ends, it closes the connection.
func (c *connection) do(ctx context.Context, rec *record, q request) outcome {
	o := outcome{
		id:   newID(),
		sent: time.Now(),
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(o.sent.Add(q.budget))
	rec.line("sent %s %s %s, %d bytes, to %s", o.id, q.method, q.path, q.length, q.to)
	head := q.method + " " + q.path + " HTTP/1.1\r\nHost: studio.example\r\n" +
		prefix + "Request-Id: " + o.id + "\r\n" +
		prefix + "Deadline-Ms: " + strconv.FormatInt(q.budget.Milliseconds(), 10) + "\r\n"
	if q.method == http.MethodPost {
		head += "Content-Length: " + strconv.FormatInt(q.length, 10) + "\r\n"
	}
	b := bytes.NewBufferString(head + "\r\n")
	if q.body != nil && q.length <= 1<<20 {
		_, _ = io.Copy(b, q.body)
	}
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(b.Bytes())
		if err == nil && q.body != nil && q.length > 1<<20 {
			_, err = io.Copy(c.Conn, q.body)
		}
		sent <- err
	}()
	o.err = c.read(&o)
	if o.err != nil {
		_ = c.Close()
	}
	<-sent
	o.closed = time.Now()
	rec.line("answered %s: status %d, sealed %t, error %v", o.id, o.status, o.sealed, o.err)
	return o
}

func (c *connection) read(o *outcome) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	o.status, o.sealed = resp.StatusCode, resp.Header.Get(prefix+"Server-Seal") != ""
	if err == nil && resp.Header.Get(prefix+"Request-Id") != o.id {
		err = errors.New("the answer belongs to another request")
	}
	if resp.Close {
		_ = c.Close()
	}
	return err
}

// outcomes collects what requesters have seen.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (x *outcomes) add(o outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.all = append(x.all, o)
}

// once sends a request on a connection of its own.
func (n *node) once(ctx context.Context, q request) (outcome, error) {
	c, err := dial(n.at(portCallers))
	if err != nil {
		n.lab.rec.line("a requester can't connect to %s: %v", n.name, err)
		return outcome{}, err
	}
	defer func() { _ = c.Close() }()
	q.to = n.name
	return c.do(ctx, n.lab.rec, q), nil
}

// signoff returns a sign-off with a small body.
func signoff(budget time.Duration) request {
	return request{
		method: http.MethodPost,
		path:   "/signoff/1",
		budget: budget,
		body:   zeros(signoffBytes),
		length: signoffBytes,
	}
}

// signoffBytes is the mean size of a sign-off on the small sites.
const signoffBytes = 300

// zeros is a body of the given length.
func zeros(n int64) io.Reader { return io.LimitReader(zeroReader{}, n) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
