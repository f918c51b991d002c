package gateway

import (
	"madderwing/internal/proxy"
	"madderwing/internal/settings"
)

const (
	// unpacedShare is the part of the link's rate that long answers are reckoned to get if they
	// are not paced; all that is short has the rest.
	unpacedShare = 0.7
	// pacedShare is the part of their pace that they are reckoned to get if they are.
	pacedShare = 0.9
	// leavingPace is the part of the link's rate at which a gateway that leaves passes long
	// answers on: hardly anything short is under way any more.
	leavingPace = 0.95
)

// linkRate is the rate of this machine's link in bytes a second; 0: not told.
func linkRate(set *settings.Settings) float64 { return set.Limits.LinkMbps * 1e6 / 8 }

// answerShare is the part of the link's rate that long answers can count on at the given pace.
func answerShare(pace float64) float64 {
	if pace == 0 {
		return unpacedShare
	}
	return min(unpacedShare, pace*pacedShare)
}

// boundAnswers paces long answers, and bounds how many are taken on, by what the link carries.
func (d *Gateway) boundAnswers() {
	rate := linkRate(d.set)
	if rate <= 0 {
		return
	}
	if d.opt.Pace > 0 {
		d.handler.Pace = proxy.NewPace(rate * d.opt.Pace)
	}
	if d.set.Bounds.GraceS > 0 {
		d.handler.Link = proxy.NewLinkBudget(rate*answerShare(d.opt.Pace), settings.Seconds(d.set.Bounds.GraceS))
	}
}
