package conductor

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/archiver"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/registrar"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/replicator"
)

const (
	// headerDepartures marks a request whose body is a replicator.Message.
	headerDepartures = "Gentianlever-Departures"
	// headerDepartureRows is the header of a request to read the rows of the departures of the node that
	// it names. The body of the response is a list of departures.
	headerDepartureRows = "Gentianlever-Departure-Rows"
	// maxDeparturesBytes limits the body of a message with departures. One takes less than 200 bytes.
	maxDeparturesBytes = 64 << 10
	// storeFailureAge is the time after a failed call of the store in which the node makes no calls for
	// others. Nodes that poll the store call it again sooner.
	storeFailureAge = 2 * time.Second
)

// buildReplicator configures the copies of departures at other members.
func (n *Conductor) buildReplicator() {
	n.replicator = replicator.Replicator{
		Self: replicator.Member{
			ID:          n.Settings.Name,
			Incarnation: n.incarnation,
		},
		Members: func() []replicator.Member {
			var members []replicator.Member
			for _, m := range n.announcer.Present() {
				if m.ID != n.Settings.Name {
					members = append(members, replicator.Member{
						ID:          m.ID,
						Incarnation: m.StartIncarnation,
					})
				}
			}
			return members
		},
		Send: n.sendDepartures,
		OnReturned: func(owner string, departures int, err error) {
			n.Log.Info(recorder.DeparturesReturned, "member", owner, "departures", departures, "error", errorText(err))
		},
	}
}

// buildArchiver configures the record of departures in the store.
func (n *Conductor) buildArchiver() {
	n.archiver = archiver.Archiver{
		Write:     n.writeDepartures,
		Copy:      n.copyDeparture,
		OnWritten: n.departuresWritten,
		Read: func(ctx context.Context) ([]registrar.Departure, error) {
			return n.readDepartures(ctx, n.Settings.Name)
		},
		ReadThroughMember: n.readDeparturesThroughMember,
		OnRead:            n.departuresRead,
		OnUnknown:         n.departuresUnknown,
		StartedAt:         n.startedAt,
	}
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// copyDeparture copies a departure to other members and logs if none has taken it.
func (n *Conductor) copyDeparture(d registrar.Departure) {
	if err := n.replicator.Replicate(d); err != nil {
		n.Log.Warn(recorder.DepartureNotCopied, "endpoint", d.ID, "error", err.Error())
	}
}

// readDeparturesThroughMember asks a member to read the departures of this node's endpoints: one of those
// that poll the store, because they know whether it is available.
func (n *Conductor) readDeparturesThroughMember(ctx context.Context) ([]registrar.Departure, error) {
	pollers := n.otherPollers()
	if len(pollers) == 0 {
		return nil, errors.New("no other members")
	}
	address := pollers[rand.N(len(pollers))].Address
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerDepartureRows, n.Settings.Name)
	n.setNodeToken(r.Header)
	resp, err := n.nodeExchanger.Exchange(ctx, r, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("departures read through %s: unexpected status %d", address, resp.StatusCode)
	}
	var departures []registrar.Departure
	if err := json.NewDecoder(resp.Body).Decode(&departures); err != nil {
		return nil, err
	}
	for _, d := range departures {
		if err := d.Validate(); err != nil {
			return nil, err
		}
	}
	return departures, nil
}

// serveDepartureRows reads the rows of departures for a member that holds the node token.
func (n *Conductor) serveDepartureRows(w http.ResponseWriter, r *http.Request, token string) {
	if !hasNodeToken(r, token) {
		relayer.AbandonBody(w, r)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if time.Since(time.Unix(0, n.storeFailedAt.Load())) < storeFailureAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	departures, err := n.readDepartures(r.Context(), r.Header.Get(headerDepartureRows))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// A failed write means that the member has closed the connection.
	_ = json.NewEncoder(w).Encode(departures)
}

// sendDepartures sends departures to a member.
func (n *Conductor) sendDepartures(ctx context.Context, member string, m replicator.Message) error {
	address, err := n.announcer.Address(member)
	if err != nil {
		return err
	}
	// A struct of strings, numbers and booleans always encodes.
	body, _ := json.Marshal(m)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set(headerDepartures, m.Owner)
	n.setNodeToken(r.Header)
	resp, err := n.nodeExchanger.Exchange(ctx, r, address)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("departures sent to member %s: unexpected status %d", member, resp.StatusCode)
	}
	return nil
}

// serveDepartures takes departures from a member that holds the node token: copies to keep, or
// those of this node that it knew before its restart.
func (n *Conductor) serveDepartures(w http.ResponseWriter, r *http.Request, token string) {
	if !hasNodeToken(r, token) {
		relayer.AbandonBody(w, r)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var m replicator.Message
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDeparturesBytes))
	if err == nil {
		err = json.Unmarshal(body, &m)
	}
	for _, d := range m.Departures {
		if err == nil {
			err = d.Validate()
		}
	}
	if err != nil {
		n.Log.Warn(recorder.DepartureUnreadable, "row", r.RemoteAddr)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.Owner == n.Settings.Name {
		n.takeDepartures(r.RemoteAddr, m.Departures)
	} else {
		n.replicator.Keep(m)
	}
	w.WriteHeader(http.StatusNoContent)
}

// takeDepartures puts departures into effect that members return after a restart. Those that the
// node did not know may not be recorded, and are written.
func (n *Conductor) takeDepartures(from string, departures []registrar.Departure) {
	for _, d := range departures {
		if !n.registrar.Knows(d) {
			n.registrar.Restore([]registrar.Departure{d})
			n.Log.Info(recorder.DeparturesRestored, "source", "member "+from, "departures", 1)
			n.archiver.Record(d)
		}
	}
}
