// Package conductor builds and runs a sidecar: a node that takes its routing table from the
// platform's store.
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

	"github.com/gentianlever/gentianlever/internal/archiver"
	"github.com/gentianlever/gentianlever/internal/budgeter"
	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/evacuator"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/follower"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/pipeliner"
	"github.com/gentianlever/gentianlever/internal/quarantiner"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/replicator"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/restorer"
	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
	"github.com/gentianlever/gentianlever/platform"
)

const (
	// connectTimeout is 150 round trips between availability zones, or five between regions.
	connectTimeout = 300 * time.Millisecond
	// endpointIdleTimeout is the longest idle time of connections to the endpoint. A shorter
	// one applies if the endpoint's Keep-Alive header requires it.
	endpointIdleTimeout = 5 * time.Second
	// nodeIdleTimeout must be less than serverIdleTimeout. Otherwise a node could send a
	// request on a connection that the other node is closing.
	nodeIdleTimeout   = 30 * time.Second
	serverIdleTimeout = 60 * time.Second
	// callerIdleTimeout exceeds every idle timeout that callers are known to use, so that the
	// node does not close a connection on which a caller is about to send a request.
	callerIdleTimeout = 2 * time.Minute
	// endpointHeaderTimeout is far above the time that an endpoint needs to write a header to a
	// local connection. nodeHeaderTimeout also allows for lost packets.
	endpointHeaderTimeout = time.Second
	nodeHeaderTimeout     = 5 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes. An unresponsive peer is
	// detected within three intervals.
	keepAliveInterval = time.Second
	readHeaderTimeout = 10 * time.Second
	// MaxHeaderBytes limits the header of a request from a caller where the routing table sets no lower
	// limit, and that of a request from another node.
	MaxHeaderBytes = 64 << 10
	// connectionsPerNode limits the connections to each other node.
	connectionsPerNode = 256
	// defaultConnections limits the connections to the endpoint until a routing table sets
	// the limit.
	defaultConnections = 16
	// zoneRoundTrip is the round-trip time between availability zones of one region, and
	// regionRoundTrip the round-trip time between regions.
	zoneRoundTrip   = 2 * time.Millisecond
	regionRoundTrip = 60 * time.Millisecond
	// remoteLoadShare is the share of the VM's link that load messages to other availability zones
	// may use. At 10 Mbit/s it allows 18 messages a second.
	remoteLoadShare = 1.0 / 400
	bytesPerMegabit = 1e6 / 8
)

// Conductor runs one sidecar. Set the exported fields before Run.
type Conductor struct {
	Settings *validator.SidecarSettings
	Log      *slog.Logger
	// Dropped returns the number of log lines dropped since the start.
	Dropped func() int64
	// Reload delivers the settings after each change; it may be nil.
	Reload <-chan *validator.SidecarSettings

	startedAt   time.Time
	incarnation uint64
	meter       meter.Meter
	// shuttingDown is set when the shutdown begins. endpointClosed is set later, when the
	// endpoint stops receiving requests.
	shuttingDown   atomic.Bool
	endpointClosed atomic.Bool
	// callersClosed is set when the listeners begin to close.
	callersClosed atomic.Bool
	// storeFailedAt is the time of the last call to the store, in nanoseconds since the Unix epoch, if
	// that call failed, else zero.
	storeFailedAt     atomic.Int64
	operatorLimits    atomic.Pointer[validator.OperatorLimits]
	dialect           relayer.Dialect
	store             platform.Store
	table             storer.Table
	follower          follower.Follower
	registrar         registrar.Registrar
	splitter          router.Splitter
	budget            budgeter.Budgeter
	view              relayer.View
	nodeExchanger     exchanger.Exchanger
	endpointExchanger exchanger.Exchanger
	callers           relayer.CallerSide
	endpoint          relayer.EndpointSide
	loadExchange      relayer.LoadExchange
	livenessMonitor   relayer.LivenessMonitor
	requestBodies     collector.Requests
	relay             relayer.Relay
	quarantiner       quarantiner.Quarantiner
	quotas            quotas
	restorer          restorer.Restorer
	pipeliner         pipeliner.Pipeliner
	evacuator         evacuator.Evacuator
	spreader          evacuator.Spreader
	replicator        replicator.Replicator
	archiver          archiver.Archiver
	membership
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Conductor) Run(ctx context.Context) error {
	if err := n.meter.Open(); err != nil {
		return err
	}
	defer func() { _ = n.meter.Close() }() // the process is about to exit
	n.build()
	limitHeap(n.Settings)
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
		if l.bounded != nil {
			p.Go(l.bounded.Run)
		}
	}
	p.Go(n.follower.Run)
	p.Go(n.runMembership)
	p.Go(n.archiver.Run)
	p.Go(n.runQuotas)
	p.Go(n.restorer.Run)
	p.Go(n.spreader.Run)
	p.Go(n.replicator.Run)
	p.Go(n.probeWhenDue)
	p.Go(n.watchCold)
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

