package announcer

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Guards against one row of another writer that stops a node or keeps it from finding the members
// in the other rows.
func TestOddRowsAreSkipped(t *testing.T) {
	is := is.NewRelaxed(t)
	w := &network{rows: make(map[string]storer.Row)}
	for key, body := range map[string]string{
		"vm-0a": strings.Repeat(`{"id":`, 50000),
		"vm-0b": `{"id":"vm-0b","address":"10.0.0.1:65536"}`,
		"vm-0c": `{"id":"vm-0c","address":"10.0.0.1:0"}`,
		"vm-0d": `{"id":"vm-0d","incarnation":1e300}`,
		"vm-0e": `{"id":"vm-0e","incarnation":18446744073709551615}`,
		"vm-0f": `{"id":"vm-0f","state":"odd"}`,
		"vm-0g": `{"id":7}`,
		"vm-0h": "",
		"vm-0i": "null",
		"vm-0j": "\xff\xfe",
	} {
		w.rows[key] = storer.Row{
			Key: storer.Key{
				Partition: membersPartition,
				Sort:      key,
			},
			Version: math.MaxUint64,
			Body:    []byte(body),
		}
	}
	runNetwork(t, w, 3, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
		time.Sleep(time.Hour)
		is.True(w.allSeeAllAlive())
	})
}

// Guards against one record that removes a member for good, because no later record of the member
// supersedes it, and against records of no possible member.
func TestOddRecordsAreIgnored(t *testing.T) {
	odd := []Member{
		{
			ID:          "vm-0",
			Address:     address(0),
			Incarnation: math.MaxUint64,
			State:       Failed,
		},
		{
			ID:          "vm-1",
			Address:     address(1),
			Incarnation: math.MaxUint64,
			State:       Left,
		},
		{
			Address:     address(9),
			Incarnation: 1,
		},
	}
	is := is.NewRelaxed(t)
	w := &network{}
	runNetwork(t, w, 3, func() {
		_, ok := waitFor(time.Minute, w.allSeeAllAlive)
		is.True(ok)
		receiver := w.nodes[address(1)]
		receiver.Receive(address(2), Message{
			Kind:    Notice,
			Sender:  w.nodes[address(2)].Local(),
			Updates: odd,
		})
		receiver.HandleSync(SyncRequest{
			Sender:  w.nodes[address(2)].Local(),
			Members: odd,
		})
		is.Equal(len(receiver.Members()), 3)
		time.Sleep(time.Minute)
		is.True(w.allSeeAllAlive())
	})
}
