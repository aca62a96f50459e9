package relayer

import "time"

const (
	// quietLimit is the time without a sign of life after which a node that owes an answer
	// is asked for one. Most answers take less.
	quietLimit = 150 * time.Millisecond
	// questionInterval separates the questions to a node that does not answer: many round
	// trips between zones, which take a few milliseconds.
	questionInterval = 75 * time.Millisecond
	// silentQuestions is the number of questions without an answer from which a node counts
	// as silent. On links that lose 3% of the packets in each direction, three are lost in
	// a row once in 5,000 times.
	silentQuestions = 3
)

// contact is what a node knows of its contact with another. It answers VMs that lose power
// or are cut off: nothing is reset then, so that requests sent there wait until their
// deadline, while the failure detection of the membership takes over a second.
type contact struct {
	heard     time.Time
	asked     time.Time
	questions int
}

// hear notes a sign of life.
func (c *contact) hear(now time.Time) {
	*c = contact{heard: now}
}

// due reports whether the node is to be asked for a sign of life. waiting is the time since
// which an answer is waited for, zero where none is.
func (c *contact) due(waiting, now time.Time) bool {
	if now.Sub(c.asked) < questionInterval {
		return false
	}
	if c.silent() {
		// The end of the silence is found without a request that waits for it.
		return true
	}
	return !waiting.IsZero() && now.Sub(waiting) >= quietLimit && now.Sub(c.heard) >= quietLimit
}

// ask notes a question.
func (c *contact) ask(now time.Time) {
	c.asked = now
	c.questions++
}

// silent reports whether the node counts as unreachable: another question was due after
// silentQuestions of them had no answer.
func (c *contact) silent() bool { return c.questions > silentQuestions }