// build sets the fields of the components and connects them. It opens no listeners.
func (n *Conductor) build() {
	s := n.Settings
	n.startedAt = time.Now()
	n.incarnation = uint64(n.startedAt.UnixNano())
	n.operatorLimits.Store(&s.OperatorLimits)
	n.dialect = platform.Dialect()
	n.store.Address = s.StoreAddress
	n.store.OnCall = n.storeCallFinished
	n.store.Open()
	n.table = n.store.Table()
	n.buildExchangers()
	n.registrar.Service = s.Service
	n.registrar.Address = s.EndpointAddress
	n.registrar.OnChanged = n.endpointChanged
	n.follower.Read = n.store.ReadTable
	n.follower.WaitForChange = n.store.WaitTable
	n.follower.Fetch = n.fetchTable
	n.follower.Decode = platform.DecodeTable
	n.follower.ShouldPoll = n.pollsStore
	n.follower.Slot = n.pollSlot
	n.follower.OnAnnounced = n.tableAnnounced
	n.follower.OnTransfer = n.tableTransferred
	n.follower.OnApplied = n.tableApplied
	n.follower.OnError = n.tableAvailabilityChanged
	n.budget = budgeter.Budgeter{
		Ratio:      s.OperatorLimits.RetryRatio,
		Slack:      s.OperatorLimits.RetrySlack,
		Window:     s.OperatorLimits.RetryWindow,
		Nodes:      n.nodeCount,
		HedgeRatio: s.OperatorLimits.HedgeRatio,
	}
	n.buildRequestHandlers()
	n.buildMembership()
	n.buildDetours()
	n.buildQuarantine()
	n.buildQuotas()
	n.buildRestorer()
	n.buildEvacuator()
	n.buildReplicator()
	n.buildArchiver()
}

func (n *Conductor) buildExchangers() {
	for _, e := range []*exchanger.Exchanger{&n.nodeExchanger, &n.endpointExchanger} {
		e.ConnectTimeout = connectTimeout
		e.KeepAliveInterval = keepAliveInterval
		e.MaxBodyBytes = collector.MaxBodyBytes
	}
	n.nodeExchanger.IdleTimeout = nodeIdleTimeout
	n.nodeExchanger.HeaderTimeout = nodeHeaderTimeout
	n.nodeExchanger.MaxConnections = connectionsPerNode
	n.endpointExchanger.IdleTimeout = endpointIdleTimeout
	n.endpointExchanger.HeaderTimeout = endpointHeaderTimeout
	n.endpointExchanger.MaxConnections = defaultConnections
	n.endpointExchanger.AllowCloseDelimited = true
	n.endpointExchanger.Matches = n.dialect.Matches
}

