// Package announcer keeps the list of the system's members.
package announcer

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Member is one node with its endpoint.
type Member struct {
	// ID is the name of the node's VM.
	ID               string         `json:"id"`
	Service          string         `json:"service"`
	AvailabilityZone string         `json:"availability-zone"`
	Region           string         `json:"region"`
	Address          netip.AddrPort `json:"address"`
	AdminAddress     netip.AddrPort `json:"admin-address"`
	// Incarnation rises with each start of the node.
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
}

const (
	partition    = "members"
	readInterval = time.Second
	maxMembers   = 2000
)

// Announcer announces this node and learns of the others. Set the exported fields
// before Run.
type Announcer struct {
	Self  Member
	Table storer.Table
	// Changed is called with all members after each change.
	Changed func(members []Member)

	mu      sync.Mutex
	members []Member
}

// Run announces this node and follows the others until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	announced := false
	for {
		if !announced {
			announced = a.announce(ctx) == nil
		}
		a.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave removes this node's row.
func (a *Announcer) Leave(ctx context.Context) {
	_ = a.Table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: partition,
					Sort:      a.Self.ID,
				},
			},
			Condition: storer.VersionIs,
			IfVersion: a.Self.Incarnation,
			Delete:    true,
		},
	})
}

// Members returns all members.
func (a *Announcer) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members
}

func (a *Announcer) announce(ctx context.Context) error {
	body, err := json.Marshal(a.Self)
	if err != nil {
		return err
	}
	return a.Table.Write(ctx, []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: partition,
					Sort:      a.Self.ID,
				},
				Version: a.Self.Incarnation,
				Body:    body,
			},
		},
	})
}

func (a *Announcer) read(ctx context.Context) {
	rows, err := a.Table.Query(ctx, partition, "", maxMembers)
	if err != nil {
		return
	}
	members := make([]Member, 0, len(rows))
	for _, row := range rows {
		var m Member
		if json.Unmarshal(row.Body, &m) == nil {
			members = append(members, m)
		}
	}
	a.mu.Lock()
	a.members = members
	a.mu.Unlock()
	a.Changed(members)
}
