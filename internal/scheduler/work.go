package scheduler

import "time"

const (
	// workWeight is the weight of a new sample in the estimate of a kind's work: the mean
	// of about the last 20.
	workWeight = 0.05
	// guessSamples is the number of samples that the sender's guess counts as. A first sample
	// alone, taken in a slow spell, kept an idle endpoint from all requests of its kind.
	guessSamples = 4
	// workLimit bounds one sample as a multiple of the estimate: one that began as the
	// endpoint turned slow says little of the usual work.
	workLimit = 3
	// maxKinds bounds the estimates of kinds that are no longer used.
	maxKinds = 10000
)

// work is the time that a request holds a slot.
type work struct {
	// own is the endpoint's own time at the usual speed, and elsewhere the time for which
	// the request waits for its calls, which the endpoint's speed does not change.
	own       time.Duration
	elsewhere time.Duration
	samples   int
}

// at returns the time at a slowness, as a factor of the usual time.
func (w work) at(factor float64) time.Duration {
	return scale(w.own, factor) + w.elsewhere
}

// add takes a sample.
func (w work) add(sample work) work {
	weight := max(workWeight, 1/float64(guessSamples+w.samples+1))
	return work{
		own:       towards(w.own, sample.own, weight),
		elsewhere: towards(w.elsewhere, sample.elsewhere, weight),
		samples:   w.samples + 1,
	}
}

// towards moves an estimate to a sample, which counts as workLimit times the estimate at most.
func towards(estimate, sample time.Duration, weight float64) time.Duration {
	if estimate > 0 {
		sample = min(sample, workLimit*estimate)
	}
	return estimate + scale(sample-estimate, weight)
}

// works holds the expected work of each kind.
type works struct {
	kinds map[string]work
	all   work
}

// of returns the expected work of a kind, the sender's guess before any sample.
func (w *works) of(kind string, guess time.Duration) work {
	if known, ok := w.kinds[kind]; ok {
		return known
	}
	return work{own: guess}
}

// mean returns the expected work of those that hold the slots.
func (w *works) mean(guess time.Duration) work {
	if w.all.samples > 0 {
		return w.all
	}
	return work{own: guess}
}

func (w *works) observe(kind string, guess time.Duration, sample work) {
	if w.kinds == nil || len(w.kinds) >= maxKinds {
		w.kinds = make(map[string]work)
	}
	w.kinds[kind] = w.of(kind, guess).add(sample)
	w.all = w.mean(guess).add(sample)
}
