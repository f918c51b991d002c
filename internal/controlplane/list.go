package controlplane

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/delivery"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Parts of drainS: for how long the holder of the duty may fail to read the list before it hands the
// duty on, and for how long it then lets others come first. What is left of drainS is for the next holder's first reading.
const (
	handOnPart   = 0.5
	standingBack = 8
)

// listController holds the platform's list of upstreams. The holder of the duty reads it
// from the platform; the other control nodes watch the holder.
type listController struct {
	*environment
	client  *http.Client
	polling atomic.Bool
	polls   atomic.Uint64 // calls to the platform
	errors  atomic.Uint64

	// Owned by the pump's goroutine.
	stand   upstream.ListSnapshot
	pollAt  time.Duration           // when the platform is to be asked next
	watchAt time.Duration           // when the holder is to be asked next
	readAt  time.Duration           // when this control node won the duty or last read the list
	changed func(now time.Duration) // another list stands
	polled  func(now time.Duration) // the holder of the duty, which this is, has read the list
}

func newListController(env *environment) *listController {
	return &listController{environment: env, client: &http.Client{Timeout: settings.Seconds(env.set.Bounds.DrainS * 0.4),
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * env.set.Beat()}}}
}

// handle takes the lists that other control nodes send.
func (c *listController) handle() {
	transport.On(c.post, delivery.IssueKind, func(_ string, i delivery.Issue) {
		c.offer(func(now time.Duration) {
			if i.Listing != nil && c.stand.Take(now, *i.Listing) {
				c.changed(now)
			}
		})
	})
}

// tick is due at every tick of the pump.
func (c *listController) tick(now time.Duration) {
	if _, mine := c.election.Holds(now, dutyList); mine {
		c.pollWhenDue(now)
	} else if !c.stand.Known() && now >= c.pollAt {
		// There is no list and, as far as this control node can tell, nobody
		// to read one: it reads one that any holder's replaces.
		c.pollWhenDue(now)
	} else if now >= c.watchAt {
		c.watchAt = now + c.set.Beat()
		if h, _, _ := c.election.Holder(now, dutyList); h != "" && h != c.post.Self() {
			c.post.Send(h, delivery.WatchKind, delivery.Watch{Listing: c.stand.Version})
		}
	}
}

func (c *listController) pollWhenDue(now time.Duration) {
	if now >= c.pollAt {
		c.pollAt = now + settings.Seconds(c.set.Bounds.DrainS/5)
		c.poll()
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
func (c *listController) poll() {
	if c.set.CloudAPI.Address == "" || !c.polling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.polling.Store(false)
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(8*c.set.Bounds.DrainS))
		defer cancel()
		list, calls, err := upstream.ReadAll(ctx, c.client, c.set.CloudAPI.Address, c.set.CloudAPI.RatePerS)
		c.polls.Add(uint64(calls))
		// A list of many pages is read less often; one that is throttled, too.
		if throttled := errors.Is(err, upstream.ErrThrottled); throttled || calls > 1 {
			rest := max(time.Since(begin), settings.Seconds(c.set.Bounds.DrainS/5))
			defer time.Sleep(min(rest, settings.Seconds(c.set.Bounds.DrainS)))
		}
		if err != nil {
			c.errors.Add(1)
			c.log.upstream.Warn("list not read", "error", err)
			c.do(func(now time.Duration) { c.failed(now, errors.Is(err, upstream.ErrThrottled)) })
			return
		}
		c.do(func(now time.Duration) { c.take(now, list) })
	}()
}

// won begins the duty of reading the list.
func (c *listController) won(now time.Duration) {
	c.readAt = now
	c.poll()
}

// failed hands the duty on if this control node has it and has not read the list for too long. A platform
// that throttles is in reach.
func (c *listController) failed(now time.Duration, throttled bool) {
	_, mine := c.election.Holds(now, dutyList)
	if !mine || throttled || now-c.readAt < settings.Seconds(handOnPart*c.set.Bounds.DrainS) {
		return
	}
	c.log.upstream.Warn("duty handed on, the list can't be read here", "silentS", logSeconds(now-c.readAt))
	c.election.HandOn(now, dutyList, settings.Seconds(standingBack*c.set.Bounds.DrainS))
}

// take takes over a list that was read from the platform.
func (c *listController) take(now time.Duration, list []upstream.Instance) {
	term, mine := c.election.Holds(now, dutyList)
	if !mine {
		term = 0
	}
	if (mine || !c.stand.Known()) && c.stand.Update(now, term, c.life, list) {
		c.log.upstream.Info("list read", "term", c.stand.Version.Term, "seq", c.stand.Version.Seq, "upstreams", len(list))
		c.changed(now)
	}
	if mine {
		c.readAt = now
		c.election.Done(dutyList)
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
