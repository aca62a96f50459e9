package relayer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
	"github.com/gentianlever/gentianlever/internal/exchanger"
	"github.com/gentianlever/gentianlever/internal/forwarder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/reporter"
)

// ownHeaders is the prefix of the names of the headers between nodes.
const ownHeaders = "Gentianlever-"

// Relay passes requests of other nodes on to the nodes beside endpoints that the senders do not reach.
// It never runs a request at the local endpoint, and sends none to a second relay. Set the exported
// fields before use.
type Relay struct {
	// NodeToken authenticates nodes to each other.
	NodeToken string
	// Node is the ID of this node.
	Node      string
	View      *View
	Exchanger *exchanger.Exchanger
	// Requests and Bodies read the bodies of requests and responses. They are those of the other
	// requests of the node, so that the same bounds hold.
	Requests *collector.Requests
	Bodies   *collector.Collector
	// MaxBodyBytes returns the maximum size of a request body.
	MaxBodyBytes func() int64
	// OnEvent is called at the end of each request of a node.
	OnEvent func(e RelayEvent)
}

// RelayEvent is the outcome of a request that was passed on for another node.
type RelayEvent struct {
	ID string
	// Node is the node beside the endpoint, as the sender has named it, and From the sender's address.
	Node string
	From string
	// Status is the status of the response; Refused is set if this node refused the request.
	Status  int
	Refused *RefusedError
	// LastHeard is the time since the last message of Node, or negative if there was none.
	LastHeard time.Duration
	Took      time.Duration
}

// IsRelayed reports whether a request of another node is to be passed on.
func IsRelayed(r *http.Request) bool { return len(r.Header[headerRelay]) > 0 }

// ServeHTTP passes one request on.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderNodeToken)), []byte(s.NodeToken)) != 1 {
		AbandonBody(w, r)
		writeRefused(w, &RefusedError{Refusal: &refuser.Refusal{Reason: refuser.Unauthenticated}})
		return
	}
	e := RelayEvent{
		Node:      r.Header.Get(headerRelay),
		From:      r.RemoteAddr,
		LastHeard: -1,
	}
	started := time.Now()
	response, until, err := s.relay(w, r, &e, started)
	e.Took = time.Since(started)
	if err != nil {
		e.Refused = asRefused(err)
		s.OnEvent(e)
		writeRefused(w, e.Refused)
		return
	}
	defer response.release()
	e.Status = response.Status
	s.OnEvent(e)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	limitWriteTime(w, until.Add(writeMargin))
	writeResponse(w, response)
}

// relay passes the request on and returns the complete response, and the deadline of the request.
func (s *Relay) relay(w http.ResponseWriter, r *http.Request, e *RelayEvent, started time.Time) (*Response, time.Time, error) {
	c, err := decodeCall(r.Header)
	if err != nil {
		AbandonBody(w, r)
		return nil, started, err
	}
	e.ID = c.ID
	deadline := started.Add(fromMicros(c.TimeLeft))
	peer, lastHeard, ok := s.View.relayTarget(e.Node, s.Node, started)
	e.LastHeard = lastHeard
	if !ok {
		AbandonBody(w, r)
		return nil, deadline, &refuser.Refusal{
			Reason: refuser.NodeUnreachable,
			Detail: "this node does not reach " + e.Node + " either",
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	content, err := collectBody(ctx, s.Requests, collector.FromNode, w, r, s.MaxBodyBytes(), deadline)
	if err != nil {
		return nil, deadline, nodeBodyRefusal(err)
	}
	defer content.Release()
	response, err := s.pass(ctx, r, content, peer, time.Since(started))
	return response, deadline, err
}

// pass sends the request to the node beside the endpoint. spent is the time since it arrived.
func (s *Relay) pass(ctx context.Context, r *http.Request, content *collector.Content, peer Peer, spent time.Duration) (*Response, error) {
	out := nextHopRequest(r, content)
	out.Header[headerCall] = []string{shortened(r.Header.Get(headerCall), spent)}
	out.Header[HeaderNodeToken] = []string{s.NodeToken}
	if content.Len() > expectContinueBytes {
		out.Header["Expect"] = []string{"100-continue"}
	}
	// The attempt makes the liveness monitor probe the node if it does not respond.
	f := &inFlightAttempt{started: time.Now()}
	s.View.beginAttempt(peer.ID, f)
	end := attemptCancelled
	defer func() { s.View.endAttempt(peer.ID, f, end, time.Now()) }()
	resp, err := s.Exchanger.Exchange(ctx, out, peer.Address)
	if err != nil {
		return nil, s.failure(ctx, peer.ID, err)
	}
	body, err := s.Bodies.Collect(ctx, resp)
	if err != nil {
		return nil, s.failure(ctx, peer.ID, err)
	}
	// The outcome for the endpoint is the sender's to judge; here it only counts as a message.
	if load, err := reporter.Parse(resp.Header.Get(reporter.Header)); err == nil {
		s.View.Report(peer.ID, load, time.Now())
	}
	return &Response{
		Status: resp.StatusCode,
		Header: relayedHeader(resp.Header),
		Body:   body.Bytes,
		held:   body,
	}, nil
}

// failure returns the refusal of a request whose exchange with the node beside the endpoint failed: as
// not run only if nothing was sent.
func (s *Relay) failure(ctx context.Context, id string, err error) error {
	var connect *exchanger.ConnectError
	var unsent *exchanger.NotSentError
	refused := &RefusedError{
		Refusal: &refuser.Refusal{
			Reason: refuser.NodeFailed,
			Detail: "relay: " + err.Error(),
		},
		Arrived: true,
	}
	switch {
	case errors.As(err, &connect), errors.As(err, &unsent):
		if ctx.Err() == nil {
			s.View.markCutOff(id, time.Now())
		}
		refused.Reason, refused.Arrived = refuser.NodeUnreachable, false
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		refused.Reason = refuser.Timeout
	}
	return refused
}

// relayedHeader returns the headers of a response that are passed on, including those between nodes.
func relayedHeader(h http.Header) http.Header {
	out := forwarder.ForwardedHeader(h)
	for name, values := range h {
		if strings.HasPrefix(name, ownHeaders) {
			out[name] = values
		}
	}
	return out
}

// shortened returns encoded call metadata with the times left reduced by the time spent at this node.
// Fields that this version does not know are kept.
func shortened(call string, spent time.Duration) string {
	var fields map[string]json.RawMessage
	// The metadata was decoded before.
	_ = json.Unmarshal([]byte(call), &fields)
	for _, name := range []string{"target-left", "time-left"} {
		var left int64
		_ = json.Unmarshal(fields[name], &left)
		fields[name], _ = json.Marshal(left - micros(spent))
	}
	b, _ := json.Marshal(fields)
	return string(b)
}

// relayTarget returns the member with the given ID and the time since its last message, if this node
// reaches it and it is not the node with the ID self.
func (v *View) relayTarget(id, self string, now time.Time) (Peer, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.byID[id]
	if state == nil {
		return Peer{}, -1, false
	}
	return state.peer, since(state.liveness.lastReceived, now), id != self && state.inReach()
}
