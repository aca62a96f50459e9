package relayer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node whose VM has lost power counts as silent within half a second of the first request
// that it leaves without an answer. Before, that took until the failure detection of the
// membership, over a second, and all requests sent meanwhile failed at their deadline.
func TestSilenceIsFoundWithinHalfASecond(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var c contact
	c.hear(start)
	questions := 0
	for elapsed := time.Duration(0); elapsed <= 500*time.Millisecond; elapsed += 25 * time.Millisecond {
		if now := start.Add(elapsed); c.due(start, now) {
			c.ask(now)
			questions++
		}
	}
	is.True(c.silent())
	is.True(questions <= 6)
	c.hear(start.Add(501 * time.Millisecond))
	is.True(!c.silent())
}

// Long work is not taken for silence, and a node that owes no answer is not asked.
func TestLiveNodesAreNotSilent(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var c contact
	c.hear(start)
	is.True(!c.due(time.Time{}, start.Add(time.Hour)))
	for elapsed := time.Duration(0); elapsed <= 5*time.Second; elapsed += 25 * time.Millisecond {
		now := start.Add(elapsed)
		is.True(!c.silent())
		if c.due(start, now) {
			c.ask(now)
			if c.questions >= 2 { // the first of two is lost
				c.hear(now.Add(2 * time.Millisecond))
			}
		}
	}
}
