package relayer

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/router"
)

// Guards against a part of an endless response of another node that is passed on as complete.
func TestEndlessResponseOfNodeIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Seal", "seal")
		for err := error(nil); err == nil; {
			_, err = w.Write(make([]byte, 64<<10))
		}
	}))
	defer server.Close()
	c := newTestCaller(t, router.AtMostOnce)
	c.Node = "b"
	node := peer("a", 1, false)
	node.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	c.View.SetPeers([]Peer{node})
	c.Exchanger = &exchanger.Exchanger{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
		MaxBodyBytes:   collector.MaxBodyBytes,
	}
	w := c.send(http.MethodGet, "/view/1", "")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Body.Len(), 0)
}
