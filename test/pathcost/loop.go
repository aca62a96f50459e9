package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const request = "GET /proofs/1 HTTP/1.1\r\nHost: proofs.irbid.example\r\n\r\n"

// client is one connection that carries one request at a time.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(to netip.AddrPort) (*client, error) {
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &client{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// call sends one request and returns the time until its response was complete.
func (c *client) call() (time.Duration, error) {
	start := time.Now()
	if _, err := io.WriteString(c.conn, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d, reason %s", resp.StatusCode, resp.Header.Get("Gentianlever-Refused"))
	}
	return time.Since(start), nil
}

// samples are the latencies that one worker measured.
type samples struct {
	direct, nodes []time.Duration
}

// loop alternates direct calls and calls through the nodes on each of a number of
// workers and returns the sorted latencies.
func loop(endpoint, callers netip.AddrPort, workers int, d time.Duration) (direct, nodes []time.Duration, err error) {
	p := pool.NewWithResults[samples]().WithErrors()
	end := time.Now().Add(d)
	for range workers {
		p.Go(func() (samples, error) { return work(endpoint, callers, end) })
	}
	results, err := p.Wait()
	for _, s := range results {
		direct = append(direct, s.direct...)
		nodes = append(nodes, s.nodes...)
	}
	if err == nil && len(nodes) == 0 {
		err = fmt.Errorf("no call ended within %s", d)
	}
	slices.Sort(direct)
	slices.Sort(nodes)
	return direct, nodes, err
}

func work(endpoint, callers netip.AddrPort, end time.Time) (samples, error) {
	var s samples
	a, err := dial(endpoint)
	if err != nil {
		return s, err
	}
	defer func() { _ = a.conn.Close() }()
	b, err := dial(callers)
	if err != nil {
		return s, err
	}
	defer func() { _ = b.conn.Close() }()
	for time.Now().Before(end) {
		direct, err := a.call()
		if err != nil {
			return s, err
		}
		nodes, err := b.call()
		if err != nil {
			return s, err
		}
		s.direct = append(s.direct, direct)
		s.nodes = append(s.nodes, nodes)
	}
	return s, nil
}
