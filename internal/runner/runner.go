// Package runner builds a node from its settings and runs it.
package runner

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/administrator"
	"github.com/gentianlever/gentianlever/internal/admitter"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/drainer"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/validator"
)

const (
	// connectTimeout covers ten round trips between regions. It also bounds the delay of the
	// first calls to a lost availability zone, which took a second longer with 1 s.
	connectTimeout = 300 * time.Millisecond
	// exchangerIdleTimeout must be less than serverIdleTimeout. Otherwise a node could send a
	// request on a connection that the other node is closing.
	exchangerIdleTimeout = 30 * time.Second
	// endpointHeaderTimeout is far above the time that an endpoint needs to write a header to a
	// local connection.
	endpointHeaderTimeout = time.Second
	serverIdleTimeout     = 60 * time.Second
	readHeaderTimeout     = 10 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// connectionsPerNode limits the connections to each other node. Even with 1,500 nodes, few
	// connections are open at once, because idle ones are closed.
	connectionsPerNode = 256
	// gcPercent makes garbage collections rarer than the default of 100 does. A node needs
	// little memory, and this saves CPU time and shortens pauses. memoryLimit keeps the
	// process under its memory budget of 256 MB.
	gcPercent   = 400
	memoryLimit = 200 << 20
	// defaultSlots is the number of slots, of slots for long requests, of requests that may wait
	// in each queue, and of connections to the endpoint, until the first document is in effect.
	defaultSlots = 1
)

// Runner runs one node. Set the exported fields before Run.
type Runner struct {
	Settings *validator.Settings
	Version  string
	Log      *slog.Logger

	counters          counter.Counters
	picker            picker.Picker
	admitter          admitter.Admitter
	drainer           drainer.Drainer
	nodeExchanger     exchanger.Exchanger
	endpointExchanger exchanger.Exchanger
	controlPlane
	claims
	calls
	health
}

// Run serves until ctx ends. It then shuts down gracefully and returns once the requests in
// flight have finished.
func (n *Runner) Run(ctx context.Context) error {
	configureGC()
	n.build()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.udp.Listen(); err != nil {
		return err
	}
	n.Log.Info("node is ready", "name", n.Settings.Name, "service", n.Settings.Service, "callers", n.Settings.CallersAddress.String())
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := pool.New().WithContext(background).WithCancelOnError().WithFirstError()
	for _, l := range listeners {
		p.Go(func(context.Context) error { return l.serve() })
	}
	p.Go(n.udp.Run)
	p.Go(n.announcer.Run)
	p.Go(n.distributor.Run)
	p.Go(n.runProber)
	p.Go(n.checkAfterBreaks)
	p.Go(func(background context.Context) error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		n.shutDown(listeners)
		stop()
		return nil
	})
	return p.Wait()
}

// shutDown drains the node: it finishes the requests in flight, records the outcomes of
// claims, closes the listeners and leaves the membership.
func (n *Runner) shutDown(listeners []*listener) {
	n.Log.Info("node is draining", "name", n.Settings.Name)
	n.drainer.RefuseRequests = n.refuseNewRequests
	n.drainer.Announce = func(context.Context) { n.announcer.Drain() }
	n.drainer.OnError = func(err error) { n.Log.Warn("shutdown step failed", "error", err) }
	callers, nodes, admin := listeners[0], listeners[1], listeners[2]
	n.drainer.Close = []func(context.Context) error{callers.shutDown, n.forwardedCalls.wait}
	n.drainer.Flush = []func(context.Context) error{n.claimer.Flush}
	// Other nodes query the status of claims until the last outcome is recorded.
	n.drainer.CloseLast = []func(context.Context) error{nodes.shutDown}
	n.drainer.Run()
	n.nodeExchanger.CloseIdle()
	n.endpointExchanger.CloseIdle()
	// The administration API stays available until the other listeners are closed.
	if err := admin.shutDown(context.Background()); err != nil {
		n.Log.Warn("listener did not close", "address", admin.Addr().String(), "error", err)
	}
	n.leave()
	n.Log.Info("node has stopped", "name", n.Settings.Name)
}

