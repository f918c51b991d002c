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
	// listLimitPart is the part of drainS for which the list of the duty's holder may be older than what
	// another control node could bring. The rest of drainS is for the other's reading, the votes and the delivery.
	listLimitPart = 0.5
	// listPollPart is the part of drainS after which a short list is read again.
	listPollPart = 0.2
	// listCallPart is the part of drainS that one call to the platform may take.
	listCallPart = 0.4
	// listReadingParts bounds one reading of the list, in drainS.
	listReadingParts = 8
)

// listController holds the platform's list of upstreams. The holder of the duty reads it
// from the platform; the other control nodes watch the holder, and some of them, its deputies, read the
// list too while the holder brings none: see list_deputy.go.
type listController struct {
	*environment
	client  *http.Client
	polling atomic.Bool
	polls   atomic.Uint64 // calls to the platform
	errors  atomic.Uint64

	// Owned by the pump's goroutine.
	stand   upstream.ListSnapshot
	asOf    time.Duration        // as of when stand holds
	calls   int                  // that it took to read it
	took    time.Duration        // the reading
	marks   map[string]clockMark // by control node that watches this one
	pollAt  time.Duration        // when the platform is to be asked next
	watchAt time.Duration        // when the holder is to be asked next
	deputy  listDeputy
	changed func(now time.Duration) // another list stands
	polled  func(now time.Duration) // the holder of the duty, which this is, has read the list
}

// clockMark is the clock of another control node as it told it, and when it came.
type clockMark struct{ asked, at time.Duration }

// listReading is one whole reading of the platform's list.
type listReading struct {
	instances  []upstream.Instance
	began, end time.Duration
	calls      int
}

func newListController(env *environment) *listController {
	return &listController{environment: env, marks: map[string]clockMark{},
		client: &http.Client{Timeout: settings.Seconds(env.set.Bounds.DrainS * listCallPart),
			Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * env.set.Beat()}}}
}

// handle takes the lists that other control nodes send.
func (c *listController) handle() {
	transport.On(c.post, delivery.IssueKind, func(_ string, i delivery.Issue) {
		c.offer(func(now time.Duration) { c.issued(now, i) })
	})
}

// issued takes what another control node sends of the list.
func (c *listController) issued(now time.Duration, i delivery.Issue) {
	took := i.Listing != nil && c.stand.Take(now, *i.Listing)
	if i.Listed != nil && i.Listed.Version == c.stand.Version {
		asOf := min(now, i.Listed.Asked+i.Listed.Since)
		if took {
			c.asOf = asOf
		}
		c.asOf, c.calls, c.took = max(c.asOf, asOf), i.Listed.Calls, i.Listed.Took
	}
	if took {
		c.changed(now)
	}
}

// tick is due at every tick of the pump.
func (c *listController) tick(now time.Duration) {
	if _, mine := c.election.Holds(now, dutyList); mine || !c.stand.Known() {
		// Without a list, and as far as this control node can tell nobody to read one, it
		// reads one that any holder's replaces.
		c.pollWhenDue(now, upstream.SteadyPace(c.set.CloudAPI.RatePerS))
		return
	}
	c.watch(now)
	c.deputize(now)
}

// watch asks the holder for its list, and if that has brought nothing for long, another control node too.
func (c *listController) watch(now time.Duration) {
	if now < c.watchAt {
		return
	}
	c.watchAt = now + c.set.Beat()
	question := delivery.Watch{Listing: c.stand.Version, Asked: max(now, 1)}
	holder, _, _ := c.election.Holder(now, dutyList)
	if holder != "" && holder != c.post.Self() {
		c.post.Send(holder, delivery.WatchKind, question)
	}
	if other := c.deputy.other(c.member.Everyone(), c.post.Self(), holder); other != "" && now-c.asOf > c.limit()/2 {
		question.Second = true
		c.post.Send(other, delivery.WatchKind, question)
	}
}

// limit is by how much a list must be newer than that of the holder for the duty to go on.
func (c *listController) limit() time.Duration {
	return settings.Seconds(listLimitPart * c.set.Bounds.DrainS)
}

// progress tells how far the reading of the list has come here.
func (c *listController) progress() election.Progress {
	return election.Progress{Known: c.asOf, Own: c.deputy.reading.began, Limit: c.limit()}
}

