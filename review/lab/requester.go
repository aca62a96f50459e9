package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a requester got.
type Answer struct {
	ID     string
	Status int
	Seal   string
	Body   string
	// Err is set if the answer is not complete or there is none.
	Err error
}

// Connection is a requester's connection to its node.
type Connection struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{
		Conn:   c,
		reader: bufio.NewReader(c),
	}, nil
}

// Send sends a request on the connection and reads its answer.
func (c *Connection) Send(id, method, target string, budget time.Duration, length int64, body io.Reader) Answer {
	a := Answer{ID: id}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Gentianlever-Mesh-Request-Id: %s\r\nX-Gentianlever-Mesh-Deadline-Ms: %d\r\n",
		method, target, Host, id, budget.Milliseconds())
	if length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	_ = c.SetDeadline(time.Now().Add(budget + 2*time.Second))
	if _, a.Err = io.WriteString(c, head+"\r\n"); a.Err != nil {
		return a
	}
	if length > 0 {
		if _, a.Err = io.CopyN(struct{ io.Writer }{c.Conn}, body, length); a.Err != nil {
			return a
		}
	}
	r, _ := http.NewRequest(method, "http://"+Host+"/", nil)
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		a.Err = err
		return a
	}
	content, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err = resp.StatusCode, resp.Header.Get("X-Gentianlever-Mesh-Server-Seal"), string(content), err
	return a
}

// String describes an answer in one line.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer (%s)", strings.ReplaceAll(a.Err.Error(), "\n", " "))
	}
	return fmt.Sprintf("status %d, seal %q, body of %d bytes", a.Status, a.Seal, len(a.Body))
}

// Filler is a reader of zero bytes without an end.
type Filler struct{}

// Read fills p.
func (Filler) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
