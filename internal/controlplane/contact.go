package controlplane

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// contactFraction is the part of contactS for which the word of a majority counts: three
// beats. A copy's age is between one beat and two while nothing is amiss.
const contactFraction = 0.5

// contact is how lately a majority stood behind the items that this control node shows. It
// rests on what a member can say of its copies (replication.Replica.Current), which is
// dated by this control node's own clock and takes a round trip through an owner that a
// majority follows. So it does not hold where only one way is open, where others have
// merely asked to become owners, or for messages that waited while this process was
// frozen; and a process that has just started has none.
type contact struct {
	maxAge      time.Duration
	keys        []string // that all items are shown from
	confirmedAt map[string]time.Duration
	oldest      atomic.Int64 // of at; 0: of some key nothing is known yet

	loggedFresh bool          // as last logged
	loggedAt    time.Duration // since then
}

func newContact(bound time.Duration, keys []string) *contact {
	return &contact{maxAge: bound, keys: keys, confirmedAt: map[string]time.Duration{}}
}

// update takes over when the copies that are shown now were certainly the newest; ok is
// false for one that cannot be told. It is called once those copies are shown.
func (c *contact) update(current func(key string) (at time.Duration, ok bool)) {
	least := time.Duration(math.MaxInt64)
	for _, key := range c.keys {
		if at, ok := current(key); ok {
			c.confirmedAt[key] = max(at, 1)
		}
		least = min(least, c.confirmedAt[key])
	}
	c.oldest.Store(int64(least))
}

// age is how old the items are at most; without any contact in this life, at least as
// old as the process, and known is false. Any goroutine may ask.
func (c *contact) age(now time.Duration) (age time.Duration, known bool) {
	at := time.Duration(c.oldest.Load())
	return max(0, now-at), at > 0
}

// within says whether the items are no older than a bound.
func (c *contact) within(now, bound time.Duration) bool {
	age, known := c.age(now)
	return known && age <= bound
}

// fresh says whether this control node is in contact with a majority.
func (c *contact) fresh(now time.Duration) bool { return c.within(now, c.maxAge) }

// logSeconds is a duration as the log shows it, in seconds to the tenth.
func logSeconds(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }

// logChange logs one line when contact is lost, and one when it is there again.
func (c *contact) logChange(now time.Duration, to *slog.Logger) {
	if c.fresh(now) == c.loggedFresh {
		return
	}
	c.loggedFresh = !c.loggedFresh
	if c.loggedFresh {
		to.Info("in contact with a majority", "afterS", logSeconds(now-c.loggedAt))
	} else {
		age, _ := c.age(now)
		to.Warn("out of contact with a majority", "itemsAgeS", logSeconds(age))
	}
	c.loggedAt = now
}

// Contact is a control node's contact with a majority as the administration API shows it.
type Contact struct {
	Fresh bool    `json:"fresh"` // what it shows may be told as the newest
	Known bool    `json:"known"` // there was contact in this life of the process
	AgeS  float64 `json:"ageS"`  // of the items; at least, if not known
}

func (c *contact) state(now time.Duration) Contact {
	age, known := c.age(now)
	return Contact{c.fresh(now), known, math.Round(age.Seconds()*1000) / 1000}
}

// setAgeHeader tells in the standard header how old a view is, in whole seconds.
func (c *contact) setAgeHeader(now time.Duration, h http.Header) {
	age, _ := c.age(now)
	h.Set("Age", strconv.Itoa(int(math.Ceil(age.Seconds()))))
}
