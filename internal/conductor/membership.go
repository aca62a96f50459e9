package conductor

import (
	"cmp"
	"context"
	"crypto/subtle"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/announcer"
	"github.com/gentianlever/gentianlever/internal/distributor"
	"github.com/gentianlever/gentianlever/internal/follower"
	"github.com/gentianlever/gentianlever/internal/messenger"
	"github.com/gentianlever/gentianlever/internal/receiver"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/relayer"
)

const (
	// storeTimeout limits a call to the store, which normally responds within milliseconds.
	storeTimeout = time.Second
	// storeRetryDelay is the delay before a failed call is retried during startup.
	storeRetryDelay = 200 * time.Millisecond
	// maxFirstReadDelay is the maximum random delay before the node first reads the members.
	// It is short because callers send requests as soon as the node runs. 200 nodes that
	// start together stay below the store's limit of 2000 reads per second.
	maxFirstReadDelay = 100 * time.Millisecond
	// noPeersDelay is the time after which a node that found no other members becomes ready,
	// as the first node of a system has to.
	noPeersDelay = 3 * time.Second
	// headerFetch is the header of a request for a node's routing table, or only for the era
	// of the store that it knows. Its values are fetchedTable and fetchedEra.
	headerFetch  = "Gentianlever-Fetch"
	fetchedTable = "table"
	fetchedEra   = "store-era"
	// headerKnownTable states the ID of the table that the fetching node has, and headerTableBase
	// that of the table from which the body of the response is a delta. Without them, the body
	// is the encoded table.
	headerKnownTable = "Gentianlever-Known-Table"
	headerTableBase  = "Gentianlever-Table-Base"
	// fetchResponseTimeout bounds the wait for a member's response to a fetch, and fetchStall the
	// time without a byte of it.
	fetchResponseTimeout = time.Second
	fetchStall           = time.Second
)

// membership holds the node's membership and its connections to other nodes.
type membership struct {
	announcer announcer.Announcer
	udp       messenger.UDP
	client    messenger.Client
	// nodes is nil until membership has started.
	nodes       atomic.Pointer[nodesService]
	memberCount atomic.Int64
	// otherZones holds the addresses of the members in other availability zones.
	otherZones atomic.Pointer[map[netip.Addr]bool]
	// listedMembers is one more than the number of other members in the store's rows at their last read, or
	// one if another member was found before; zero while the members are not known.
	listedMembers atomic.Int64
	// membershipStartedAt is when the exchange of messages started, and membersChangedAt when
	// the members last changed, in nanoseconds since the Unix epoch. Each is zero before that.
	membershipStartedAt atomic.Int64
	membersChangedAt    atomic.Int64
}

// nodesService holds what is needed to serve other nodes.
type nodesService struct {
	token    string
	messages http.Handler
}

// buildMembership configures the membership and the messages between nodes. runMembership adds
// the membership key.
func (n *Conductor) buildMembership() {
	s := n.Settings
	discard := func(int) {}
	n.client = messenger.Client{OnSent: discard}
	n.udp = messenger.UDP{
		Address:    s.NodesAddress,
		Receive:    n.announcer.Receive,
		OnSent:     discard,
		OnReceived: func() {},
		OnRejected: func() {},
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
		MaxFirstReadDelay: maxFirstReadDelay,
		RandomSeed:        n.incarnation,
		Table:             n.table,
		Send:              n.udp.Send,
		Sync:              n.client.Sync,
		OnMembersChanged:  n.membersChanged,
		OnRowsRead:        n.rowsRead,
		Urgent:            n.quotas.enabled.Load,
		Revision:          n.follower.Version,
		OnNewerRevision:   func(from announcer.Member, revision uint64) { n.follower.HandleAnnouncement(from.ID, revision) },
	}
}

// runMembership starts the messages between nodes and tracks the members until ctx ends.
func (n *Conductor) runMembership(ctx context.Context) error {
	key := n.Settings.MembershipKey
	n.client.MembershipKey = key
	n.client.Init()
	n.udp.MembershipKey = key
	if err := n.udp.Listen(); err != nil {
		return err
	}
	n.nodes.Store(&nodesService{
		token:    n.callers.NodeToken,
		messages: n.messengerService(key).Handler(),
	})
	n.membershipStartedAt.Store(time.Now().UnixNano())
	n.Log.Info(recorder.MembershipStarted)
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(n.loadExchange.Run)
	p.Go(n.livenessMonitor.Run)
	p.Go(n.udp.Run)
	p.Go(n.announcer.Run)
	return p.Wait()
}

// joined reports whether the node has found other members, and one that is not in an evacuated zone, or
// has searched for noPeersDelay. A node of an evacuated zone would otherwise refuse the first requests. A
// node that does not know whether there are others is not ready as long as it refuses requests for that.
func (n *Conductor) joined() bool {
	at := n.membershipStartedAt.Load()
	if at == 0 || n.quotas.enabled.Load() && !n.membersKnown() {
		return false
	}
	return n.memberCount.Load() > 1 && n.view.HasUsedZone() || time.Since(time.Unix(0, at)) > noPeersDelay
}

