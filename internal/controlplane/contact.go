package controlplane

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// contactFraction is the fraction of contactS for which a majority's confirmation counts: three
// heartbeat intervals. In normal operation a copy's age is between one interval and two.
const contactFraction = 0.5

// contact tracks when a majority last confirmed the items that this control node publishes. It
// relies on replication.Replica.FreshAsOf, which is measured on this node's own clock and takes a
// round trip through an owner that a majority follows. So it is not satisfied by a connection that
// works in one direction only, by requests for votes, or by messages that waited while this process
// was frozen. A process that has just started has no contact.
type contact struct {
	maxAge      time.Duration
	partitions  []string // whose records are published
	confirmedAt map[string]time.Duration
	oldest      atomic.Int64 // of confirmedAt; 0: some partition has not been confirmed yet

	loggedFresh bool          // whether contact was fresh when last logged
	loggedAt    time.Duration // time of the last log line
}

func newContact(maxAge time.Duration, partitions []string) *contact {
	return &contact{maxAge: maxAge, partitions: partitions, confirmedAt: map[string]time.Duration{}}
}

// update records when the published copies were last known to be the newest; ok is false for a
// partition where that is unknown. It is called after those copies were published.
func (c *contact) update(freshAsOf func(partition string) (at time.Duration, ok bool)) {
	oldest := time.Duration(math.MaxInt64)
	for _, partition := range c.partitions {
		if at, ok := freshAsOf(partition); ok {
			c.confirmedAt[partition] = max(at, 1)
		}
		oldest = min(oldest, c.confirmedAt[partition])
	}
	c.oldest.Store(int64(oldest))
}

// age is the maximum age of the published items. Without any contact since the process started, the
// items are at least as old as the process, and known is false. It is safe for concurrent use.
func (c *contact) age(now time.Duration) (age time.Duration, known bool) {
	at := time.Duration(c.oldest.Load())
	return max(0, now-at), at > 0
}

// within reports whether the published items are no older than a bound.
func (c *contact) within(now, bound time.Duration) bool {
	age, known := c.age(now)
	return known && age <= bound
}

// fresh reports whether this control node is in contact with a majority.
func (c *contact) fresh(now time.Duration) bool { return c.within(now, c.maxAge) }

// logSeconds converts a duration to seconds for the log, rounded to tenths.
func logSeconds(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }

// logChange logs one line when contact is lost, and one when it is regained.
func (c *contact) logChange(now time.Duration, logger *slog.Logger) {
	if c.fresh(now) == c.loggedFresh {
		return
	}
	c.loggedFresh = !c.loggedFresh
	if c.loggedFresh {
		logger.Info("in contact with a majority", "afterS", logSeconds(now-c.loggedAt))
	} else {
		age, _ := c.age(now)
		logger.Warn("out of contact with a majority", "itemsAgeS", logSeconds(age))
	}
	c.loggedAt = now
}

// Contact is a control node's contact with a majority as the administration API shows it.
type Contact struct {
	Fresh bool    `json:"fresh"` // its items count as the newest
	Known bool    `json:"known"` // there was contact since the process started
	AgeS  float64 `json:"ageS"`  // age of the items; a lower bound if Known is false
}

func (c *contact) state(now time.Duration) Contact {
	age, known := c.age(now)
	return Contact{c.fresh(now), known, math.Round(age.Seconds()*1000) / 1000}
}

// setAgeHeader sets the Age header to the age of a view, in whole seconds.
func (c *contact) setAgeHeader(now time.Duration, h http.Header) {
	age, _ := c.age(now)
	h.Set("Age", strconv.Itoa(int(math.Ceil(age.Seconds()))))
}
