package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request as an upstream reads it from its connection.
type Request struct {
	Method string
	Target string
	// Header holds the values by the names in lower case.
	Header map[string]string
	Length int64
}

// ID returns the request's id.
func (r *Request) ID() string { return r.Header["x-gentianlever-mesh-request-id"] }

// Upstream is an application upstream. Set the fields before Start.
type Upstream struct {
	ID      string
	Service string
	Zone    string
	Address string
	// Reports is the control address of the node beside it.
	Reports string
	Slots   int
	// Answer runs a request and answers it. It returns whether the connection is kept.
	Answer func(c *net.TCPConn, body io.Reader, r *Request) bool
	// OnAccept may change an accepted connection; nil changes nothing.
	OnAccept func(c *net.TCPConn)

	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	left     atomic.Bool
	listener net.Listener
	stopped  chan struct{}
}

// Start serves requests and sends status reports until Stop.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	u.listener, u.born, u.stopped = l, time.Now().UnixMilli(), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	go u.report()
	return nil
}

// Stop ends the upstream.
func (u *Upstream) Stop() {
	close(u.stopped)
	_ = u.listener.Close()
}

// report sends a status report every 1.5 s until the upstream leaves or is stopped.
func (u *Upstream) report() {
	for !u.left.Load() {
		wait := 1500 * time.Millisecond
		if status, err := u.post("heartbeat", u.Status()); err != nil || status != http.StatusOK {
			wait = 200 * time.Millisecond
		}
		select {
		case <-u.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// Status returns the next status report.
func (u *Upstream) Status() map[string]any {
	return map[string]any{
		"service":          u.Service,
		"address":          u.Address,
		"zone":             u.Zone,
		"version":          "v1",
		"slots":            u.Slots,
		"state":            "ready",
		"cold_remaining_s": 0,
		"sequence":         u.sequence.Add(1),
		"born":             u.born,
	}
}

// Deliver sends a status report, which may be late.
func (u *Upstream) Deliver(status map[string]any) (int, error) { return u.post("heartbeat", status) }

// Leave tells the node that the upstream leaves. It sends no status report any more.
func (u *Upstream) Leave() (int, error) {
	u.left.Store(true)
	return u.post("leave", map[string]any{"born": u.born})
}

func (u *Upstream) post(call string, content map[string]any) (int, error) {
	body, _ := json.Marshal(content)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+u.Reports+"/gentianlever/rpc?call=instances."+call+"&of="+u.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Load returns the value of X-Gentianlever-Mesh-Load.
func (u *Upstream) Load() string { return fmt.Sprintf("%d,0,%d,100", u.running.Load(), u.Slots) }

// Head returns the head of a sealed answer without a length.
func (u *Upstream) Head(r *Request) string {
	return "HTTP/1.1 200 OK\r\nX-Gentianlever-Mesh-Request-Id: " + r.ID() +
		"\r\nX-Gentianlever-Mesh-Server-Seal: seal-" + r.ID() +
		"\r\nX-Gentianlever-Mesh-Load: " + u.Load() + "\r\n"
}

// Whole writes a whole answer with its length.
func (u *Upstream) Whole(c net.Conn, r *Request, body string) bool {
	_, err := io.WriteString(c, u.Head(r)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

func (u *Upstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if u.OnAccept != nil {
		u.OnAccept(c)
	}
	reader := bufio.NewReaderSize(c, 4096)
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		status := ""
		switch expected := r.Header["x-gentianlever-mesh-expect-instance"]; {
		case r.Target == "/health" && r.ID() == "":
			status = "200 OK"
		case r.ID() == "":
			status = "400 Bad Request\r\nX-Gentianlever-Mesh-Not-Run: 1"
		case expected != "" && expected != u.ID:
			status = "421 Misdirected Request"
		}
		if status == "" && u.running.Add(1) > int64(u.Slots) {
			u.running.Add(-1)
			status = "503 Service Unavailable\r\nX-Gentianlever-Mesh-Not-Run: 1"
		}
		body := io.LimitReader(reader, r.Length)
		if status != "" {
			_, _ = io.Copy(io.Discard, body)
			_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Gentianlever-Mesh-Instance: %s\r\nX-Gentianlever-Mesh-Request-Id: %s\r\n"+
				"X-Gentianlever-Mesh-Load: %s\r\nContent-Length: 0\r\n\r\n", status, u.ID, r.ID(), u.Load())
			if err != nil {
				return
			}
			continue
		}
		keep := u.Answer(c, body, r)
		u.running.Add(-1)
		if !keep {
			return
		}
	}
}

func readRequest(reader *bufio.Reader) (*Request, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if len(words) != 3 {
		return nil, fmt.Errorf("request line %q", line)
	}
	r := &Request{
		Method: words[0],
		Target: words[1],
		Header: map[string]string{},
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		r.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	r.Length, _ = strconv.ParseInt(r.Header["content-length"], 10, 64)
	return r, nil
}
