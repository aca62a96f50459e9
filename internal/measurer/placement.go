package measurer

import (
	"context"
	"time"

	"github.com/gentianlever/gentianlever/internal/admitter"
)

// awaitSlot waits for a slot of a server. It counts a long request that has to wait as
// queued, and as misplaced if a long slot was free at another server.
func (f *inFlightRequest) awaitSlot(ctx context.Context, index int, r admitter.Request) (*admitter.Ticket, error) {
	freeElsewhere := f.r.long && f.longSlotFreeElsewhere(index)
	start := time.Now()
	ticket, err := f.admitters[index].Admit(ctx, r)
	if f.r.long && time.Since(start) > 0 {
		f.updateCounts(func(counts *requestCounts) {
			counts.queued = true
			counts.misplaced = counts.misplaced || freeElsewhere
		})
	}
	return ticket, err
}

// longSlotFreeElsewhere reports whether all long slots of a server are in use while one is
// free at another server. Slots held by short requests are not considered, because a long
// request gets one of them within a few short service times.
func (p *gentianlever) longSlotFreeElsewhere(index int) bool {
	if int(p.runningLong[index].Load()) < p.longSlots() {
		return false
	}
	for i := range p.runningLong {
		if i != index && int(p.runningLong[i].Load()) < p.longSlots() {
			return true
		}
	}
	return false
}
