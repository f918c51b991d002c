package controlplane

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/delivery"
	"madderwing/internal/election"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

const (
	// listMaxLagFraction is the part of drainS for which the list of the duty's holder may be older than what
	// another control node could bring. The rest of drainS is for the other's reading, the votes and the delivery.
	listMaxLagFraction = 0.5
	// listIntervalFraction is the part of drainS after which a short list is read again.
	listIntervalFraction = 0.2
	// platformCallFraction is the part of drainS that one call to the platform may take.
	platformCallFraction = 0.4
	// maxReadingFactor bounds one reading of the list, in drainS.
	maxReadingFactor = 8
)

// listController holds the platform's list of upstreams. The holder of the duty reads it
// from the platform; the other control nodes watch the holder, and some of them, its deputies, read the
// list too while the holder brings none: see list_deputy.go.
type listController struct {
	*environment
	client         *http.Client
	reading        atomic.Bool
	platformCalls  atomic.Uint64 // calls to the platform
	platformErrors atomic.Uint64

	// Owned by the pump's goroutine.
	snapshot      upstream.ListSnapshot
	validAt       time.Duration           // as of when stand holds
	readingCalls  int                     // that it took to read it
	readingTime   time.Duration           // the reading
	watcherClocks map[string]watcherClock // by control node that watches this one
	readAt        time.Duration           // when the platform is to be asked next
	askAt         time.Duration           // when the holder is to be asked next
	deputy        listDeputy
	onChange      func(now time.Duration) // another list stands
	onRead        func(now time.Duration) // the holder of the duty, which this is, has read the list
}

// watcherClock is the clock of another control node as it told it, and when it came.
type watcherClock struct{ asked, at time.Duration }

// listReading is one whole reading of the platform's list.
type listReading struct {
	instances  []upstream.Instance
	began, end time.Duration
	calls      int
}

func newListController(env *environment) *listController {
	return &listController{environment: env, watcherClocks: map[string]watcherClock{},
		client: &http.Client{Timeout: settings.Seconds(env.settings.Bounds.DrainS * platformCallFraction),
			Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * env.settings.Beat()}}}
}

// handle takes the lists that other control nodes send.
func (c *listController) handle() {
	transport.On(c.endpoint, delivery.IssueKind, func(_ string, i delivery.Issue) {
		c.tryEnqueue(func(now time.Duration) { c.handleIssue(now, i) })
	})
}

// handleIssue takes what another control node sends of the list.
func (c *listController) handleIssue(now time.Duration, i delivery.Issue) {
	took := i.Listing != nil && c.snapshot.Take(now, *i.Listing)
	if i.Listed != nil && i.Listed.Version == c.snapshot.Version {
		asOf := min(now, i.Listed.Asked+i.Listed.Since)
		if took {
			c.validAt = asOf
		}
		c.validAt, c.readingCalls, c.readingTime = max(c.validAt, asOf), i.Listed.Calls, i.Listed.Took
	}
	if took {
		c.onChange(now)
	}
}

// tick is due at every tick of the pump.
func (c *listController) tick(now time.Duration) {
	if _, mine := c.election.Holds(now, dutyList); mine || !c.snapshot.Known() {
		// Without a list, and as far as this control node can tell nobody to read one, it
		// reads one that any holder's replaces.
		c.readWhenDue(now, upstream.SteadyPace(c.settings.CloudAPI.RatePerS))
		return
	}
	c.askHolder(now)
	c.readAsDeputy(now)
}

// askHolder asks the holder for its list, and if that has brought nothing for long, another control node too.
func (c *listController) askHolder(now time.Duration) {
	if now < c.askAt {
		return
	}
	c.askAt = now + c.settings.Beat()
	question := delivery.Watch{Listing: c.snapshot.Version, Asked: max(now, 1)}
	holder, _, _ := c.election.Holder(now, dutyList)
	if holder != "" && holder != c.endpoint.Self() {
		c.endpoint.Send(holder, delivery.WatchKind, question)
	}
	if other := c.deputy.nextPeer(c.member.Everyone(), c.endpoint.Self(), holder); other != "" && now-c.validAt > c.maxLag()/2 {
		question.Second = true
		c.endpoint.Send(other, delivery.WatchKind, question)
	}
}

// maxLag is by how much a list must be newer than that of the holder for the duty to go on.
func (c *listController) maxLag() time.Duration {
	return settings.Seconds(listMaxLagFraction * c.settings.Bounds.DrainS)
}

// progress tells how far the reading of the list has come here.
func (c *listController) progress() election.Progress {
	return election.Progress{Known: c.validAt, Own: c.deputy.reading.began, Limit: c.maxLag()}
}

