// Command upstream is an upstream of an upload service as a process of its own. It may answer before
// it has read a long body and reads on later; its answer has no length and ends with the connection.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"review/lab"
)

const (
	// work is the time between the two halves of an answer.
	work = 600 * time.Millisecond
	// window is the receive buffer of a connection.
	window = 64 << 10
)

func main() {
	u := &lab.Upstream{OnAccept: func(c *net.TCPConn) { _ = c.SetReadBuffer(window) }}
	flag.StringVar(&u.ID, "id", "", "id")
	flag.StringVar(&u.Service, "service", "", "service")
	flag.StringVar(&u.Zone, "zone", "", "zone")
	flag.StringVar(&u.Address, "address", "", "address")
	flag.StringVar(&u.Reports, "reports", "", "control address of the node")
	flag.IntVar(&u.Slots, "slots", 12, "slots")
	flag.Parse()
	u.Answer = func(c *net.TCPConn, body io.Reader, r *lab.Request) bool {
		if _, err := io.CopyN(io.Discard, body, 4096); err != nil {
			return false
		}
		fmt.Printf("%d runs %s\n", time.Now().UnixNano(), r.ID())
		whole := Body(r.ID())
		_, _ = io.WriteString(c, u.Head(r)+"\r\n"+whole[:len(whole)/2])
		time.Sleep(work)
		if _, err := io.Copy(io.Discard, body); err != nil {
			return false
		}
		_, _ = io.WriteString(c, whole[len(whole)/2:])
		fmt.Printf("%d ends %s\n", time.Now().UnixNano(), r.ID())
		return false
	}
	if err := u.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	select {}
}

// Body returns the whole body of the answer to a request.
func Body(id string) string {
	return "begin " + id + " " + strings.Repeat(".", 2000) + " end " + id
}
