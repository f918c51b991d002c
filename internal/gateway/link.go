package gateway

import (
	"madderwing/internal/proxy"
	"madderwing/internal/settings"
)

const (
	// unpacedFraction is the fraction of the link's rate that large responses are assumed to get
	// without pacing. Small responses use the rest.
	unpacedFraction = 0.7
	// pacedFraction is the fraction of their pace that large responses are assumed to get with pacing.
	pacedFraction = 0.9
	// shutdownFraction is the fraction of the link's rate at which a gateway that shuts down sends
	// large responses. Hardly any small ones are in flight then.
	shutdownFraction = 0.95
)

// linkRate returns the rate of this machine's link in bytes per second, or 0 if it is not configured.
func linkRate(cfg *settings.Settings) float64 { return cfg.Limits.LinkMbps * 1e6 / 8 }

// responseFraction returns the fraction of the link's rate that large responses are assumed to get, if
// they are sent at the fraction pace of it (0: no pacing).
func responseFraction(pace float64) float64 {
	if pace == 0 {
		return unpacedFraction
	}
	return min(unpacedFraction, pace*pacedFraction)
}

// limitLargeResponses sets the pace of large responses, and limits how many are accepted to what the
// link can carry.
func (g *Gateway) limitLargeResponses() {
	rate := linkRate(g.settings)
	if rate <= 0 {
		return
	}
	if g.options.LargeResponseFraction > 0 {
		g.handler.Pacer = proxy.NewPacer(rate * g.options.LargeResponseFraction)
	}
	if g.settings.Bounds.GraceS > 0 {
		g.handler.Link = proxy.NewLinkBudget(rate*responseFraction(g.options.LargeResponseFraction), settings.Seconds(g.settings.Bounds.GraceS))
	}
}
