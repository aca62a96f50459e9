package relayer

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
	"github.com/gentianlever/gentianlever/internal/scheduler"
)

// evacuated reports whether the zone of the endpoint is evacuated.
func (s *EndpointSide) evacuated() bool { return s.Evacuated != nil && s.Evacuated() }

// evacuatedRefusal is the refusal of a request for an endpoint in an evacuated zone.
func evacuatedRefusal() error {
	return &refuser.Refusal{
		Reason: refuser.ZoneEvacuated,
		Detail: "the availability zone of the endpoint is evacuated",
	}
}

// HandleEvacuation must be called after the zone of the endpoint was evacuated or is used again. It
// refuses the queued requests, which may be served elsewhere. An endpoint that is used again counts as
// cold until it says otherwise.
func (s *EndpointSide) HandleEvacuation() {
	s.mu.Lock()
	if s.evacuated() {
		for r, result := range s.waiting {
			if s.scheduler.Cancel(r) {
				delete(s.waiting, r)
				result <- evacuatedRefusal()
			}
		}
	} else {
		s.coldSign(scheduler.ColdUnused, time.Now())
	}
	s.mu.Unlock()
	s.OnLoadChange()
}

// addEvacuation adds the evacuation of the endpoint's zone to its load.
func (s *EndpointSide) addEvacuation(load *reporter.Load) {
	load.Evacuated = s.evacuated()
	if s.Evacuations != nil {
		load.Evacuations = s.Evacuations()
	}
}

// evacuated reports whether a peer is in an evacuated zone, as this node knows or, by a load of the
// given age, the peer. The caller holds v.mu.
func (v *View) evacuated(state *peerState, age time.Duration) bool {
	return v.Evacuated != nil && v.Evacuated(state.peer.Zone) ||
		state.load.Evacuated && age < drainingTTL
}

// onlyEvacuated reports whether a service has endpoints and all of them are in evacuated zones.
func (v *View) onlyEvacuated(service string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, state := range v.services[service] {
		if !v.evacuated(state, now.Sub(state.reportedAt)) {
			return false
		}
	}
	return len(v.services[service]) > 0
}

// HasUsedZone reports whether a peer is in a zone that is not evacuated.
func (v *View) HasUsedZone() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, state := range v.byID {
		if v.Evacuated == nil || !v.Evacuated(state.peer.Zone) {
			return true
		}
	}
	return false
}

// refuseEvacuated sets the refusal of a request for which there is no endpoint because of evacuations.
func (s *CallerSide) refuseEvacuated(q *request, now time.Time) {
	if q.lastRefusal == nil && s.View.onlyEvacuated(q.call.Service, now) {
		q.lastRefusal = &RefusedError{
			Refusal: &refuser.Refusal{
				Reason: refuser.ZoneEvacuated,
				Detail: "the availability zones of all endpoints of the service are evacuated",
			},
		}
	}
}
