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

// request is sent on each call; the connection is kept open.
const request = "GET /proofs/1 HTTP/1.1\r\nHost: proofs.irbid.example\r\n\r\n"

// client sends one request at a time over its own connection.
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

// call sends a request and returns the time until the complete response has arrived.
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

// samples holds the latencies that a worker measured, of direct calls and of calls through
// the nodes.
type samples struct {
	direct, nodes []time.Duration
}

// runClosedLoop runs workers for a duration. Each alternates direct calls and calls through
// the nodes, one at a time. It returns the sorted latencies of both kinds.
func runClosedLoop(endpoint, callers netip.AddrPort, workers int, d time.Duration) (direct, nodes []time.Duration, err error) {
	p := pool.NewWithResults[samples]().WithErrors()
	end := time.Now().Add(d)
	for range workers {
		p.Go(func() (samples, error) { return runWorker(endpoint, callers, end) })
	}
	results, err := p.Wait()
	for _, s := range results {
		direct = append(direct, s.direct...)
		nodes = append(nodes, s.nodes...)
	}
	if err == nil && len(nodes) == 0 {
		err = fmt.Errorf("no call completed within %s", d)
	}
	slices.Sort(direct)
	slices.Sort(nodes)
	return direct, nodes, err
}

// runWorker alternates direct calls and calls through the nodes until end.
func runWorker(endpoint, callers netip.AddrPort, end time.Time) (samples, error) {
	var s samples
	directClient, err := dial(endpoint)
	if err != nil {
		return s, err
	}
	defer func() { _ = directClient.conn.Close() }()
	nodesClient, err := dial(callers)
	if err != nil {
		return s, err
	}
	defer func() { _ = nodesClient.conn.Close() }()
	for time.Now().Before(end) {
		direct, err := directClient.call()
		if err != nil {
			return s, err
		}
		nodes, err := nodesClient.call()
		if err != nil {
			return s, err
		}
		s.direct = append(s.direct, direct)
		s.nodes = append(s.nodes, nodes)
	}
	return s, nil
}
