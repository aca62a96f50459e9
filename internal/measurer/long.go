package measurer

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

// ticket waits for a slot of a server and notes a long request that has to wait.
func (f *flight) ticket(ctx context.Context, index int, r admitter.Request) (*admitter.Ticket, error) {
	free := f.r.long && f.misplaced(index)
	begin := time.Now()
	ticket, err := f.admitters[index].Admit(ctx, r)
	if f.r.long && time.Since(begin) > 0 {
		f.count(func(t *tally) {
			t.queued = true
			t.misplaced = t.misplaced || free
		})
	}
	return ticket, err
}

// misplaced reports whether a server's long slots are taken while one is free at
// another server. A server whose other slots are taken gives a long request its turn
// within a few short service times, so it does not count.
func (p *ours) misplaced(index int) bool {
	if int(p.running[index].Load()) < p.longSlots() {
		return false
	}
	for i := range p.running {
		if i != index && int(p.running[i].Load()) < p.longSlots() {
			return true
		}
	}
	return false
}
