package placer

import "time"

// coldSlowdown is the factor by which the work of a cold endpoint takes longer.
const coldSlowdown = 2

// ColdWait returns the time until a cold endpoint is expected to accept a request; zero if it is not
// cold. The requests that were sent since the load report use its rate, and time adds to it.
func ColdWait(c Candidate) time.Duration {
	if c.Load.ColdRate <= 0 || c.Age < 0 {
		return 0
	}
	interval := time.Second / time.Duration(c.Load.ColdRate)
	wait := c.Load.ColdWait - c.Age + time.Duration(c.Sent)*interval
	if c.Load.ColdAccepted >= c.Load.ColdRate {
		// It has used its burst, so requests of other nodes are likely to come first.
		wait += interval
	}
	return max(wait, 0)
}

// ColdFull reports whether a cold endpoint is not expected to serve a request within the time left,
// and how long it takes until it accepts one. service is the service time at normal speed.
func ColdFull(c Candidate, service, left time.Duration) (time.Duration, bool) {
	wait := ColdWait(c)
	return wait, wait > 0 && wait+coldSlowdown*service > left
}
