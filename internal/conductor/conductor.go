// Package conductor builds a node that serves a routing table from the platform's store,
// and runs it.
package conductor

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/follower"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
	"github.com/gentianlever/gentianlever/platform"
)

const (
	// connectTimeout is a hundred round trips between availability zones.
	connectTimeout = 300 * time.Millisecond
	// endpointIdle is used where an endpoint does not state its own timeout.
	endpointIdle = 5 * time.Second
	// nodeIdle is less than serverIdle, so that a node never sends a request on a
	// connection that the other node is closing.
	nodeIdle   = 30 * time.Second
	serverIdle = 60 * time.Second
	// callersIdle is above any idle timeout that callers are known to use, so that the
	// node does not close a connection on which a caller is about to send.
	callersIdle = 2 * time.Minute
	// keepAlive shows within three of it that a connection has gone silent.
	keepAlive         = time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// connectionsPerNode bounds the connections to one other node.
	connectionsPerNode = 256
	// defaultConnections bounds the connections to the endpoint before a routing table
	// states how many it accepts.
	defaultConnections = 16
	// zoneDistance is the round trip between availability zones of a region, and
	// regionDistance that between regions.
	zoneDistance   = 2 * time.Millisecond
	regionDistance = 60 * time.Millisecond
)

// Conductor is one node. Set the exported fields before Run.
type Conductor struct {
	Settings *validator.Sidecar
	Log      *slog.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
	// Reload yields new settings after each change of them; it may be nil.
	Reload <-chan *validator.Sidecar

	incarnation uint64
	meter       meter.Meter
	// stopping is set from the signal to stop on, and closing once the endpoint gets no
	// more requests.
	stopping    atomic.Bool
	closing     atomic.Bool
	storeLost   atomic.Bool
	bounds      atomic.Pointer[validator.Bounds]
	dialect     relayer.Dialect
	store       platform.Store
	table       storer.Table
	follower    follower.Follower
	registrar   registrar.Registrar
	splitter    router.Splitter
	budget      budgeter.Budgeter
	view        relayer.View
	toNodes     exchanger.Exchanger
	toEndpoint  exchanger.Exchanger
	callers     relayer.CallerSide
	endpoint    relayer.EndpointSide
	loads       relayer.Loads
	watcher     relayer.Watcher
	quarantiner quarantiner.Quarantiner
	membership
	departures
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Conductor) Run(ctx context.Context) error {
	if err := n.meter.Open(); err != nil {
		return err
	}
	defer func() { _ = n.meter.Close() }() // the process ends with it
	n.build()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.Log.Info(recorder.NodeStarted, "node", n.Settings.Name, "service", n.Settings.Service,
		"zone", n.Settings.AvailabilityZone, "incarnation", n.incarnation, "callers", n.Settings.CallersAddress)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := pool.New().WithContext(background).WithCancelOnError().WithFirstError()
	for _, l := range listeners.all() {
		p.Go(func(context.Context) error { return l.serve() })
	}
	p.Go(n.follower.Run)
	p.Go(n.runMembership)
	p.Go(n.restoreDepartures)
	p.Go(n.watchSlowness)
	p.Go(n.watchSettings)
	p.Go(n.updateGauges)
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

func (n *Conductor) build() {
	s := n.Settings
	n.builtAt = time.Now()
	n.incarnation = uint64(n.builtAt.UnixNano())
	n.bounds.Store(&s.Bounds)
	n.dialect = platform.Dialect()
	n.store.Address = s.StoreAddress
	n.store.Called = n.storeCalled
	n.store.Open()
	n.table = n.store.Table()
	n.buildExchangers()
	n.registrar.Service = s.Service
	n.registrar.Address = s.EndpointAddress
	n.registrar.Changed = n.endpointChanged
	n.follower.Read = n.store.ReadTable
	n.follower.Wait = n.store.WaitTable
	n.follower.Fetch = n.fetchTable
	n.follower.Decode = platform.DecodeTable
	n.follower.Active = n.followsStore
	n.follower.Applied = n.tableApplied
	n.follower.Failed = n.followFailed
	n.budget = budgeter.Budgeter{
		Ratio:  s.Bounds.RetryRatio,
		Slack:  s.Bounds.RetrySlack,
		Window: s.Bounds.RetryWindow,
		Nodes:  n.nodeCount,
	}
	n.buildSides()
	n.buildMembership()
	n.buildQuarantine()
}

func (n *Conductor) buildExchangers() {
	for _, e := range []*exchanger.Exchanger{&n.toNodes, &n.toEndpoint} {
		e.ConnectTimeout = connectTimeout
		e.KeepAlive = keepAlive
	}
	n.toNodes.IdleTimeout = nodeIdle
	n.toNodes.MaxConnections = connectionsPerNode
	n.toEndpoint.IdleTimeout = endpointIdle
	n.toEndpoint.MaxConnections = defaultConnections
	n.toEndpoint.Unframed = true
	n.toEndpoint.Matches = n.dialect.Matches
}

func (n *Conductor) buildSides() {
	s := n.Settings
	token := forwarder.NodeToken(s.MembershipKey)
	n.endpoint = relayer.EndpointSide{
		Dialect:      &n.dialect,
		NodeToken:    token,
		Service:      s.Service,
		Address:      s.EndpointAddress,
		Incarnation:  n.incarnation,
		Endpoint:     n.knownEndpoint,
		Exchanger:    &n.toEndpoint,
		Stopping:     n.closing.Load,
		HealthPath:   n.healthPath,
		MaxBodyBytes: n.maxBodyBytes,
		Observed:     n.observed,
		Probed:       n.probed,
		LoadChanged:  n.loads.Changed,
		Heard:        n.loads.Heard,
		Begin:        n.beginRequest,
		Ended:        n.endRequest,
	}
	n.loads = relayer.Loads{
		Address: s.LoadAddress,
		Key:     s.MembershipKey,
		Node:    s.Name,
		Load:    n.endpoint.Load,
		Received: func(node string, load reporter.Load) {
			n.view.Report(node, load, time.Now())
		},
	}
	n.watcher = relayer.Watcher{
		View:     &n.view,
		Ask:      n.loads.Ask,
		Observed: n.contactChanged,
	}
	n.callers = relayer.CallerSide{
		Dialect:   &n.dialect,
		NodeToken: token,
		Node:      s.Name,
		Service:   s.Service,
		Parent:    n.endpoint.Parent,
		Called:    n.endpoint.Called,
		Table:     n.follower.Table,
		Splitter:  &n.splitter,
		View:      &n.view,
		Budget:    &n.budget,
		Exchanger: &n.toNodes,
		Local:     n.endpoint.Run,
		LocalLoad: n.endpoint.Load,
		Distance:  n.distance,
		Closing:   n.stopping.Load,
		Observed:  n.observed,
		Seed:      n.incarnation,
	}
}

// contactChanged logs that a peer's node has turned silent or is heard again.
func (n *Conductor) contactChanged(p relayer.Peer, silent bool) {
	event := recorder.NodeHeard
	if silent {
		event = recorder.NodeSilent
	}
	n.Log.Info(event, "peer", p.ID, "incarnation", p.Incarnation, "address", p.Address.String())
}

// distance returns the round trip to an availability zone.
func (n *Conductor) distance(zone string) time.Duration {
	switch {
	case zone == n.Settings.AvailabilityZone:
		return 0
	case n.Settings.Region(zone) == n.Settings.Region(n.Settings.AvailabilityZone):
		return zoneDistance
	}
	return regionDistance
}

func (n *Conductor) maxBodyBytes() int64 {
	if t := n.follower.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return relayer.DefaultBodyBytes
}

// tableApplied puts the limits of the node's own service in force and tells the members.
func (n *Conductor) tableApplied(v *follower.Version, source string) {
	n.Log.Info(recorder.TableApplied, "version", v.Table.Version, "source", source, "routes", len(v.Table.Routes))
	if service, ok := v.Table.Services[n.Settings.Service]; ok && service.MaxConnections > 0 {
		n.toEndpoint.Resize(service.MaxConnections)
	}
	n.announceTable(v.Table.Version)
}

func (n *Conductor) followFailed(operation string, err error) {
	if err != nil {
		n.Log.Warn(recorder.TableUnavailable, "operation", operation, "version", n.follower.Revision(), "error", err.Error())
		return
	}
	n.Log.Info(recorder.TableAvailable, "operation", operation, "version", n.follower.Revision())
}

func (n *Conductor) ready() bool {
	return !n.stopping.Load() && n.follower.Table() != nil && n.joined()
}

// watchSettings puts changed settings in force as far as they may change while a node runs.
func (n *Conductor) watchSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s, ok := <-n.Reload:
			if !ok {
				return nil
			}
			n.bounds.Store(&s.Bounds)
			n.budget.Resize(s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow)
			n.store.Move(s.StoreAddress)
			n.Log.Info(recorder.SettingsReloaded, "store", s.StoreAddress, "grace", s.Bounds.Grace.String(),
				"retry-ratio", s.Bounds.RetryRatio, "retry-slack", s.Bounds.RetrySlack)
		}
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

