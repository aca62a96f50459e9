package announcer

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that suspects other members after a pause of its own process,
// when their acks are still unread. Without a pause, a missing ack must cause suspicion.
func TestPauseOfLocalProcessSuspectsNobody(t *testing.T) {
	for _, c := range []struct {
		pause     time.Duration
		suspected bool
	}{
		{
			pause:     pingInterval,
			suspected: true,
		},
		{
			pause:     20 * time.Second,
			suspected: false,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a := &Announcer{
				Self: Member{
					ID: "vm-1",
				},
				Send: func(netip.AddrPort, Message) error { return nil },
			}
			a.initialize()
			a.mergeAndGossip(Member{
				ID: "vm-2",
			})
			a.tick()
			time.Sleep(c.pause)
			a.tick()
			is.Equal(a.Members()[1].State == Suspect, c.suspected)
		})
	}
}

// Guards against updates that are sent too few times to reach all nodes, or forever.
func TestUpdateIsSentABoundedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	a := &Announcer{
		Self: Member{
			ID: "vm-1",
		},
	}
	a.initialize()
	for _, id := range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9", "vm-10"} {
		a.mergeAndGossip(Member{
			ID: id,
		})
	}
	sent := map[string]int{}
	for range 100 {
		updates := a.pickUpdates("vm-20")
		is.True(len(updates) <= maxUpdates)
		for _, u := range updates {
			sent[u.ID]++
		}
	}
	is.Equal(len(sent), 10)
	for _, count := range sent {
		is.Equal(count, 16) // 8 * ceil(log10(11))
	}
}