// buildRequestHandlers configures the caller side, the endpoint side, the exchange of loads and
// the liveness probes of other nodes.
func (n *Conductor) buildRequestHandlers() {
	s := n.Settings
	b := boundsOf(s)
	n.requestBodies = collector.Requests{
		Limit:      b.largeBodies,
		SmallLimit: b.smallBodies,
	}
	token := forwarder.NodeToken(s.MembershipKey)
	n.endpoint = relayer.EndpointSide{
		Dialect:      &n.dialect,
		NodeToken:    token,
		Service:      s.Service,
		Address:      s.EndpointAddress,
		Incarnation:  n.incarnation,
		Endpoint:     n.currentEndpoint,
		Exchanger:    &n.endpointExchanger,
		Requests:     &n.requestBodies,
		Bodies:       collector.Collector{Limit: b.responses},
		Closed:       n.endpointClosed.Load,
		HealthPath:   n.healthPath,
		MaxBodyBytes: n.maxBodyBytes,
		OnEvent:      n.requestFinished,
		OnProbe:      n.probeFinished,
		OnLeaving:    n.endpointLeaving,
		OnRateLimit:  n.rateLimitChanged,
		OnCold:       n.coldnessChanged,
		OnLoadChange: n.loadExchange.Changed,
		OnRequest:    n.loadExchange.Subscribe,
		OnStart:      n.beginRequest,
		OnEnd:        n.endRequest,
	}
	n.loadExchange = relayer.LoadExchange{
		Address:     s.LoadAddress,
		Key:         s.MembershipKey,
		Node:        s.Name,
		Load:        n.endpoint.Load,
		Remote:      n.inOtherZone,
		RemoteBytes: s.LinkMegabits * bytesPerMegabit * remoteLoadShare,
		OnReceived: func(node string, load reporter.Load) {
			n.view.Report(node, load, time.Now())
		},
	}
	n.livenessMonitor = relayer.LivenessMonitor{
		View:     &n.view,
		Probe:    n.loadExchange.Probe,
		OnChange: n.peerResponsivenessChanged,
	}
	n.callers = relayer.CallerSide{
		Dialect:          &n.dialect,
		NodeToken:        token,
		Node:             s.Name,
		Service:          s.Service,
		StartedAt:        n.startedAt,
		Parent:           n.endpoint.Parent,
		OnCallFinished:   n.endpoint.CallFinished,
		Table:            n.follower.Table,
		Splitter:         &n.splitter,
		View:             &n.view,
		Budget:           &n.budget,
		Exchanger:        &n.nodeExchanger,
		Requests:         &n.requestBodies,
		Bodies:           collector.Collector{Limit: b.responses},
		RunLocal:         n.endpoint.Run,
		LocalLoad:        n.endpoint.Load,
		Distance:         n.distance,
		CloseConnections: n.shuttingDown.Load,
		Closed:           n.callersClosed.Load,
		OnEvent:          n.requestFinished,
		Seed:             n.incarnation,
	}
}

// peerResponsivenessChanged logs that a peer became unresponsive or responds again.
func (n *Conductor) peerResponsivenessChanged(c relayer.LivenessChange) {
	p := c.Peer
	if !c.Unresponsive {
		n.Log.Info(recorder.NodeHeard, "peer", p.ID, "incarnation", p.Incarnation, "address", p.Address.String())
		return
	}
	n.Log.Info(recorder.NodeSilent, "peer", p.ID, "incarnation", p.Incarnation, "address", p.Address.String(),
		"last-heard", c.LastHeard.String(), "last-heard-any", c.LastHeardAny.String(), "outstanding", c.Outstanding)
}

// distance returns the expected round-trip time to an availability zone.
func (n *Conductor) distance(zone string) time.Duration {
	switch {
	case zone == n.Settings.AvailabilityZone:
		return 0
	case n.Settings.Region(zone) == n.Settings.Region(n.Settings.AvailabilityZone):
		return zoneRoundTrip
	}
	return regionRoundTrip
}

// maxBodyBytes returns the limit of the routing table for bodies, or the relayer's default if
// there is none.
func (n *Conductor) maxBodyBytes() int64 {
	if t := n.follower.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return relayer.DefaultBodyBytes
}

// tableApplied logs the new version, applies the connection limit of the local service and
// announces the version to the other members.
func (n *Conductor) tableApplied(v *follower.Version, source string) {
	n.Log.Info(recorder.TableApplied, "version", v.Table.Version, "source", source, "routes", len(v.Table.Routes))
	if service, ok := v.Table.Services[n.Settings.Service]; ok && service.MaxConnections > 0 {
		n.endpointExchanger.Resize(service.MaxConnections)
	}
	n.applyColdRate(v.Table)
	n.announceTable(v.Table.Version)
	n.setQuotas(v.Table)
}

// tableAnnounced logs that a version was announced for the first time.
func (n *Conductor) tableAnnounced(member string, version uint64) {
	n.Log.Info(recorder.TableAnnounced, "member", member, "version", version, "current", n.follower.Version())
}

// tableTransferred logs a transfer of the routing table.
func (n *Conductor) tableTransferred(t follower.Transfer) {
	text := ""
	if t.Error != nil {
		text = t.Error.Error()
	}
	n.Log.Info(recorder.TableTransferred, "operation", t.Operation, "source", t.Source, "bytes", t.Bytes,
		"took", t.Took.String(), "error", text)
}

