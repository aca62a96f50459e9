package conductor

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// Shares of the process's memory, in thousandths. What is left is that of the program, the routing
// table, the members and the requests in flight. Three eighths of the smallest VM's 184 MB hold the
// largest legal body, of 64 MiB.
const (
	largeBodyShare = 375
	smallBodyShare = 50
	headerShare    = 50
	callerShare    = 60
	nodeShare      = 40
	// responseShare is that of the response bodies, which have responseRooms rooms of at most
	// response-memory together: half of it for the small bodies of a stated length and as much for
	// those without one, on both sides.
	responseShare = 225
	responseRooms = 4
	// collectorShare is the share at which the collector of garbage works harder. The rest is memory
	// that it does not count, such as the program itself.
	collectorShare = 800
)

const (
	// connectionMemory is the memory of a connection that has no large header: its buffers and the
	// stack of its goroutine.
	connectionMemory = 16 << 10
	// reservedDescriptors are those of files and of the sockets that do not belong to requests.
	reservedDescriptors = 200
	// minSmallConnections and maxSmallConnections bound the connections of each of the addresses for
	// readiness, reports and metrics, which get a smallDivisor-th of the descriptors.
	minSmallConnections = 8
	maxSmallConnections = 32
	smallDivisor        = 32
	smallAddresses      = 3
	// smallTimeout bounds the time for a request at one of these addresses, and its header and response.
	smallTimeout = 10 * time.Second
	// smallActiveTime is twice the time that such a request takes at most, which is that of a report
	// while the store is unavailable.
	smallActiveTime  = time.Second
	smallHeaderBytes = 16 << 10
)

// bounds are the bounds that follow from the memory and the descriptors of the process. A bound of
// zero means that of earlier versions.
type bounds struct {
	largeBodies int64
	smallBodies int64
	headers     int64
	responses   int64
	// callers, nodes and small are numbers of connections. Of the descriptors, two fifths are for
	// callers, one for other nodes, and two for connections to other nodes and to the endpoint.
	callers int
	nodes   int
	small   int
}

// boundsOf derives the bounds from the settings.
func boundsOf(s *validator.SidecarSettings) bounds {
	b := bounds{responses: s.ResponseMemory}
	if s.Memory > 0 {
		b.largeBodies = s.Memory * largeBodyShare / 1000
		b.smallBodies = s.Memory * smallBodyShare / 1000
		b.headers = s.Memory * headerShare / 1000
		b.callers = int(s.Memory * callerShare / 1000 / connectionMemory)
		b.nodes = int(s.Memory * nodeShare / 1000 / connectionMemory)
		b.small = maxSmallConnections
		if b.responses == 0 {
			b.responses = min(max(s.Memory*responseShare/1000/responseRooms, collector.MaxBodyBytes), collector.DefaultLimit)
		}
	}
	if s.Descriptors > 0 {
		b.small = min(max((s.Descriptors-reservedDescriptors)/smallDivisor, minSmallConnections), maxSmallConnections)
		left := s.Descriptors - reservedDescriptors - smallAddresses*b.small
		b.callers = lower(b.callers, left*2/5)
		b.nodes = lower(b.nodes, left/5)
	}
	return b
}

// lower returns the lower of two bounds, of which a may be zero for none.
func lower(a, b int) int {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// limitHeap limits the heap of the process, unless GOMEMLIMIT does.
func limitHeap(s *validator.SidecarSettings) {
	if s.Memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(s.Memory * collectorShare / 1000)
	}
}

// boundConnections bounds the connections of the listeners, if the settings have limits.
func (n *Conductor) boundConnections(l *listeners) {
	b := boundsOf(n.Settings)
	if b.callers == 0 {
		return
	}
	headers := &forwarder.HeaderRoom{Limit: b.headers}
	if headers.Limit == 0 {
		headers.Limit = maxHeaderMemory
	}
	for _, e := range []struct {
		name     string
		listener *listener
		limit    int
		limits   func() forwarder.ConnectionLimits
		active   time.Duration
		onFull   func() bool
	}{
		{
			name:     "callers",
			listener: l.callers,
			limit:    b.callers,
			limits:   n.callerLimits,
			onFull:   func() bool { return n.requestBodies.EvictStalled(collector.FromCaller, time.Now()) },
		},
		{
			name:     "nodes",
			listener: l.nodes,
			limit:    b.nodes,
			limits:   nodeLimits,
			onFull:   func() bool { return n.requestBodies.EvictStalled(collector.FromNode, time.Now()) },
		},
		{
			name:     "ready",
			listener: l.ready,
			limit:    b.small,
			limits:   smallLimits,
			active:   smallActiveTime,
		},
		{
			name:     "reports",
			listener: l.reports,
			limit:    b.small,
			limits:   smallLimits,
			active:   smallActiveTime,
		},
		{
			name:     "metrics",
			listener: l.metrics,
			limit:    b.small,
			limits:   smallLimits,
			active:   smallActiveTime,
		},
	} {
		e.listener.bounded = &forwarder.BoundedListener{
			Listener:       e.listener.Listener,
			MaxConnections: e.limit,
			Headers:        headers,
			Limits:         e.limits,
			MaxActive:      e.active,
			OnFull:         e.onFull,
			OnClosed:       func(c forwarder.ClosedConnections) { n.connectionsClosed(e.name, c) },
		}
		e.listener.Listener = e.listener.bounded
	}
	// The listener enforces the table's limits, which are shorter and may change.
	l.callers.server.ReadHeaderTimeout = callerIdleTimeout
}

// maxHeaderMemory bounds the memory of headers if the settings limit descriptors only: a twentieth of
// the smallest VM's memory.
const maxHeaderMemory = 9 << 20

// callerLimits returns the limits of the routing table, or those of earlier versions where it has none.
func (n *Conductor) callerLimits() forwarder.ConnectionLimits {
	limits := forwarder.ConnectionLimits{
		HeaderBytes:   MaxHeaderBytes,
		HeaderTimeout: readHeaderTimeout,
		IdleTimeout:   callerIdleTimeout,
	}
	t := n.follower.Table()
	if t == nil {
		return limits
	}
	if t.Limits.MaxHeaderBytes > 0 {
		limits.HeaderBytes = t.Limits.MaxHeaderBytes
	}
	if t.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = t.Limits.IdleTimeout
	}
	return limits
}

// nodeLimits are the limits of connections from other nodes.
func nodeLimits() forwarder.ConnectionLimits {
	return forwarder.ConnectionLimits{
		HeaderBytes:   MaxHeaderBytes,
		HeaderTimeout: readHeaderTimeout,
		IdleTimeout:   serverIdleTimeout,
	}
}

// smallLimits are the limits of connections for readiness, reports and metrics.
func smallLimits() forwarder.ConnectionLimits {
	return forwarder.ConnectionLimits{
		HeaderBytes:   smallHeaderBytes,
		HeaderTimeout: smallTimeout,
		IdleTimeout:   serverIdleTimeout,
	}
}

// connectionsClosed counts and logs connections that were closed because of a limit.
func (n *Conductor) connectionsClosed(address string, c forwarder.ClosedConnections) {
	n.meter.Add(meter.ConnectionsClosed, int64(c.Count), address, string(c.Reason))
	n.Log.Warn(recorder.ConnectionsClosed, "address", address, "reason", string(c.Reason), "count", c.Count,
		"open", c.Open, "limit", c.Limit)
}
