package controlplane

// Standbys: control nodes that read the platform's list in place of the role holder while its list
// is too old, whether the holder is slow, cut off from the platform, or unable to reach them.

import (
	"time"

	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

const (
	// readingsPerCycle is how old a long list may be when the next one arrives, in readings: a
	// reading, a pause that is as long, and the next reading.
	readingsPerCycle = 3
	// standbyStaggerFraction is the fraction of the maximum lag by which one standby starts after
	// the other.
	standbyStaggerFraction = 0.5
	// readingCallFraction is the fraction of drainS that each call of a long reading may take
	// in addition to the pauses.
	readingCallFraction = 0.02
	// listJitterFraction is the fraction of the maximum lag by which a list may be late without a
	// fault.
	listJitterFraction = 0.25
)

// listStandby is the state of a control node that reads the list while another one holds the role.
type listStandby struct {
	lastReading listReading   // the last complete one
	failures    int           // consecutive
	lastAsked   int           // index of the peer that was asked last
	checkedAt   time.Duration // when the age of the holder's list was last checked
}

// succeeded records a complete reading.
func (s *listStandby) succeeded(reading listReading) { s.lastReading, s.failures = reading, 0 }

// nextPeer returns, round robin, a control node other than this one and the holder; empty if there is
// none.
func (s *listStandby) nextPeer(all []string, self, holder string) string {
	for range all {
		s.lastAsked++
		if id := all[s.lastAsked%len(all)]; id != self && id != holder {
			return id
		}
	}
	return ""
}

// readFailed handles a failed reading. Without the role, the next reading waits longer after each
// failure, up to drainS.
func (c *listController) readFailed(now time.Duration) {
	if _, mine := c.election.Holds(now, roleList); mine {
		return
	}
	c.standby.failures++
	interval := settings.Seconds(c.settings.Bounds.DrainS * listIntervalFraction)
	c.nextReadAt = now + min(interval<<min(c.standby.failures, 8), settings.Seconds(c.settings.Bounds.DrainS))
}

// readAsStandby reads the list in place of the holder if the holder's list is too old: the first
// standby in the election's order starts, then the next one joins, and so on until one has provided
// a list. Each makes as many calls as the holder may.
func (c *listController) readAsStandby(now time.Duration) {
	rank, ok := c.election.StandbyRank(now, roleList)
	if !ok || !c.recentlyInContact(now) {
		return
	}
	threshold := c.standbyThreshold(now) + time.Duration(standbyStaggerFraction*float64(rank)*float64(c.maxLag()))
	// After this process was frozen, queued messages are handled first.
	wasFrozen := now-c.standby.checkedAt > c.settings.HeartbeatInterval()
	c.standby.checkedAt = now
	if now-c.validAt > threshold && !wasFrozen {
		c.readWhenDue(now, upstream.TakeoverPace(c.settings.CloudAPI.RatePerS))
	}
}

// standbyThreshold is how old the holder's list may be before the first standby reads one too. It
// exceeds the maximum lag only if the list is so long that the holder's readings take as much, or if
// this node's own last reading did, so that its list would be no newer.
func (c *listController) standbyThreshold(now time.Duration) time.Duration {
	drainS := c.settings.Bounds.DrainS
	reading := min(c.readingTime, upstream.PollingPace(c.settings.CloudAPI.RatePerS).TotalPause(c.readingCalls)+settings.Seconds(readingCallFraction*drainS*float64(c.readingCalls)))
	longest := settings.Seconds(maxReadingFactor * drainS)
	if last := c.standby.lastReading; last.end > 0 && now-last.end < longest {
		reading = max(reading, last.end-last.began)
	}
	// One tick, and the lateness that is no fault.
	late := c.settings.HeartbeatInterval()/5 + time.Duration(listJitterFraction*float64(c.maxLag()))
	return max(c.maxLag(), min(readingsPerCycle*reading, longest)+late)
}
