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
	// listMaxLagFraction is the fraction of drainS by which the role holder's list may be older
	// than one that another control node could provide. The rest of drainS is for the other node's
	// reading, the votes and the delivery.
	listMaxLagFraction = 0.5
	// listIntervalFraction is the fraction of drainS after which a short list is read again.
	listIntervalFraction = 0.2
	// platformCallFraction is the fraction of drainS that one call to the platform may take.
	platformCallFraction = 0.4
	// maxReadingFactor bounds one reading of the list, in multiples of drainS.
	maxReadingFactor = 8
)

// listController holds the platform's list of upstreams. The holder of the list role reads it from
// the platform. The other control nodes ask the holder for it, and the standbys read it themselves
// while the holder provides none: see list_standby.go.
type listController struct {
	*environment
	client         *http.Client
	readInProgress atomic.Bool
	platformCalls  atomic.Uint64
	platformErrors atomic.Uint64

	// Owned by the event loop.
	snapshot      upstream.ListSnapshot
	validAt       time.Duration           // when the snapshot was valid
	readingCalls  int                     // platform calls that reading the list took
	readingTime   time.Duration           // duration of the reading
	watcherClocks map[string]watcherClock // by control node that watches this one
	nextReadAt    time.Duration           // when the next reading is due
	nextAskAt     time.Duration           // when to ask the holder next
	standby       listStandby
	onChange      func(now time.Duration) // called when the snapshot has changed
	onRead        func(now time.Duration) // called when this node has read the list as the role holder
}

// watcherClock relates the clock of another control node to this node's: a message that the other
// sent when its clock showed asked arrived here at receivedAt.
type watcherClock struct{ asked, receivedAt time.Duration }

// listReading is one complete reading of the platform's list.
type listReading struct {
	instances  []upstream.Instance
	began, end time.Duration
	calls      int
}

func newListController(env *environment) *listController {
	return &listController{environment: env, watcherClocks: map[string]watcherClock{},
		client: &http.Client{Timeout: settings.Seconds(env.settings.Bounds.DrainS * platformCallFraction),
			Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * env.settings.HeartbeatInterval()}}}
}

// registerHandlers registers the handler for lists that other control nodes send.
func (c *listController) registerHandlers() {
	transport.HandleMessage(c.endpoint, delivery.UpdateKind, func(_ string, update delivery.Update) {
		c.tryEnqueue(func(now time.Duration) { c.handleUpdate(now, update) })
	})
}

// handleUpdate takes over a newer list, or a confirmation of the present one, from another control
// node.
func (c *listController) handleUpdate(now time.Duration, update delivery.Update) {
	newer := update.List != nil && c.snapshot.Apply(now, *update.List)
	if update.ListFreshness != nil && update.ListFreshness.Version == c.snapshot.Version {
		validAt := min(now, update.ListFreshness.AskedAt+update.ListFreshness.Offset)
		if newer {
			c.validAt = validAt
		}
		c.validAt, c.readingCalls, c.readingTime = max(c.validAt, validAt), update.ListFreshness.Calls, update.ListFreshness.Took
	}
	if newer {
		c.onChange(now)
	}
}

// tick reads the list if this node holds the role or has no list. Otherwise it asks the holder for
// the list, and reads it as a standby if the holder's is too old. It runs at every tick of the event
// loop.
func (c *listController) tick(now time.Duration) {
	if _, mine := c.election.Holds(now, roleList); mine || !c.snapshot.HasList() {
		// A node without any list reads one itself; the list of any role holder replaces that.
		c.readWhenDue(now, upstream.PollingPace(c.settings.CloudAPI.RatePerS))
		return
	}
	c.askHolder(now)
	c.readAsStandby(now)
}

// askHolder asks the role holder for its list, and another control node too if the list has not
// been confirmed for long.
func (c *listController) askHolder(now time.Duration) {
	if now < c.nextAskAt {
		return
	}
	c.nextAskAt = now + c.settings.HeartbeatInterval()
	question := delivery.Watch{ListVersion: c.snapshot.Version, AskedAt: max(now, 1)}
	holder, _, _ := c.election.Holder(now, roleList)
	if holder != "" && holder != c.endpoint.Address() {
		c.endpoint.Send(holder, delivery.WatchKind, question)
	}
	if other := c.standby.nextPeer(c.replica.Members(), c.endpoint.Address(), holder); other != "" && now-c.validAt > c.maxLag()/2 {
		question.Secondary = true
		c.endpoint.Send(other, delivery.WatchKind, question)
	}
}

// maxLag is by how much a list must be newer than the holder's for the role to be transferred to
// another node.
func (c *listController) maxLag() time.Duration {
	return settings.Seconds(listMaxLagFraction * c.settings.Bounds.DrainS)
}