// configureGC sets the garbage collector's percentage and memory limit, each unless its
// environment variable (GOGC, GOMEMLIMIT) is set.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// build sets the fields of the components and connects them. It opens no listeners.
func (n *Runner) build() {
	s := n.Settings
	n.counters.RetryReasons = retryReasons()
	n.counters.Open()
	n.drainer.Period = drainer.DefaultPeriod
	for _, e := range []*exchanger.Exchanger{&n.nodeExchanger, &n.endpointExchanger} {
		e.ConnectTimeout = connectTimeout
		e.IdleTimeout = exchangerIdleTimeout
	}
	n.nodeExchanger.MaxConnections = connectionsPerNode
	n.endpointExchanger.HeaderTimeout = endpointHeaderTimeout
	n.endpointExchanger.MaxConnections = defaultSlots
	incarnation := uint64(time.Now().UnixNano())
	n.picker = picker.Picker{
		Seed:     incarnation,
		Distance: s.Distance,
	}
	n.admitter = admitter.Admitter{
		Slots:       defaultSlots,
		LongSlots:   defaultSlots,
		QueueLength: defaultSlots,
		Incarnation: incarnation,
	}
	n.buildControlPlane(incarnation)
	n.buildClaims(incarnation)
	n.buildHealth(incarnation)
}

// documentApplied logs a document that took effect and, if it is the one of the local service,
// applies its limits.
func (n *Runner) documentApplied(c distributor.Change, d *validator.Document) {
	n.counters.Add(counter.DocumentsApplied, 1)
	n.Log.Info("document is in effect", "service", c.Service, "version", c.Version, "withdrawn", c.Withdrawn)
	if d != nil && d.Service == n.Settings.Service {
		n.admitter.Resize(d.Endpoint.Slots, d.Endpoint.LongSlots(), d.Endpoint.QueueLength)
		n.endpointExchanger.Resize(d.Endpoint.Connections)
		n.applyHealthSettings(d)
	}
}

// listener is a bound address with its HTTP server.
type listener struct {
	forwarder.FinishingListener
	server *http.Server
}

// shutDown ends the connections and stops the server.
func (l *listener) shutDown(ctx context.Context) error { return l.Shutdown(ctx, l.server) }

func (l *listener) serve() error {
	if err := l.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}

// listen binds the TCP addresses before any is served, so that a node with a wrong one does not
// start. Run binds the UDP address right after them.
func (n *Runner) listen() ([]*listener, error) {
	s := n.Settings
	token := forwarder.NodeToken(s.MembershipKey)
	endpointSide := &forwarder.EndpointSide{
		Service:          s.Service,
		Endpoint:         s.EndpointAddress,
		NodeToken:        token,
		Document:         n.distributor.Document,
		Admitter:         &n.admitter,
		Exchanger:        &n.endpointExchanger,
		Counters:         &n.counters,
		Claim:            n.claim,
		CloseConnections: n.drainer.Draining,
	}
	n.endpointExchanger.KeepAfter = endpointSide.KeepAfter
	n.setEndpointCallbacks(endpointSide)
	callerSide := n.callerSide(endpointSide)
	// shutDown relies on this order.
	bindings := []struct {
		address string
		handler http.Handler
	}{
		{
			address: s.CallersAddress.String(),
			handler: callerSide,
		},
		{
			address: s.NodesAddress.String(),
			handler: n.nodesHandler(endpointSide),
		},
		{
			address: s.AdminAddress.String(),
			handler: n.administrator(),
		},
	}
	var listeners []*listener
	for _, b := range bindings {
		l, err := net.Listen("tcp", b.address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "settings: address %s can't be bound", b.address)
		}
		listeners = append(listeners, &listener{
			FinishingListener: forwarder.FinishingListener{Listener: l},
			server: &http.Server{
				Handler:           b.handler,
				ConnState:         forwarder.TrackState,
				ReadHeaderTimeout: readHeaderTimeout,
				IdleTimeout:       serverIdleTimeout,
				MaxHeaderBytes:    maxHeaderBytes,
				// "OPTIONS *" is a request like others, and no route matches it.
				DisableGeneralOptionsHandler: true,
			},
		})
	}
	listeners[0].Listener = n.checkFraming(listeners[0].Listener)
	return listeners, nil
}

// administrator returns the handler of the administration API.
func (n *Runner) administrator() http.Handler {
	a := &administrator.Administrator{
		Owners:   n.Settings.Owners,
		Counters: &n.counters,
		Apply:    n.distributor.Apply,
		Current:  n.distributor.Current,
		Status:   n.status,
		History:  n.distributor.History,
	}
	return a.Handler()
}
