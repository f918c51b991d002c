package upstream

import "time"

// RetryBudget is one gateway's share of the retry budget of a service, a token bucket. It starts
// empty, so that a restarted process adds nothing to what it spent before the restart.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Duration
}

// Earn adds the fraction of a token that one request earns, up to a maximum.
func (b *RetryBudget) Earn(earned, maxTokens float64) {
	b.tokens = min(b.tokens+earned, max(maxTokens, 1))
}

// Refill adds this gateway's share of the retry slack for the time since the last refill.
func (b *RetryBudget) Refill(now time.Duration, perSecond, maxTokens float64) {
	if now > b.refilledAt {
		if b.refilledAt > 0 {
			b.tokens = min(b.tokens+perSecond*(now-b.refilledAt).Seconds(), max(maxTokens, 1))
		}
		b.refilledAt = now
	}
}

// Spend takes one token. It returns false if there is none.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a token that was not used.
func (b *RetryBudget) Refund() { b.tokens++ }

// WarmupLimiter limits the rate of requests to a cold upstream, without bursts.
type WarmupLimiter struct {
	nextAt time.Duration
}

// Ready reports whether a request may be sent now.
func (p *WarmupLimiter) Ready(now time.Duration) bool { return now >= p.nextAt }

// Record records that a request was sent; the next may follow after 1/perSecond seconds.
func (p *WarmupLimiter) Record(now time.Duration, perSecond float64) {
	p.nextAt = now + time.Duration(float64(time.Second)/max(perSecond, 0.01))
}