// noteWatcherClock notes the clock of a control node that watches this one.
func (c *listController) noteWatcherClock(now time.Duration, from string, w delivery.Watch) {
	if w.Sums == nil && w.Asked > 0 {
		c.watcherClocks[from] = watcherClock{w.Asked, now}
	}
}

// listedFor tells a control node that watches this one as of when the list holds; nil: it has not told its
// clock, or there is no list.
func (c *listController) listedFor(to string) *delivery.Listed {
	mark, ok := c.watcherClocks[to]
	if !ok || !c.snapshot.Known() {
		return nil
	}
	return &delivery.Listed{Version: c.snapshot.Version, Asked: mark.asked, Since: c.validAt - mark.at, Calls: c.readingCalls, Took: c.readingTime}
}

// readWhenDue reads the list if that is due.
func (c *listController) readWhenDue(now time.Duration, pace upstream.CallPace) {
	if now >= c.readAt {
		c.readAt = now + settings.Seconds(c.settings.Bounds.DrainS*listIntervalFraction)
		c.read(pace)
	}
}

// newestKnown is the newest version of the list that this control node knows of.
func (c *listController) newestKnown(now time.Duration) upstream.Version {
	known := c.snapshot.Version
	if _, term, life := c.election.Holder(now, dutyList); term > known.Term || term == known.Term && life > known.Life {
		known = upstream.Version{Term: term, Life: life}
	}
	return known
}

// read reads the platform's list in the background.
func (c *listController) read(pace upstream.CallPace) {
	if c.settings.CloudAPI.Address == "" || !c.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.reading.Store(false)
		began := c.now()
		ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(maxReadingFactor*c.settings.Bounds.DrainS))
		defer cancel()
		list, calls, err := upstream.ReadAll(ctx, c.client, c.settings.CloudAPI.Address, pace)
		c.platformCalls.Add(uint64(calls))
		// A list of many pages is read less often; one that is throttled, too.
		if throttled := errors.Is(err, upstream.ErrThrottled); throttled || calls > 1 {
			rest := max(c.now()-began, settings.Seconds(c.settings.Bounds.DrainS*listIntervalFraction))
			defer time.Sleep(min(rest, settings.Seconds(c.settings.Bounds.DrainS)))
		}
		if err != nil {
			c.platformErrors.Add(1)
			c.log.upstream.Warn("list not read", "error", err)
			c.enqueue(func(now time.Duration) { c.readFailed(now) })
			return
		}
		reading := listReading{list, began, c.now(), calls}
		c.enqueue(func(now time.Duration) { c.accept(now, reading) })
	}()
}

// dutyWon begins the duty of reading the list, with the list that this control node may have read as a deputy.
func (c *listController) dutyWon(now time.Duration) {
	if c.deputy.reading.began > c.validAt {
		c.log.upstream.Warn("the last holder's list is too old, this control node's is taken", "ageS", logSeconds(now-c.validAt))
		c.accept(now, c.deputy.reading)
	}
	c.read(upstream.SteadyPace(c.settings.CloudAPI.RatePerS))
}

// accept takes over a list that was read from the platform.
func (c *listController) accept(now time.Duration, reading listReading) {
	c.deputy.succeeded(reading)
	term, mine := c.election.Holds(now, dutyList)
	if !mine {
		term = 0
	}
	if !mine && c.snapshot.Known() {
		c.election.Progressed(now, dutyList)
		return
	}
	c.validAt, c.readingCalls, c.readingTime = reading.began, reading.calls, reading.end-reading.began
	if c.snapshot.Update(now, term, c.life, reading.instances) {
		c.log.upstream.Info("list read", "term", c.snapshot.Version.Term, "seq", c.snapshot.Version.Seq, "upstreams", len(reading.instances))
		c.onChange(now)
	}
	if mine {
		c.onRead(now)
	}
}

// listedVersions are the versions of a service that the platform lists.
type listedVersions struct {
	mostFrequent string         // the most frequent
	counts       map[string]int // upstreams by version
}

// serviceVersions counts the serviceVersions of each service that the platform lists.
func (c *listController) serviceVersions() map[string]listedVersions {
	out := map[string]listedVersions{}
	c.snapshot.Each(0, func(i upstream.Instance, _ time.Duration) {
		l := out[i.Service]
		if l.counts == nil {
			l.counts = map[string]int{}
		}
		l.counts[i.Version]++
		out[i.Service] = l
	})
	for s, l := range out {
		l.mostFrequent = upstream.MostFrequent(l.counts)
		out[s] = l
	}
	return out
}
