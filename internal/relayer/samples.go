package relayer

import (
	"time"

	"github.com/gentianlever/gentianlever/internal/hedger"
)

const (
	// maxRoutes limits the memory for routes that are no longer in the table.
	maxRoutes = 10000
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 1.0 / 20
)

// routeSamples holds what was observed of the attempts of a route.
type routeSamples struct {
	// serviceTime is the average duration of an attempt, with queue wait and transfer; zero before
	// the first.
	serviceTime time.Duration
	// responseBytes is the average size of the responses.
	responseBytes float64
	// latencies is the distribution of the durations.
	latencies hedger.Latencies
}

// samplesOf returns the samples of a route. The caller holds s.mu.
func (s *CallerSide) samplesOf(route string) *routeSamples {
	samples := s.routes[route]
	if samples == nil {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		samples = &routeSamples{}
		s.routes[route] = samples
	}
	return samples
}

// observeResponse updates the averages of a route. Durations are capped at twice the average, so
// that slow endpoints raise it only gradually.
func (s *CallerSide) observeResponse(route string, took time.Duration, responseBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.samplesOf(route)
	if samples.serviceTime == 0 {
		samples.serviceTime = took
		samples.responseBytes = float64(responseBytes)
		return
	}
	took = min(took, 2*samples.serviceTime)
	samples.serviceTime += time.Duration(sampleWeight * float64(took-samples.serviceTime))
	samples.responseBytes += sampleWeight * (float64(responseBytes) - samples.responseBytes)
}

// observeLatency records the duration of an attempt that was served, or that another one has
// overtaken.
func (s *CallerSide) observeLatency(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samplesOf(route).latencies.Observe(took, time.Now())
}
