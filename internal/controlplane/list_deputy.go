package controlplane

// This file holds what control nodes do while the holder of the duty of reading the list brings none that
// is new enough: whether it is slow, cut off from the platform, or can't tell them.

import (
	"time"

	"madderwing/internal/settings"
)

// ownReadings is how old a list may be when the next one is there, in readings of a long list: a reading, a
// rest that is as long, and the next reading.
const ownReadings = 3

// listDeputy is a control node's part in reading the list while another has the duty.
type listDeputy struct {
	reading  listReading // the last that was whole
	failures int         // in a row
	asked    int         // which control node was asked last beside the holder
	overdue  bool        // the holder's list was too old at the last tick
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

// deputize reads the list in place of the holder if what that has brought is too old. As many deputies do as
// control nodes may be lost, and one more; the next ones follow while these bring nothing either. They share
// as many calls to the platform as the holder may make.
func (c *listController) deputize(now time.Duration) {
	place, ok := c.election.Deputy(now, dutyList)
	if !ok || !c.lately(now) {
		return
	}
	together := c.set.FaultBudget.Machines + 1
	patience := c.patience(now) + time.Duration(place/together)*c.limit()
	// After a standstill of this process, the news that waited is taken first.
	wasOverdue := c.deputy.overdue
	c.deputy.overdue = now-c.asOf > patience
	if wasOverdue && c.deputy.overdue {
		c.pollWhenDue(now, c.set.CloudAPI.RatePerS/float64(together))
	}
}

// patience is how old the holder's list may be before this control node reads one too. One whose own reading
// took long just now expects no more of the holder.
func (c *listController) patience(now time.Duration) time.Duration {
	last, longest := c.deputy.reading, settings.Seconds(listReadingParts*c.set.Bounds.DrainS)
	if last.end == 0 || now-last.end > longest {
		return c.limit()
	}
	return c.limit() + min(ownReadings*(last.end-last.began), longest)
}
