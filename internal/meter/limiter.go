package meter

import "sync"

// limiter bounds the values of each label, so that names from outside can't grow the
// metrics without end.
type limiter struct {
	mu   sync.Mutex
	seen map[string]map[string]bool
}

// bound returns the value, or otherValue where the label has too many.
func (l *limiter) bound(label, value string) string {
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
		if len(values) >= maxValues {
			return otherValue
		}
		values[value] = true
	}
	return value
}
