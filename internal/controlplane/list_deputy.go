package controlplane

// This file holds what control nodes do while the holder of the duty of reading the list brings none that
// is new enough: whether it is slow, cut off from the platform, or can't tell them.

import (
	"time"

	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

const (
	// readingsPerCycle is how old a list may be when the next one is there, in readings of a long list: a reading,
	// a rest that is as long, and the next reading.
	readingsPerCycle = 3
	// deputyStaggerFraction is the part of the limit by which one deputy follows the other.
	deputyStaggerFraction = 0.5
	// readingCallFraction is the part of drainS that each call of a long reading may take beside the pauses.
	readingCallFraction = 0.02
	// listJitterFraction is the part of the limit that a list may be late without anything being wrong.
	listJitterFraction = 0.25
)

// listDeputy is a control node's part in reading the list while another has the duty.
type listDeputy struct {
	reading   listReading   // the last that was whole
	failures  int           // in a row
	lastAsked int           // which control node was asked last beside the holder
	checkedAt time.Duration // when it was last looked whether the holder's list is too old
}

// succeeded notes a whole reading.
func (d *listDeputy) succeeded(reading listReading) { d.reading, d.failures = reading, 0 }

// nextPeer is a control node to ask beside the holder, each in turn; empty: there is none.
func (d *listDeputy) nextPeer(all []string, self, holder string) string {
	for range all {
		d.lastAsked++
		if id := all[d.lastAsked%len(all)]; id != self && id != holder {
			return id
		}
	}
	return ""
}

// readFailed notes that the list could not be read here.
func (c *listController) readFailed(now time.Duration) {
	if _, mine := c.election.Holds(now, dutyList); mine {
		return
	}
	c.deputy.failures++
	poll := settings.Seconds(c.settings.Bounds.DrainS * listIntervalFraction)
	c.readAt = now + min(poll<<min(c.deputy.failures, 8), settings.Seconds(c.settings.Bounds.DrainS))
}

// readAsDeputy reads the list in place of the holder if what that has brought is too old: first the first one in the
// order, then the next one too, and so on until one has brought a list. Each makes as many calls as the holder may.
func (c *listController) readAsDeputy(now time.Duration) {
	place, ok := c.election.Deputy(now, dutyList)
	if !ok || !c.recentlyInContact(now) {
		return
	}
	threshold := c.deputyThreshold(now) + time.Duration(deputyStaggerFraction*float64(place)*float64(c.maxLag()))
	// After a standstill of this process, the news that waited is taken first.
	stoodStill := now-c.deputy.checkedAt > c.settings.Beat()
	c.deputy.checkedAt = now
	if now-c.validAt > threshold && !stoodStill {
		c.readWhenDue(now, upstream.HastyPace(c.settings.CloudAPI.RatePerS))
	}
}

// deputyThreshold is how old the holder's list may be before the first deputy reads one too: older than the limit only
// where the list is so long that reading it takes as much, or where this control node's own reading took so long
// just now that it could do no better.
func (c *listController) deputyThreshold(now time.Duration) time.Duration {
	drainS := c.settings.Bounds.DrainS
	reading := min(c.readingTime, upstream.SteadyPace(c.settings.CloudAPI.RatePerS).Pauses(c.readingCalls)+settings.Seconds(readingCallFraction*drainS*float64(c.readingCalls)))
	longest := settings.Seconds(maxReadingFactor * drainS)
	if last := c.deputy.reading; last.end > 0 && now-last.end < longest {
		reading = max(reading, last.end-last.began)
	}
	late := c.settings.Beat()/5 + time.Duration(listJitterFraction*float64(c.maxLag())) // a tick, and what is no fault
	return max(c.maxLag(), min(readingsPerCycle*reading, longest)+late)
}
