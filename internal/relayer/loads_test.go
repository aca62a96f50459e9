package relayer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/reporter"
)

func newLoads(key string) *Loads {
	l := &Loads{
		Key:  []byte(key),
		Node: "vm-1",
	}
	l.open()
	return l
}

func loadOf(running, slowness int) reporter.Load {
	return reporter.Load{
		InFlight:    running,
		Slots:       12,
		Incarnation: 1,
		Slowness:    slowness,
	}
}

// Changes that matter to a placement are told at once, others every 250 ms, and nobody is
// told who has not sent a request for 3 s.
func TestWhatIsTold(t *testing.T) {
	is := is.New(t)
	l := newLoads("key")
	now := time.Now()
	m, _ := l.message(loadOf(0, 100), now)
	is.True(m == nil) // nobody listens
	l.Heard(netip.MustParseAddr("10.0.0.2"))
	told := func(load reporter.Load, after time.Duration) bool {
		m, _ := l.message(load, now.Add(after))
		return m != nil
	}
	is.True(told(loadOf(0, 100), 0))
	is.True(!told(loadOf(1, 100), time.Millisecond))
	is.True(told(loadOf(1, 700), 2*time.Millisecond))
	is.True(told(loadOf(5, 700), 3*time.Millisecond))
	is.True(!told(loadOf(5, 700), 4*time.Millisecond))
	is.True(told(loadOf(5, 700), 4*time.Millisecond+loadInterval))
	is.True(!told(loadOf(12, 100), listenerMemory+time.Second))
}

// Forged, spoilt and overtaken messages change nothing.
func TestWhatIsBelieved(t *testing.T) {
	is := is.New(t)
	sender, receiver := newLoads("key"), newLoads("key")
	sender.Heard(netip.MustParseAddr("10.0.0.2"))
	first, _ := sender.message(loadOf(1, 100), time.Now())
	second, _ := sender.message(loadOf(9, 700), time.Now())
	node, load, ok := receiver.decode(second)
	is.True(ok)
	is.Equal(node, "vm-1")
	is.Equal(load.Slowness, 700)
	_, _, ok = receiver.decode(first)
	is.True(!ok) // overtaken
	_, _, ok = newLoads("another key").decode(second)
	is.True(!ok)
	for i := range second {
		spoilt := append([]byte(nil), second...)
		spoilt[i] ^= 1
		_, _, ok := newLoads("key").decode(spoilt)
		is.True(!ok)
	}
	_, _, ok = receiver.decode(nil)
	is.True(!ok)
}
