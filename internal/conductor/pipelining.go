package conductor

import (
	"cmp"
	"net"
	"net/http"

	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/pipeliner"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// acceptPipelined puts the pipeliner between the listener of the callers and its server, if the
// settings enable it. framing is the listener that checks the framing of the requests.
func (n *Conductor) acceptPipelined(l *listener, framing *forwarder.FramingListener) {
	if n.Settings.PipelinedRequests == 0 {
		return
	}
	framing.SplitRequests = true
	n.pipeliner = pipeliner.Pipeliner{
		Handler:     l.server.Handler,
		Describe:    n.callers.Ahead,
		Stopping:    n.shuttingDown.Load,
		MaxRequests: n.Settings.PipelinedRequests,
		MaxBytes:    cmp.Or(n.Settings.PipelinedMemory, validator.DefaultPipelinedMemory),
	}
	l.Listener = n.pipeliner.Listener(framing)
	l.server.Handler = &n.pipeliner
	l.server.ConnContext = pipeliner.ConnContext
	l.server.ConnState = func(conn net.Conn, state http.ConnState) {
		forwarder.TrackState(conn, state)
		pipeliner.TrackState(conn, state)
	}
}
