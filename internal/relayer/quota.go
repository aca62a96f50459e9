package relayer

import (
	"bytes"
	"crypto/hmac"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gentianlever/gentianlever/internal/allocator"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// quotaPurpose is the purpose of a quota message.
const quotaPurpose = "quota message"

// SendQuotas sends a quota message to a node. It does not block.
func (l *LoadExchange) SendQuotas(to netip.Addr, body []byte) {
	if conn := l.conn.Load(); conn != nil {
		// A failed send is treated like a lost message.
		_, _ = conn.WriteToUDPAddrPort(append(l.mac(quotaPurpose, body), body...), netip.AddrPortFrom(to, l.Address.Port()))
	}
}

// quotaBody returns the body of an authentic quota message.
func (l *LoadExchange) quotaBody(message []byte) ([]byte, bool) {
	if l.OnQuotas == nil || len(message) <= macBytes || !hmac.Equal(message[:macBytes], l.mac(quotaPurpose, message[macBytes:])) {
		return nil, false
	}
	return bytes.Clone(message[macBytes:]), true
}

// Quotas decides whether a request is within the quota of its workspace.
type Quotas interface {
	// Take decides on a request before it is sent to any endpoint.
	Take(workspace string, now time.Time) allocator.Decision
	// Give returns the quota of an admitted request that reached no endpoint.
	Give(workspace string, now time.Time)
}

// takeQuota takes a request from the quota of its workspace, or refuses it. Nested calls don't count.
func (s *CallerSide) takeQuota(q *request) error {
	if s.Quotas == nil || q.call.Nested || q.call.Workspace == "" {
		return nil
	}
	d := s.Quotas.Take(q.call.Workspace, time.Now())
	if !d.Admitted {
		s.OnQuotaExceeded(&q.call, d)
		if d.Mode == allocator.Unknown {
			q.retryDelay = d.RetryDelay
			return &refuser.Refusal{
				Reason: refuser.MembersUnknown,
				Detail: fmt.Sprintf("rate %g", d.Rate),
			}
		}
		return &refuser.Refusal{
			Reason:     refuser.QuotaExceeded,
			Detail:     quotaDetail(d),
			RetryDelay: d.RetryDelay,
		}
	}
	q.quotaTaken = true
	return nil
}

// quotaDetail states the inputs of a refusal and their age for the log.
func quotaDetail(d allocator.Decision) string {
	return fmt.Sprintf("%s: share %.3f from %s %s ago, rate %g, %d of %d members", d.Mode, d.Share, d.Accountant, d.Age, d.Rate, d.Members, d.Known)
}

// giveQuota returns the quota of a request that has reached no endpoint.
func (s *CallerSide) giveQuota(q *request) {
	if q.quotaTaken && !q.arrived {
		s.Quotas.Give(q.call.Workspace, time.Now())
	}
}

// noteArrival records whether an attempt may have reached an endpoint.
func (q *request) noteArrival(r result) {
	if r.response != nil || r.refused.Arrived || r.refused.Row().Ran != refuser.NotRun {
		q.arrived = true
	}
}

// quotaRetryAfter returns the value of Retry-After for a request over the quota. Callers wait for at
// most a third of the time that they have left; the delay is spread below that too.
func quotaRetryAfter(q *request, delay time.Duration) time.Duration {
	limit := time.Until(q.deadline) / maxRetryDelayDivisor
	if delay > limit {
		delay = time.Duration(float64(limit) * (0.5 + rand.Float64()/2))
	}
	return max(delay, minRetryDelay)
}
