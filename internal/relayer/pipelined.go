package relayer

import (
	"net/http"
	"strings"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/pipeliner"
	"github.com/gentianlever/gentianlever/internal/router"
)

const (
	// unknownResponseBytes is the size that is expected of a response of a route without samples: it
	// exceeds most, and a download may have the maximum size.
	unknownResponseBytes = 48 << 10
	// responseBytesFactor is the factor by which a response may exceed the average of its route.
	responseBytesFactor = 2
	// unknownFreeSlots is assumed of an endpoint that has not reported its load: the node beside it
	// decides. It suffices for one connection.
	unknownFreeSlots = 16
	// staleLoad is the age from which a load says nothing about the requests at the endpoint. A node
	// that sends requests there gets the load four times as often.
	staleLoad = 4 * loadRefreshInterval
)

// arrivalOf returns the time at which a request arrived and, if it was pipelined, how it was started.
func arrivalOf(r *http.Request) (time.Time, pipeliner.Start) {
	if info, ok := pipeliner.InfoOf(r.Context()); ok {
		return info.Arrival, info.Start
	}
	return time.Now(), ""
}

// Ahead describes a request that has other requests of its connection ahead of it. Slots are free for it
// at endpoints without a queue only: a place in a queue is for the first request of another connection.
func (s *CallerSide) Ahead(host, target string) pipeliner.Ahead {
	s.once.Do(s.initialize)
	table := s.Table()
	if table == nil {
		return pipeliner.Ahead{}
	}
	path, _, _ := strings.Cut(target, "?")
	route := table.Match(host, path)
	if route == nil || !route.Kind.Repeatable() {
		return pipeliner.Ahead{}
	}
	a := pipeliner.Ahead{
		Repeatable:    true,
		ResponseBytes: s.expectedResponseBytes(route),
	}
	now := time.Now()
	for _, part := range route.Parts {
		if part.Weight == 0 {
			continue
		}
		if part.Service == s.Service {
			s.View.Report(s.Node, s.LocalLoad(), now)
		}
		for _, c := range s.View.candidates(part.Service, nil, now) {
			a.FreeSlots += freeSlots(c)
		}
	}
	return a
}

// freeSlots returns the number of slots of an endpoint that no request occupies or waits for.
func freeSlots(c candidate) int {
	switch {
	case c.Load.Draining || c.peer.Draining:
		return 0
	case c.Load.Slots == 0 || c.Age < 0:
		return max(unknownFreeSlots-c.Sent, 0)
	case c.Age > staleLoad:
		return max(c.Load.Slots-c.Sent, 0)
	}
	return max(c.Load.Slots-c.Load.InFlight-c.Load.QueuedShort-c.Load.QueuedLong-c.Sent, 0)
}

// expectedResponseBytes returns the size of response that a request of a route may have.
func (s *CallerSide) expectedResponseBytes(route *router.Route) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.routes[route.Name]
	switch {
	case samples != nil && samples.serviceTime > 0:
		return min(int64(responseBytesFactor*samples.responseBytes), collector.MaxBodyBytes)
	case route.Kind == router.Download:
		return collector.MaxBodyBytes
	}
	return unknownResponseBytes
}