// tableAvailabilityChanged logs that an operation on the routing table failed or, if err is
// nil, that it succeeds again.
func (n *Conductor) tableAvailabilityChanged(operation string, err error) {
	if err != nil {
		n.Log.Warn(recorder.TableUnavailable, "operation", operation, "version", n.follower.Version(), "error", err.Error())
		return
	}
	n.Log.Info(recorder.TableAvailable, "operation", operation, "version", n.follower.Version())
}

// ready reports the node's readiness for new requests from callers.
func (n *Conductor) ready() bool {
	return !n.shuttingDown.Load() && n.follower.Table() != nil && n.joined()
}

// watchSettings applies those changed settings that may change while the node runs.
func (n *Conductor) watchSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s, ok := <-n.Reload:
			if !ok {
				return nil
			}
			n.operatorLimits.Store(&s.OperatorLimits)
			n.budget.Resize(s.OperatorLimits.RetryRatio, s.OperatorLimits.RetrySlack, s.OperatorLimits.RetryWindow, s.OperatorLimits.HedgeRatio)
			n.store.SetAddress(s.StoreAddress)
			n.Log.Info(recorder.SettingsReloaded, "store", s.StoreAddress, "grace", s.OperatorLimits.Grace.String(),
				"retry-ratio", s.OperatorLimits.RetryRatio, "retry-slack", s.OperatorLimits.RetrySlack)
		}
	}
}

// listener is a bound address with its HTTP server.
type listener struct {
	forwarder.FinishingListener
	server *http.Server
	// bounded bounds the connections; nil if the settings have no limits.
	bounded *forwarder.BoundedListener
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

// listen binds the TCP addresses before any is served, so that a node with a wrong one does not
// start. runMembership binds the UDP addresses later; if that fails, the node stops.
func (n *Conductor) listen() (*listeners, error) {
	s := n.Settings
	var l listeners
	reports := &platform.Reports{
		Report:     n.handleReport,
		Leave:      n.handleLeave,
		OnRejected: n.reportRejected,
	}
	for _, b := range []struct {
		target  **listener
		address netip.AddrPort
		handler http.Handler
		idle    time.Duration
	}{
		{
			target:  &l.callers,
			address: s.CallersAddress,
			handler: &n.callers,
			idle:    callerIdleTimeout,
		},
		{
			target:  &l.nodes,
			address: s.NodesAddress,
			handler: n.nodesHandler(),
			idle:    serverIdleTimeout,
		},
		{
			target:  &l.ready,
			address: s.ReadyAddress,
			handler: platform.ReadyHandler(n.ready),
			idle:    serverIdleTimeout,
		},
		{
			target:  &l.reports,
			address: s.ReportsAddress,
			handler: reports.Handler(),
			idle:    serverIdleTimeout,
		},
		{
			target:  &l.metrics,
			address: s.MetricsAddress,
			handler: n.meter.Handler(),
			idle:    serverIdleTimeout,
		},
	} {
		bound, err := net.Listen("tcp", b.address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "settings: address %s can't be bound", b.address)
		}
		*b.target = &listener{
			FinishingListener: forwarder.FinishingListener{Listener: bound},
			server: &http.Server{
				Handler:           b.handler,
				ConnState:         forwarder.TrackState,
				ReadHeaderTimeout: readHeaderTimeout,
				IdleTimeout:       b.idle,
				MaxHeaderBytes:    MaxHeaderBytes,
				// "OPTIONS *" is a request like others, and no route matches it.
				DisableGeneralOptionsHandler: true,
			},
		}
	}
	framing := &forwarder.FramingListener{
		Listener:  l.callers.Listener,
		OnRefused: func() { n.Log.Warn(recorder.RequestMalformed, "reason", "framing") },
	}
	l.callers.Listener = framing
	n.acceptPipelined(l.callers, framing)
	for _, small := range []*listener{l.ready, l.reports, l.metrics} {
		small.server.ReadTimeout = smallTimeout
		small.server.WriteTimeout = smallTimeout
		small.server.MaxHeaderBytes = smallHeaderBytes
	}
	n.boundConnections(&l)
	return &l, nil
}