// progress reports to the election how recent the list is here.
func (c *listController) progress() election.Progress {
	return election.Progress{Known: c.validAt, Own: c.standby.lastReading.began, Limit: c.maxLag()}
}

// noteWatcherClock records the clock of a control node that watches this one.
func (c *listController) noteWatcherClock(now time.Duration, from string, watch delivery.Watch) {
	if watch.Sums == nil && watch.AskedAt > 0 {
		c.watcherClocks[from] = watcherClock{watch.AskedAt, now}
	}
}

// freshnessFor reports as of when the list is valid, on the clock of a control node that watches this
// one; nil if that node has not sent its clock or there is no list.
func (c *listController) freshnessFor(to string) *delivery.ListFreshness {
	clock, ok := c.watcherClocks[to]
	if !ok || !c.snapshot.HasList() {
		return nil
	}
	return &delivery.ListFreshness{Version: c.snapshot.Version, AskedAt: clock.asked, Offset: c.validAt - clock.receivedAt, Calls: c.readingCalls, Took: c.readingTime}
}

// readWhenDue reads the list if that is due.
func (c *listController) readWhenDue(now time.Duration, pace upstream.CallPace) {
	if now >= c.nextReadAt {
		c.nextReadAt = now + settings.Seconds(c.settings.Bounds.DrainS*listIntervalFraction)
		c.read(pace)
	}
}

// newestKnown is the newest version of the list that this control node knows of.
func (c *listController) newestKnown(now time.Duration) upstream.ListVersion {
	known := c.snapshot.Version
	if _, term, runID := c.election.Holder(now, roleList); term > known.Term || term == known.Term && runID > known.RunID {
		known = upstream.ListVersion{Term: term, RunID: runID}
	}
	return known
}

// read reads the platform's list in the background.
func (c *listController) read(pace upstream.CallPace) {
	if c.settings.CloudAPI.Address == "" || !c.readInProgress.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.readInProgress.Store(false)
		began := c.now()
		ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(maxReadingFactor*c.settings.Bounds.DrainS))
		defer cancel()
		list, calls, err := upstream.ReadAll(ctx, c.client, c.settings.CloudAPI.Address, pace)
		c.platformCalls.Add(uint64(calls))
		// A list of several pages is read less often, and so is one that the platform throttles.
		if throttled := errors.Is(err, upstream.ErrThrottled); throttled || calls > 1 {
			pause := max(c.now()-began, settings.Seconds(c.settings.Bounds.DrainS*listIntervalFraction))
			defer time.Sleep(min(pause, settings.Seconds(c.settings.Bounds.DrainS)))
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

// roleAcquired starts this node's reading as the role holder, from the list that it may have read
// as a standby.
func (c *listController) roleAcquired(now time.Duration) {
	if c.standby.lastReading.began > c.validAt {
		c.log.upstream.Warn("list of the last duty holder is too old, using this node's", "ageS", logSeconds(now-c.validAt))
		c.accept(now, c.standby.lastReading)
	}
	c.read(upstream.PollingPace(c.settings.CloudAPI.RatePerS))
}

// accept takes over a list that was read from the platform. A node that has a list and does not
// hold the role only reports its progress to the election.
func (c *listController) accept(now time.Duration, reading listReading) {
	c.standby.succeeded(reading)
	term, mine := c.election.Holds(now, roleList)
	if !mine {
		term = 0
	}
	if !mine && c.snapshot.HasList() {
		c.election.ResultUpdated(now, roleList)
		return
	}
	c.validAt, c.readingCalls, c.readingTime = reading.began, reading.calls, reading.end-reading.began
	if c.snapshot.Update(now, term, c.runID, reading.instances) {
		c.log.upstream.Info("list read", "term", c.snapshot.Version.Term, "seq", c.snapshot.Version.Seq, "upstreams", len(reading.instances))
		c.onChange(now)
	}
	if mine {
		c.onRead(now)
	}
}

// listedVersions counts the versions of a service in the platform's list.
type listedVersions struct {
	mostFrequent string
	counts       map[string]int // upstreams by version
}

// serviceVersions counts the versions of each service in the platform's list.
func (c *listController) serviceVersions() map[string]listedVersions {
	out := map[string]listedVersions{}
	c.snapshot.Each(0, func(i upstream.Instance, _ time.Duration) {
		versions := out[i.Service]
		if versions.counts == nil {
			versions.counts = map[string]int{}
		}
		versions.counts[i.Version]++
		out[i.Service] = versions
	})
	for service, listed := range out {
		listed.mostFrequent = upstream.MostFrequent(listed.counts)
		out[service] = listed
	}
	return out
}
