package relayer

import (
	"net/http"
	"time"
)

// recognizeRetry sets q.call.EarlyRetry if the request of a caller is a retry that comes before the
// Retry-After of its refusal. Nested calls are never early: the request that makes them holds a slot.
func (s *CallerSide) recognizeRetry(q *request, r *http.Request, credentials string) {
	if q.call.Nested {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.recognizer.KeyOf(r.Method, r.Host, r.RequestURI, credentials)
	q.retryKey = &key
	q.call.EarlyRetry = s.recognizer.Early(key, q.arrival)
}

// expectRetry records the Retry-After that the caller of a refused request is given.
func (s *CallerSide) expectRetry(q *request, retryAfter time.Duration) {
	if q.retryKey == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recognizer.Refused(*q.retryKey, retryAfter, time.Now())
}