type listeners struct {
	callers *listener
	nodes   *listener
	ready   *listener
	reports *listener
	metrics *listener
}

func (l *listeners) all() []*listener {
	return []*listener{l.callers, l.nodes, l.ready, l.reports, l.metrics}
}

// listen binds every address, so that a node with a wrong one does not start.
func (n *Conductor) listen() (*listeners, error) {
	s := n.Settings
	var l listeners
	reports := &platform.Reports{
		Report:   n.report,
		Leave:    n.leave,
		Rejected: n.reportRejected,
	}
	for _, b := range []struct {
		place   **listener
		address netip.AddrPort
		handler http.Handler
		idle    time.Duration
	}{
		{
			place:   &l.callers,
			address: s.CallersAddress,
			handler: &n.callers,
			idle:    callersIdle,
		},
		{
			place:   &l.nodes,
			address: s.NodesAddress,
			handler: n.nodesHandler(),
			idle:    serverIdle,
		},
		{
			place:   &l.ready,
			address: s.ReadyAddress,
			handler: platform.Ready(n.ready),
			idle:    serverIdle,
		},
		{
			place:   &l.reports,
			address: s.ReportsAddress,
			handler: reports.Handler(),
			idle:    serverIdle,
		},
		{
			place:   &l.metrics,
			address: s.MetricsAddress,
			handler: n.meter.Handler(),
			idle:    serverIdle,
		},
	} {
		bound, err := net.Listen("tcp", b.address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "settings: address %s can't be bound", b.address)
		}
		*b.place = &listener{
			Listener: bound,
			server: &http.Server{
				Handler:           b.handler,
				ReadHeaderTimeout: readHeaderTimeout,
				IdleTimeout:       b.idle,
				MaxHeaderBytes:    maxHeaderBytes,
			},
		}
	}
	l.callers.Listener = &forwarder.FramingListener{
		Listener: l.callers.Listener,
		Refused:  func() { n.Log.Warn(recorder.RequestMalformed, "reason", "framing") },
	}
	return &l, nil
}
