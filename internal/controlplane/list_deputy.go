package controlplane

// This file holds what control nodes do while the holder of the duty of reading the list brings none that
// is new enough: whether it is slow, cut off from the platform, or can't tell them.

import (
	"time"

	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

const (
	// readingsBetween is how old a list may be when the next one is there, in readings of a long list: a reading,
	// a rest that is as long, and the next reading.
	readingsBetween = 3
	// deputyPart is the part of the limit by which one deputy follows the other.
	deputyPart = 0.5
	// callPart is the part of drainS that each call of a long reading may take beside the pauses.
	callPart = 0.02
	// jitterPart is the part of the limit that a list may be late without anything being wrong.
	jitterPart = 0.25
)

// listDeputy is a control node's part in reading the list while another has the duty.
type listDeputy struct {
	reading  listReading   // the last that was whole
	failures int           // in a row
	asked    int           // which control node was asked last beside the holder
	lookedAt time.Duration // when it was last looked whether the holder's list is too old
}

// succeeded notes a whole reading.
func (d *listDeputy) succeeded(reading listReading) { d.reading, d.failures = reading, 0 }

// other is a control node to ask beside the holder, each in turn; empty: there is none.
func (d *listDeputy) other(all []string, self, holder string) string {
	for range all {
		d.asked++
		if id := all[d.asked%len(all)]; id != self && id != holder {
			return id
		}
	}
	return ""
}

// failed notes that the list could not be read here.
func (c *listController) failed(now time.Duration) {
	if _, mine := c.election.Holds(now, dutyList); mine {
		return
	}
	c.deputy.failures++
	poll := settings.Seconds(c.set.Bounds.DrainS * listPollPart)
	c.pollAt = now + min(poll<<min(c.deputy.failures, 8), settings.Seconds(c.set.Bounds.DrainS))
}

// deputize reads the list in place of the holder if what that has brought is too old: first the first one in the
// order, then the next one too, and so on until one has brought a list. Each makes as many calls as the holder may.
func (c *listController) deputize(now time.Duration) {
	place, ok := c.election.Deputy(now, dutyList)
	if !ok || !c.lately(now) {
		return
	}
	patience := c.patience(now) + time.Duration(deputyPart*float64(place)*float64(c.limit()))
	// After a standstill of this process, the news that waited is taken first.
	stoodStill := now-c.deputy.lookedAt > c.set.Beat()
	c.deputy.lookedAt = now
	if now-c.asOf > patience && !stoodStill {
		c.pollWhenDue(now, upstream.HastyPace(c.set.CloudAPI.RatePerS))
	}
}

// patience is how old the holder's list may be before the first deputy reads one too: older than the limit only
// where the list is so long that reading it takes as much, or where this control node's own reading took so long
// just now that it could do no better.
func (c *listController) patience(now time.Duration) time.Duration {
	drainS := c.set.Bounds.DrainS
	reading := min(c.took, upstream.SteadyPace(c.set.CloudAPI.RatePerS).Pauses(c.calls)+settings.Seconds(callPart*drainS*float64(c.calls)))
	longest := settings.Seconds(listReadingParts * drainS)
	if last := c.deputy.reading; last.end > 0 && now-last.end < longest {
		reading = max(reading, last.end-last.began)
	}
	late := c.set.Beat()/5 + time.Duration(jitterPart*float64(c.limit())) // a tick, and what is no fault
	return max(c.limit(), min(readingsBetween*reading, longest)+late)
}
