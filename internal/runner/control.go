package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/administrator"
	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/persister"
	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// leaveTimeout limits the wait for a slow table at the end of a shutdown.
const leaveTimeout = 2 * time.Second

// controlPlane holds membership, the distribution of documents, and the messages between nodes
// that both use.
type controlPlane struct {
	// table is the only client of the platform's table, so that all its users share its
	// connections.
	table       storer.Table
	announcer   announcer.Announcer
	distributor distributor.Distributor
	udp         messenger.UDP
	client      messenger.Client
}

// buildControlPlane configures membership and the distribution of documents.
func (n *Runner) buildControlPlane(incarnation uint64) {
	s := n.Settings
	n.table = n.countTableCalls(persister.Table(s.Platform))
	n.client = messenger.Client{
		MembershipKey: s.MembershipKey,
		OnSent:        n.messageSent,
	}
	n.client.Init()
	n.udp = messenger.UDP{
		Address:       s.NodesAddress,
		MembershipKey: s.MembershipKey,
		Receive:       n.announcer.Receive,
		OnSent:        n.messageSent,
		OnReceived:    func() { n.counters.Add(counter.MessagesReceived, 1) },
		OnRejected:    n.messageRejected,
	}
	n.announcer = announcer.Announcer{
		Self: announcer.Member{
			ID:               s.Name,
			Service:          s.Service,
			AvailabilityZone: s.AvailabilityZone,
			Region:           s.Region(s.AvailabilityZone),
			Address:          s.NodesAddress,
			AdminAddress:     s.AdminAddress,
			Incarnation:      incarnation,
		},
		Seeds:            s.Seeds,
		ExpectedNodes:    s.ExpectedNodes,
		RandomSeed:       incarnation,
		Table:            n.table,
		Send:             n.udp.Send,
		Sync:             n.client.Sync,
		OnMembersChanged: n.membersChanged,
		Revision:         n.distributor.Revision,
		OnNewerRevision:  func(from announcer.Member, revision uint64) { n.distributor.HandleAnnouncement(from.ID, revision) },
	}
	n.distributor = distributor.Distributor{
		Table:         n.table,
		Seed:          incarnation,
		ExpectedNodes: s.ExpectedNodes,
		Fetch:         n.fetchChanges,
		Announce:      n.announcer.NotifyRevision,
		OnApplied:     n.documentApplied,
		Members:       func() int { return len(n.announcer.Present()) },
		OnBehind:      n.tableBehind,
		OnRejected:    n.changeRejected,
	}
}

// messageSent counts a message to another node.
func (n *Runner) messageSent(bytes int) {
	n.counters.Add(counter.MessagesSent, 1)
	n.counters.Add(counter.MessageBytesSent, int64(bytes))
}

func (n *Runner) messageRejected() { n.counters.Add(counter.MessagesRejected, 1) }

// tableBehind counts and logs a table whose revision is lower than that of this node.
func (n *Runner) tableBehind(revision uint64) {
	n.counters.Add(counter.TableBehind, 1)
	n.Log.Warn("table holds a lower revision than this node", "table", revision, "node", n.distributor.Revision())
}

// changeRejected logs a document that another node accepted but this node cannot apply.
func (n *Runner) changeRejected(c distributor.Change, err error) {
	n.Log.Error("accepted document is not valid on this node", "service", c.Service, "version", c.Version, "error", err)
}

// fetchChanges fetches the changes since a revision from a member.
func (n *Runner) fetchChanges(ctx context.Context, from string, since uint64) ([]distributor.Change, error) {
	address, err := n.announcer.Address(from)
	if err != nil {
		return nil, err
	}
	return n.client.Changes(ctx, address, since)
}

// nodesHandler handles requests from other nodes: messages, and calls to the local endpoint.
func (n *Runner) nodesHandler(calls http.Handler) http.Handler {
	service := (&messenger.Service{
		MembershipKey: n.Settings.MembershipKey,
		Sync:          n.announcer.HandleSync,
		Changes:       n.distributor.ChangesSince,
		ClaimStatus:   n.claimStatus,
		Suspects:      n.quarantiner.Merge,
		OnRejected:    n.messageRejected,
	}).Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if messenger.IsServiceRequest(r) {
			service.ServeHTTP(w, r)
			return
		}
		n.forwardedCalls.serve(calls, w, r)
	})
}

// leave announces to the other nodes that this node departs.
func (n *Runner) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.announcer.Leave(ctx)
}

// countTableCalls wraps a table with counters of its operations and errors.
func (n *Runner) countTableCalls(t storer.Table) storer.Table {
	return storer.Table{
		Get: func(ctx context.Context, k storer.Key) (storer.Row, bool, error) {
			row, ok, err := t.Get(ctx, k)
			n.countTableCall(counter.TableReads, err)
			return row, ok, err
		},
		Write: func(ctx context.Context, writes []storer.Write) error {
			err := t.Write(ctx, writes)
			n.countTableCall(counter.TableWrites, err)
			return err
		},
		Query: func(ctx context.Context, partition, after string, limit int) ([]storer.Row, error) {
			rows, err := t.Query(ctx, partition, after, limit)
			n.countTableCall(counter.TableReads, err)
			return rows, err
		},
	}
}

// countTableCall counts an operation of the table. A failed condition is an expected result, not
// an error of the table.
func (n *Runner) countTableCall(name counter.Name, err error) {
	n.counters.Add(name, 1)
	if _, condition := err.(*storer.ConditionError); err != nil && !condition {
		n.counters.Add(counter.TableErrors, 1)
	}
}

// membersChanged passes the endpoints of each service to the picker. A service whose last member
// has failed or departed gets an empty list.
func (n *Runner) membersChanged(members []announcer.Member) {
	services := map[string][]picker.Endpoint{}
	for _, m := range n.announcer.Members() {
		services[m.Service] = nil
	}
	for _, m := range members {
		services[m.Service] = append(services[m.Service], picker.Endpoint{
			ID:               m.ID,
			Service:          m.Service,
			AvailabilityZone: m.AvailabilityZone,
			Region:           m.Region,
			Address:          m.Address,
			// StartIncarnation changes only when the node restarts; the member's
			// Incarnation also changes when the node refutes a suspicion.
			Incarnation:       m.StartIncarnation,
			Draining:          m.Draining,
			RecordIncarnation: m.Incarnation,
		})
	}
	for service, endpoints := range services {
		n.picker.SetEndpoints(service, endpoints)
	}
}

// status returns the state of the node for the administration API.
func (n *Runner) status() administrator.Status {
	status := administrator.Status{
		Node:     n.announcer.Local(),
		Version:  n.Version,
		Revision: n.distributor.Revision(),
		Table:    n.distributor.TableState(),
		Members:  n.announcer.Members(),
	}
	for _, c := range n.distributor.Services() {
		status.Documents = append(status.Documents, administrator.DocumentStatus{
			Service:   c.Service,
			Version:   c.Version,
			Revision:  c.Revision,
			Withdrawn: c.Withdrawn,
		})
	}
	return status
}