// membersKnown reports whether the node has found another member since its start, or has read the store's
// rows. Before that, it may be one of any number of nodes.
func (n *Conductor) membersKnown() bool { return n.listedMembers.Load() > 0 }

// rowsRead records a read of the members' rows in the store.
func (n *Conductor) rowsRead(listed int) {
	if n.listedMembers.Swap(int64(listed)+1) == 0 {
		n.setQuotaMembers(n.announcer.Present())
	}
}

// maxTablePollers is the number of nodes that long-poll the store for changes of the routing
// table; the others receive changes from members. Not all nodes poll, because each call
// costs money. With twelve, a fault that cuts off a third of the nodes almost certainly leaves
// some of the pollers connected.
const maxTablePollers = 12

// pollsStore reports whether this node long-polls the store. The maxTablePollers live members
// whose names have the lowest hashes do. Each node decides this locally, so that another node
// takes over when one fails. While nodes have different views of the membership, a few more
// may poll.
func (n *Conductor) pollsStore() bool {
	rank, _ := n.pollRank()
	return rank < maxTablePollers
}

// otherPollers returns the members that poll the store, without this node.
func (n *Conductor) otherPollers() []announcer.Member {
	members := slices.DeleteFunc(n.announcer.Present(), func(m announcer.Member) bool {
		return m.ID == n.Settings.Name || m.State != announcer.Alive
	})
	slices.SortFunc(members, func(a, b announcer.Member) int { return cmp.Compare(nameHash(a.ID), nameHash(b.ID)) })
	return members[:min(len(members), maxTablePollers)]
}

// pollSlot returns the place of this node among those that long-poll the store, and their number.
func (n *Conductor) pollSlot() (int, int) {
	rank, members := n.pollRank()
	slots := min(members, maxTablePollers)
	return rank % slots, slots
}

// pollRank returns the number of live members whose names have lower hashes than this node's, and the
// number of all live members including this node.
func (n *Conductor) pollRank() (int, int) {
	local := nameHash(n.Settings.Name)
	rank, members := 0, 1
	for _, m := range n.announcer.Present() {
		if m.ID == n.Settings.Name || m.State != announcer.Alive {
			continue
		}
		members++
		if nameHash(m.ID) < local {
			rank++
		}
	}
	return rank, members
}

// nameHash returns the hash of a node's name.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// nodeCount returns the number of members including this node, at least one. If the members are not known,
// it is the highest number, as for a part of what all nodes share.
func (n *Conductor) nodeCount() int {
	if !n.membersKnown() {
		return math.MaxInt
	}
	return int(max(n.memberCount.Load(), 1))
}

// membersChanged logs the members and makes them the peers among which requests are
// distributed. The members include this node.
func (n *Conductor) membersChanged(members []announcer.Member) {
	if n.memberCount.Swap(int64(len(members))) <= 1 && len(members) > 1 {
		n.listedMembers.CompareAndSwap(0, 1)
		n.archiver.HandleMembersFound()
	}
	n.membersChangedAt.Store(time.Now().UnixNano())
	otherZones := make(map[netip.Addr]bool)
	peers := make([]relayer.Peer, 0, len(members))
	for _, m := range members {
		if m.AvailabilityZone != n.Settings.AvailabilityZone {
			otherZones[m.Address.Addr()] = true
		}
		peers = append(peers, relayer.Peer{
			ID:          m.ID,
			Service:     m.Service,
			Zone:        m.AvailabilityZone,
			Address:     m.Address,
			Incarnation: m.StartIncarnation,
			Draining:    m.Draining,
		})
	}
	n.otherZones.Store(&otherZones)
	n.logMembers(members)
	n.view.SetPeers(peers)
	n.setQuotaMembers(members)
	n.replicator.HandleMembersChanged()
}

// inOtherZone reports whether a node is a member in another availability zone.
func (n *Conductor) inOtherZone(node netip.Addr) bool {
	zones := n.otherZones.Load()
	return zones != nil && (*zones)[node]
}

// logMembers logs all members with their states.
func (n *Conductor) logMembers(members []announcer.Member) {
	states := make([]string, 0, len(members))
	for _, m := range members {
		state := m.State.String()
		if m.Draining {
			state += " draining"
		}
		states = append(states, fmt.Sprintf("%s@%d %s", m.ID, m.StartIncarnation, state))
	}
	n.Log.Info(recorder.MembersChanged, "count", len(members), "members", states)
}

// announceTable announces a version of the routing table to the other members.
func (n *Conductor) announceTable(version uint64) {
	if n.nodes.Load() != nil {
		n.announcer.NotifyRevision(version)
	}
}

// fetchTable fetches the encoded routing table of a member, as a delta from the active one if the
// member has that. It returns the number of bytes received too.
func (n *Conductor) fetchTable(ctx context.Context, member string) ([]byte, int, error) {
	f, err := n.fetch(ctx, member, fetchedTable)
	if err != nil {
		return nil, 0, err
	}
	if f.base == "" {
		return f.body, len(f.body), nil
	}
	encoded, err := n.follower.Apply(follower.Delta{
		Base: f.base,
		Body: f.body,
	}, maxTableBytes)
	return encoded, len(f.body), err
}