// mark notes the clock of a control node that watches this one.
func (c *listController) mark(now time.Duration, from string, w delivery.Watch) {
	if w.Sums == nil && w.Asked > 0 {
		c.marks[from] = clockMark{w.Asked, now}
	}
}

// listed tells a control node that watches this one as of when the list holds; nil: it has not told its
// clock, or there is no list.
func (c *listController) listed(to string) *delivery.Listed {
	mark, ok := c.marks[to]
	if !ok || !c.stand.Known() {
		return nil
	}
	return &delivery.Listed{Version: c.stand.Version, Asked: mark.asked, Since: c.asOf - mark.at, Calls: c.calls, Took: c.took}
}

// pollWhenDue reads the list if that is due.
func (c *listController) pollWhenDue(now time.Duration, pace upstream.CallPace) {
	if now >= c.pollAt {
		c.pollAt = now + settings.Seconds(c.set.Bounds.DrainS*listPollPart)
		c.poll(pace)
	}
}

// known is the newest version of the list that this control node knows of.
func (c *listController) known(now time.Duration) upstream.Version {
	known := c.stand.Version
	if _, term, life := c.election.Holder(now, dutyList); term > known.Term || term == known.Term && life > known.Life {
		known = upstream.Version{Term: term, Life: life}
	}
	return known
}

// poll reads the platform's list in the background.
func (c *listController) poll(pace upstream.CallPace) {
	if c.set.CloudAPI.Address == "" || !c.polling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.polling.Store(false)
		began := c.now()
		ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(listReadingParts*c.set.Bounds.DrainS))
		defer cancel()
		list, calls, err := upstream.ReadAll(ctx, c.client, c.set.CloudAPI.Address, pace)
		c.polls.Add(uint64(calls))
		// A list of many pages is read less often; one that is throttled, too.
		if throttled := errors.Is(err, upstream.ErrThrottled); throttled || calls > 1 {
			rest := max(c.now()-began, settings.Seconds(c.set.Bounds.DrainS*listPollPart))
			defer time.Sleep(min(rest, settings.Seconds(c.set.Bounds.DrainS)))
		}
		if err != nil {
			c.errors.Add(1)
			c.log.upstream.Warn("list not read", "error", err)
			c.do(func(now time.Duration) { c.failed(now) })
			return
		}
		reading := listReading{list, began, c.now(), calls}
		c.do(func(now time.Duration) { c.take(now, reading) })
	}()
}

// won begins the duty of reading the list, with the list that this control node may have read as a deputy.
func (c *listController) won(now time.Duration) {
	if c.deputy.reading.began > c.asOf {
		c.log.upstream.Warn("the last holder's list is too old, this control node's is taken", "ageS", logSeconds(now-c.asOf))
		c.take(now, c.deputy.reading)
	}
	c.poll(upstream.SteadyPace(c.set.CloudAPI.RatePerS))
}

// take takes over a list that was read from the platform.
func (c *listController) take(now time.Duration, reading listReading) {
	c.deputy.succeeded(reading)
	term, mine := c.election.Holds(now, dutyList)
	if !mine {
		term = 0
	}
	if !mine && c.stand.Known() {
		c.election.Progressed(now, dutyList)
		return
	}
	c.asOf, c.calls, c.took = reading.began, reading.calls, reading.end-reading.began
	if c.stand.Update(now, term, c.life, reading.instances) {
		c.log.upstream.Info("list read", "term", c.stand.Version.Term, "seq", c.stand.Version.Seq, "upstreams", len(reading.instances))
		c.changed(now)
	}
	if mine {
		c.polled(now)
	}
}

// listedVersions are the versions of a service that the platform lists.
type listedVersions struct {
	version string         // the most frequent
	of      map[string]int // upstreams by version
}

// versions counts the versions of each service that the platform lists.
func (c *listController) versions() map[string]listedVersions {
	out := map[string]listedVersions{}
	c.stand.Each(0, func(i upstream.Instance, _ time.Duration) {
		l := out[i.Service]
		if l.of == nil {
			l.of = map[string]int{}
		}
		l.of[i.Version]++
		out[i.Service] = l
	})
	for s, l := range out {
		l.version = upstream.MostFrequent(l.of)
		out[s] = l
	}
	return out
}
