package upstream

import "time"

// Budget is a gateway's own part in what all gateways may send beyond the first of
// each request to a service. It starts empty, so that a process that starts
// anew adds nothing to what its former life has spent.
type Budget struct {
	tokens float64
	at     time.Duration
}

// Earn adds the share that one request brings, up to a ceiling.
func (b *Budget) Earn(ratio, ceiling float64) {
	b.tokens = min(b.tokens+ratio, max(ceiling, 1))
}

// Refill adds what the slack allots to this gateway for the time that has passed.
func (b *Budget) Refill(now time.Duration, perS, ceiling float64) {
	if now > b.at {
		if b.at > 0 {
			b.tokens = min(b.tokens+perS*(now-b.at).Seconds(), max(ceiling, 1))
		}
		b.at = now
	}
}

// Spend takes one token.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Back returns a token that was not needed.
func (b *Budget) Back() { b.tokens++ }

// Pace lets requests through to a cold upstream one at a time.
type Pace struct {
	next time.Duration
}

// Ready says whether one may pass now.
func (p *Pace) Ready(now time.Duration) bool { return now >= p.next }

// Pass notes that one has passed, at a rate of perS.
func (p *Pace) Pass(now time.Duration, perS float64) {
	p.next = now + time.Duration(float64(time.Second)/max(perS, 0.01))
}
