package conductor

import (
	"context"
	"crypto/subtle"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
)

const (
	// storeTimeout bounds a call to the store, which answers within milliseconds.
	storeTimeout = time.Second
	// storeRetry separates failed calls at the start.
	storeRetry = 200 * time.Millisecond
	// firstRead bounds the wait before the members are first read. Callers send to a node as
	// soon as it runs; the store takes 2000 reads a second, which a start of 200 nodes within
	// this time stays below.
	firstRead = 100 * time.Millisecond
	// lonelyStart is the time after which a node without members is ready: it is the
	// first, or the others come later.
	lonelyStart = 3 * time.Second
	// headerFetch asks a node for its routing table.
	headerFetch = "Gentianlever-Fetch"
)

// membership holds what connects the node to the others.
type membership struct {
	announcer announcer.Announcer
	udp       messenger.UDP
	client    messenger.Client
	nodes     atomic.Pointer[nodesService]
	members   atomic.Int64
	joinedAt  atomic.Int64
	membersAt atomic.Int64
}

// nodesService is what answers other nodes once the membership key is known.
type nodesService struct {
	token    string
	messages http.Handler
}

func (n *Conductor) buildMembership() {
	s := n.Settings
	discard := func(int) {}
	n.client = messenger.Client{Sent: discard}
	n.udp = messenger.UDP{
		Address:  s.NodesAddress,
		Receive:  n.announcer.Receive,
		Sent:     discard,
		Received: func() {},
		Rejected: func() {},
	}
	n.announcer = announcer.Announcer{
		Self: announcer.Member{
			ID:               s.Name,
			Service:          s.Service,
			AvailabilityZone: s.AvailabilityZone,
			Region:           s.Region(s.AvailabilityZone),
			Address:          s.NodesAddress,
			Incarnation:      n.incarnation,
			// The endpoint has not reported yet.
			Draining: true,
		},
		FirstRead: firstRead,
		Seed:      n.incarnation,
		Table:     n.table,
		Send:      n.udp.Send,
		Sync:      n.client.Sync,
		Changed:   n.membersChanged,
		Revision:  n.follower.Revision,
		Newer:     func(from announcer.Member, revision uint64) { n.follower.Newer(from.ID, revision) },
	}
}

// runMembership follows the members until ctx ends.
func (n *Conductor) runMembership(ctx context.Context) error {
	key := n.Settings.MembershipKey
	n.client.MembershipKey = key
	n.client.Open()
	n.udp.MembershipKey = key
	if err := n.udp.Listen(); err != nil {
		return err
	}
	n.nodes.Store(&nodesService{
		token:    n.callers.NodeToken,
		messages: n.messengerService(key).Handler(),
	})
	n.joinedAt.Store(time.Now().UnixNano())
	n.Log.Info(recorder.MembershipStarted)
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(n.loads.Run)
	p.Go(n.watcher.Run)
	p.Go(n.udp.Run)
	p.Go(n.announcer.Run)
	return p.Wait()
}

// joined reports whether the node knows others, or has looked for them long enough.
func (n *Conductor) joined() bool {
	at := n.joinedAt.Load()
	return at != 0 && (n.members.Load() > 1 || time.Since(time.Unix(0, at)) > lonelyStart)
}

// tableFollowers is the number of nodes that wait for changes of the routing table at the
// store. Each call is paid for, so that not all nodes do; twelve are enough that a fault
// which cuts a third of the nodes off leaves some with near certainty.
const tableFollowers = 12

// followsStore reports whether this node is one of those that wait at the store: the ones
// with the lowest digest of their names. Each node finds out for itself, so that any of
// them may fail; where nodes know different members, a few more of them wait.
func (n *Conductor) followsStore() bool {
	own := rank(n.Settings.Name)
	lower := 0
	for _, m := range n.announcer.Present() {
		if m.ID != n.Settings.Name && m.State == announcer.Alive && rank(m.ID) < own {
			lower++
		}
	}
	return lower < tableFollowers
}

func rank(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func (n *Conductor) nodeCount() int { return int(max(n.members.Load(), 1)) }

func (n *Conductor) membersChanged(members []announcer.Member) {
	n.members.Store(int64(len(members)))
	n.membersAt.Store(time.Now().UnixNano())
	peers := make([]relayer.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, relayer.Peer{
			ID:          m.ID,
			Service:     m.Service,
			Zone:        m.AvailabilityZone,
			Address:     m.Address,
			Incarnation: m.Started,
			Draining:    m.Draining,
		})
	}
	n.logMembers(members)
	n.view.SetPeers(peers)
}

// logMembers logs all members with their states.
func (n *Conductor) logMembers(members []announcer.Member) {
	states := make([]string, 0, len(members))
	for _, m := range members {
		state := m.State.String()
		if m.Draining {
			state += " draining"
		}
		states = append(states, fmt.Sprintf("%s@%d %s", m.ID, m.Started, state))
	}
	n.Log.Info(recorder.MembersChanged, "count", len(members), "members", states)
}

func (n *Conductor) announceTable(version uint64) {
	if n.nodes.Load() != nil {
		n.announcer.Notify(version)
	}
}

// fetchTable reads the encoded routing table of a member.
func (n *Conductor) fetchTable(ctx context.Context, member string) ([]byte, error) {
	address, err := n.announcer.Address(member)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerFetch, "table")
	r.Header.Set(relayer.HeaderNode, n.callers.NodeToken)
	resp, err := n.toNodes.Exchange(ctx, r, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(resp.Body, maxTableBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("member %s answered with status %d", member, resp.StatusCode)
	}
	return encoded, nil
}

// maxTableBytes bounds a routing table; a row of the store holds 64 KB.
const maxTableBytes = 4 << 20

// nodesHandler serves messages, routing tables and requests for the endpoint to other nodes.
func (n *Conductor) nodesHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service := n.nodes.Load()
		switch {
		case service == nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		case messenger.Addressed(r):
			service.messages.ServeHTTP(w, r)
		case r.Header.Get(headerFetch) != "":
			n.serveTable(w, r, service.token)
		default:
			n.endpoint.ServeHTTP(w, r)
		}
	})
}

func (n *Conductor) serveTable(w http.ResponseWriter, r *http.Request, token string) {
	v := n.follower.Current()
	switch {
	case subtle.ConstantTimeCompare([]byte(r.Header.Get(relayer.HeaderNode)), []byte(token)) != 1:
		w.WriteHeader(http.StatusForbidden)
	case v == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		// A failed write means that the member has gone.
		_, _ = w.Write(v.Encoded)
	}
}

// messengerService answers the messages of other nodes. Documents and claims belong to
// the product's own interface and are not served here.
func (n *Conductor) messengerService(key []byte) *messenger.Service {
	return &messenger.Service{
		MembershipKey: key,
		Sync:          n.announcer.HandleSync,
		Changes:       func(uint64) []distributor.Change { return nil },
		Suspects:      n.quarantiner.Merge,
		Rejected:      func() {},
	}
}
