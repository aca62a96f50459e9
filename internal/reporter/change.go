package reporter

// loadChangePercent is the change in the number of in-flight and queued requests, in percent of the
// slots, that is significant. Smaller changes wait for the next regular report.
const loadChangePercent = 20

// SignificantChange reports whether the load has changed enough to affect placement: the draining
// flag, the number of slots, the incarnation, the rate of a cold endpoint or the evacuated zones changed, the slowness changed by a factor over 1.5,
// all slots came into use or one became free, or the number of requests changed by
// loadChangePercent.
func SignificantChange(lastSent, load Load) bool {
	if lastSent.Draining != load.Draining || lastSent.Slots != load.Slots || lastSent.Incarnation != load.Incarnation || lastSent.ColdRate != load.ColdRate ||
		lastSent.Evacuated != load.Evacuated || lastSent.Evacuations != load.Evacuations {
		return true
	}
	if 2*lastSent.Slowness > 3*load.Slowness || 2*load.Slowness > 3*lastSent.Slowness {
		return true
	}
	before, after := lastSent.InFlight+lastSent.QueuedShort, load.InFlight+load.QueuedShort
	if (before >= load.Slots) != (after >= load.Slots) {
		return true
	}
	return 100*max(before-after, after-before) >= loadChangePercent*load.Slots
}
