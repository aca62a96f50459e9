package router

import "sync"

// Splitter distributes the requests of split routes over their services by smooth
// weighted round robin, so that the shares hold over any window and not only on average.
// The rotation of a route continues across versions of the table that don't change its
// parts.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*rotation
}

// rotation is the state of the round robin of one route.
type rotation struct {
	parts []WeightedService
	// current holds the accumulated weight of each part (see next).
	current []int
}

// maxRotations bounds the memory for routes that are no longer in the table. At the
// limit all rotations start again.
const maxRotations = 10000

// Choose returns the service for the next request of a route. offset is used only when a
// rotation starts: nodes with different values, such as random numbers, start at different
// positions.
func (s *Splitter) Choose(r *Route, offset int) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rot := s.routes[r.Name]
	if rot == nil || !sameParts(rot.parts, r.Parts) {
		rot = s.startRotation(r, offset)
	}
	return rot.next()
}

func (s *Splitter) startRotation(r *Route, offset int) *rotation {
	if s.routes == nil || len(s.routes) >= maxRotations {
		s.routes = make(map[string]*rotation)
	}
	rot := &rotation{
		parts:   r.Parts,
		current: make([]int, len(r.Parts)),
	}
	s.routes[r.Name] = rot
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	for range offset % total {
		rot.next()
	}
	return rot
}

// next adds to each part its weight, chooses the part with the highest sum and takes the
// total weight off that part.
func (r *rotation) next() string {
	total, best := 0, 0
	for i, p := range r.parts {
		r.current[i] += p.Weight
		total += p.Weight
		if r.current[i] > r.current[best] {
			best = i
		}
	}
	r.current[best] -= total
	return r.parts[best].Service
}

func sameParts(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