// fetched is a member's response to a fetch.
type fetched struct {
	body []byte
	// base is the ID of the base of which body is a delta; empty if it is none.
	base string
	// era is the era of the store that the member knew before the fetch, or 0.
	era uint64
	// evacuations is the revision of the set of evacuated zones that the member knew before, or 0.
	evacuations uint64
}

// fetch fetches one of the things that headerFetch names from a member. Both nodes tell each
// other the era of the store and the evacuated zones.
func (n *Conductor) fetch(ctx context.Context, member, what string) (fetched, error) {
	address, err := n.announcer.Address(member)
	if err != nil {
		return fetched{}, err
	}
	ctx, watch := receiver.NewWatch(ctx, fetchResponseTimeout)
	defer watch.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
	if err != nil {
		return fetched{}, err
	}
	r.Header.Set(headerFetch, what)
	r.Header.Set(headerKnownTable, n.follower.ID())
	n.setNodeToken(r.Header)
	n.setEra(r.Header)
	n.setEvacuations(r.Header)
	resp, err := n.nodeExchanger.Exchange(ctx, r, address)
	if err != nil {
		return fetched{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	// A large table arrives slowly, and the evacuated zones must be known before it is in effect.
	evacuations := n.handleMemberEvacuations(resp.Header, member)
	body, err := watch.Read(ctx, resp.Body, maxTableBytes, fetchStall)
	if err != nil {
		return fetched{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return fetched{}, errors.Errorf("fetch of %s from member %s: unexpected status %d", what, member, resp.StatusCode)
	}
	return fetched{
		body: body,
		base: resp.Header.Get(headerTableBase),
		era:  n.handleMemberEra(resp.Header, member),

		evacuations: evacuations,
	}, nil
}

// maxTableBytes limits the size of a fetched routing table, encoded and decoded.
const maxTableBytes = 4 << 20

// nodesHandler handles requests from other nodes: messages, fetches of the routing table, departures,
// and requests for the local endpoint. In a planned stop, other nodes are told to close their connections
// before this node does, because a request that is on its way then has an unknown outcome.
func (n *Conductor) nodesHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.endpointClosed.Load() {
			w.Header().Set("Connection", "close")
		}
		service := n.nodes.Load()
		limitMessageTime(w, r)
		switch {
		case service == nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		case messenger.IsServiceRequest(r):
			n.serveMessage(w, r, service.messages)
		case r.Header.Get(headerFetch) != "":
			n.serveFetch(w, r, service.token)
		case r.Header.Get(headerDepartureRows) != "":
			n.serveDepartureRows(w, r, service.token)
		case r.Header.Get(headerDepartures) != "":
			n.serveDepartures(w, r, service.token)
		case relayer.IsRelayed(r):
			n.relay.ServeHTTP(w, r)
		default:
			// The endpoint side limits the time for the body.
			n.endpoint.ServeHTTP(w, r)
		}
	})
}

// setNodeToken authenticates a request to another node.
func (n *Conductor) setNodeToken(h http.Header) { h.Set(relayer.HeaderNodeToken, n.callers.NodeToken) }

// hasNodeToken reports whether a request comes from a node.
func hasNodeToken(r *http.Request, token string) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get(relayer.HeaderNodeToken)), []byte(token)) == 1
}

// serveFetch serves a fetch by a member that holds the node token.
func (n *Conductor) serveFetch(w http.ResponseWriter, r *http.Request, token string) {
	if !hasNodeToken(r, token) {
		relayer.AbandonBody(w, r)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	n.setEra(w.Header())
	n.setEvacuations(w.Header())
	n.handleMemberEra(r.Header, r.RemoteAddr)
	n.handleMemberEvacuations(r.Header, r.RemoteAddr)
	v := n.follower.Current()
	switch {
	case r.Header.Get(headerFetch) == fetchedEra:
		w.WriteHeader(http.StatusOK)
	case v == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(headerKnownTable) == "":
		// A failed write means that the member has closed the connection.
		_, _ = w.Write(v.Encoded)
	default:
		n.serveDelta(w, r.Header.Get(headerKnownTable))
	}
}

// serveDelta serves the active table to a member that has the one with the ID known.
func (n *Conductor) serveDelta(w http.ResponseWriter, known string) {
	delta, err := n.follower.Delta(known)
	if err != nil {
		n.Log.Error(recorder.TableUnavailable, "operation", "encode", "version", n.follower.Version(), "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerTableBase, delta.Base)
	w.Header().Set("Content-Length", strconv.Itoa(len(delta.Body)))
	// A failed write means that the member has closed the connection.
	_, _ = w.Write(delta.Body)
}

// messengerService returns the service that handles messages from other nodes. A sidecar has
// no documents and no claims, so it serves neither.
func (n *Conductor) messengerService(key []byte) *messenger.Service {
	return &messenger.Service{
		MembershipKey: key,
		Sync:          n.announcer.HandleSync,
		Changes:       func(uint64) []distributor.Change { return nil },
		Suspects:      n.quarantiner.Merge,
		OnRejected:    func() {},
	}
}
