package meter

import "sync"

// limiter limits the number of values of each label, so that label values from outside, such
// as names of services, can't create metrics without limit.
type limiter struct {
	mu   sync.Mutex
	seen map[string]map[string]bool
}

// limit returns value, or otherValue if value is new and the label already has
// maxLabelValues values.
func (l *limiter) limit(label, value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[string]map[string]bool)
	}
	values := l.seen[label]
	if values == nil {
		values = make(map[string]bool)
		l.seen[label] = values
	}
	if !values[value] {
		if len(values) >= maxLabelValues {
			return otherValue
		}
		values[value] = true
	}
	return value
}
