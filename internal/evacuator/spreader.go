package evacuator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxInformed is the number of members in succession that knew the set already, after which a node
	// stops. Members that all nodes miss learn of the set from the revision in load messages.
	maxInformed = 8
	// spreadWorkers is the number of members that a node tells at a time. A member that has lost power
	// costs noticeTimeout, and the set must be known everywhere within seconds.
	spreadWorkers = 4
	// noticeTimeout limits the exchange with one member.
	noticeTimeout = time.Second
	// minAskInterval is the time between two questions to members with a higher revision.
	minAskInterval = 50 * time.Millisecond
)

// Spreader passes the set on to other members after a change, and asks members that state a higher
// revision. In steady state it does nothing. Set the exported fields before Run.
type Spreader struct {
	Evacuator *Evacuator
	// Peers returns the IDs of the other members.
	Peers func() []string
	// Exchange tells a member the set, offers the set of the member to the Evacuator, and returns the
	// revision that the member had before.
	Exchange func(ctx context.Context, peer string) (uint64, error)
	// OnFailed is called for each member with which the exchange failed. It may be nil.
	OnFailed func(peer string, err error)

	once   sync.Once
	raised chan struct{}
	behind chan string
}

func (s *Spreader) initialize() {
	s.once.Do(func() {
		s.raised = make(chan struct{}, 1)
		s.behind = make(chan string, 1)
	})
}

// Spread requests that the set is passed on. It does not block.
func (s *Spreader) Spread() {
	s.initialize()
	select {
	case s.raised <- struct{}{}:
	default:
	}
}

// Heard takes note of the revision that a member states. It does not block.
func (s *Spreader) Heard(peer string, revision uint64) {
	if current, _ := s.Evacuator.Current(); revision <= current.Revision() {
		return
	}
	s.initialize()
	select {
	case s.behind <- peer:
	default:
	}
}

// Run passes sets on and asks for them until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	s.initialize()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.ask(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.raised:
			s.tellAll(ctx)
		}
	}
}

// ask exchanges sets with the members that stated a higher revision.
func (s *Spreader) ask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-s.behind:
			s.exchange(ctx, peer)
			select {
			case <-ctx.Done():
			case <-time.After(minAskInterval):
			}
		}
	}
}

func (s *Spreader) exchange(ctx context.Context, peer string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	revision, err := s.Exchange(ctx, peer)
	if err != nil && ctx.Err() != context.Canceled && s.OnFailed != nil {
		s.OnFailed(peer, err)
	}
	return revision, err
}

// tellAll tells random members until maxInformed of them in succession knew the set. Each member that
// learns of it does the same. It ends when the set changes again.
func (s *Spreader) tellAll(ctx context.Context) {
	set, _ := s.Evacuator.Current()
	revision := set.Revision()
	peers := s.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var mu sync.Mutex
	informed := 0
	next := func() (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		current, _ := s.Evacuator.Current()
		if len(peers) == 0 || informed >= maxInformed || !slices.Equal(current.Zones, set.Zones) || ctx.Err() != nil {
			return "", false
		}
		peer := peers[0]
		peers = peers[1:]
		return peer, true
	}
	var wg sync.WaitGroup
	for range spreadWorkers {
		wg.Go(func() {
			for {
				peer, ok := next()
				if !ok {
					return
				}
				known, err := s.exchange(ctx, peer)
				mu.Lock()
				switch {
				case err != nil:
				case known >= revision:
					informed++
				default:
					informed = 0
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}
