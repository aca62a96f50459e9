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
	// connectTimeout is ten round trips between regions. With 1 s, the calls that met a
	// lost availability zone first took a second longer.
	connectTimeout = 300 * time.Millisecond
	// exchangerIdle is less than serverIdle, so that a node never sends a request on
	// a connection that the other node is closing.
	exchangerIdle     = 30 * time.Second
	serverIdle        = 60 * time.Second
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// connectionsPerNode bounds the connections to one other node. With 1,500 nodes few are
	// open at once, because idle ones are closed.
	connectionsPerNode = 256
	// garbagePercent trades memory, of which a node needs little, for processor time
	// and shorter pauses; memoryLimit keeps the total under the budget of 256 MB.
	garbagePercent = 400
	memoryLimit    = 200 << 20
	// defaultSlots serve until the first document is in force.
	defaultSlots = 1
)

// Runner is one node. Set the exported fields before Run.
type Runner struct {
	Settings *validator.Settings
	Version  string
	Log      *slog.Logger

	counters   counter.Counters
	picker     picker.Picker
	admitter   admitter.Admitter
	drainer    drainer.Drainer
	toNodes    exchanger.Exchanger
	toEndpoint exchanger.Exchanger
	control
	claims
	calls
	health
}

// Run serves until ctx ends and then shuts down gracefully: requests in flight are
// finished first.
func (n *Runner) Run(ctx context.Context) error {
	limitMemory()
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
	p.Go(n.watchHealth)
	p.Go(n.watchBreaks)
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

// shutDown finishes the requests in flight before it returns.
func (n *Runner) shutDown(listeners []*listener) {
	n.Log.Info("node is draining", "name", n.Settings.Name)
	n.drainer.Mark = n.stopWork
	n.drainer.Announce = func(context.Context) { n.announcer.Drain() }
	n.drainer.Failed = func(err error) { n.Log.Warn("shutdown step failed", "error", err) }
	callers, nodes, admin := listeners[0], listeners[1], listeners[2]
	n.drainer.Close = []func(context.Context) error{callers.server.Shutdown, n.forwarded.wait}
	n.drainer.Flush = []func(context.Context) error{n.claimer.Flush}
	// Other nodes ask for the status of claims until the last one is recorded.
	n.drainer.CloseLast = []func(context.Context) error{nodes.server.Shutdown}
	n.drainer.Run()
	n.toNodes.CloseIdle()
	n.toEndpoint.CloseIdle()
	// The status stays readable until everything else is done.
	if err := admin.server.Shutdown(context.Background()); err != nil {
		n.Log.Warn("listener did not close", "address", admin.Addr().String(), "error", err)
	}
	n.leave()
	n.Log.Info("node has stopped", "name", n.Settings.Name)
}

// limitMemory sets the garbage collector, where the environment does not.
func limitMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbagePercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

func (n *Runner) build() {
	s := n.Settings
	n.counters.RetryReasons = retryReasons()
	n.counters.Open()
	n.drainer.Period = drainer.DefaultPeriod
	for _, e := range []*exchanger.Exchanger{&n.toNodes, &n.toEndpoint} {
		e.ConnectTimeout = connectTimeout
		e.IdleTimeout = exchangerIdle
	}
	n.toNodes.MaxConnections = connectionsPerNode
	n.toEndpoint.MaxConnections = defaultSlots
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
	n.buildControl(incarnation)
	n.buildClaims(incarnation)
	n.buildHealth(incarnation)
}

// documentApplied puts the limits of the node's own service in force.
func (n *Runner) documentApplied(c distributor.Change, d *validator.Document) {
	n.counters.Add(counter.DocumentsApplied, 1)
	n.Log.Info("document is in force", "service", c.Service, "version", c.Version, "withdrawn", c.Withdrawn)
	if d != nil && d.Service == n.Settings.Service {
		n.admitter.Resize(d.Endpoint.Slots, d.Endpoint.LongSlots(), d.Endpoint.QueueLength)
		n.toEndpoint.Resize(d.Endpoint.Connections)
		n.resizeHealth(d)
	}
}

type listener struct {
	net.Listener
	server *http.Server
}

func (l *listener) serve() error {
	if err := l.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", l.Addr())
	}
	return nil
}

// listen binds every address, so that a node with a wrong one does not start.
func (n *Runner) listen() ([]*listener, error) {
	s := n.Settings
	token := forwarder.NodeToken(s.MembershipKey)
	endpointSide := &forwarder.EndpointSide{
		Service:   s.Service,
		Endpoint:  s.EndpointAddress,
		NodeToken: token,
		Document:  n.distributor.Document,
		Admitter:  &n.admitter,
		Exchanger: &n.toEndpoint,
		Counters:  &n.counters,
		Claim:     n.claim,
		Closing:   n.drainer.Draining,
	}
	n.watchEndpoint(endpointSide)
	callerSide := n.callerSide(endpointSide)
	// shutDown closes the listeners by their position here.
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
			Listener: l,
			server: &http.Server{
				Handler:           b.handler,
				ReadHeaderTimeout: readHeaderTimeout,
				IdleTimeout:       serverIdle,
				MaxHeaderBytes:    maxHeaderBytes,
			},
		})
	}
	listeners[0].Listener = n.framed(listeners[0].Listener)
	return listeners, nil
}

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
