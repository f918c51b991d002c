package controlplane

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/replication"
)

const (
	testContactS          = 3 * time.Second
	testHeartbeatInterval = testContactS / 6
	testMaxAge            = time.Duration(contactFraction * float64(testContactS))
	testStep              = 10 * time.Millisecond
)

// simulatedCluster simulates the replicas of some control nodes and their contact tracking. A cut
// link drops the messages of one direction.
type simulatedCluster struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	ids      []string
	nodes    map[string]*simulatedNode
	cutLinks map[[2]string]bool
	inFlight []delayedMessage
	ackedAt  []time.Duration // when the value of this index was acknowledged; -1: not yet
}

type simulatedNode struct {
	runID        uint64
	replica      *replication.Replica
	contact      *contact
	disk         map[string][]byte
	frozen       bool
	backlog      []delayedMessage
	lastMajority time.Duration // when it could last receive from a majority
	committed    map[string]replication.Record
}

type delayedMessage struct {
	arrivesAt time.Duration
	from, to  string
	msg       replication.Message
}

func newSimulatedCluster(t *testing.T, size int) *simulatedCluster {
	c := &simulatedCluster{t: t, rng: rand.New(rand.NewPCG(uint64(size), 5)), nodes: map[string]*simulatedNode{}, cutLinks: map[[2]string]bool{}}
	for i := range size {
		c.ids = append(c.ids, fmt.Sprint("n", i))
	}
	for _, id := range c.ids {
		c.nodes[id] = &simulatedNode{disk: map[string][]byte{}}
		c.start(id, true)
	}
	return c
}

func (c *simulatedCluster) start(id string, bootstrap bool) {
	n := c.nodes[id]
	n.runID++
	partitions := []string{config.Partition, config.EvacuationPrefix + "z"}
	replica, err := replication.NewReplica(replication.Config{Self: id, RunID: n.runID, Seeds: c.ids, Bootstrap: bootstrap, Empty: len(n.disk) == 0,
		Partitions: partitions, FreshnessPartitions: partitions, Faults: 2, Identity: c.rng.Uint64() | 1, HeartbeatInterval: testHeartbeatInterval, ElectionTimeout: time.Duration(ownerTimeoutFraction * float64(testContactS)), ProposalTimeout: time.Second,
		Alive: func(string) bool { return true }}, n.disk)
	if err != nil {
		c.t.Fatal(err)
	}
	n.replica, n.contact, n.backlog = replica, newContact(testMaxAge, partitions), nil
}

// isolate cuts both directions between the named nodes and all others.
func (c *simulatedCluster) isolate(ids ...string) {
	for _, isolated := range ids {
		for _, other := range c.ids {
			if !strings.Contains(strings.Join(ids, " "), other) {
				c.cutLinks[[2]string{isolated, other}], c.cutLinks[[2]string{other, isolated}] = true, true
			}
		}
	}
}

func (c *simulatedCluster) restoreLinks() { c.cutLinks = map[[2]string]bool{} }

// hearsMajority reports whether a node can receive from more than half of all nodes, itself
// included. A node that can only receive still gets new records.
func (c *simulatedCluster) hearsMajority(id string) bool {
	heard := 0
	for _, other := range c.ids {
		if !c.cutLinks[[2]string{other, id}] && !c.nodes[other].frozen {
			heard++
		}
	}
	return 2*heard > len(c.ids) && !c.nodes[id].frozen
}

func (c *simulatedCluster) applyEffects(id string) {
	n := c.nodes[id]
	effects := n.replica.Take()
	for len(effects.Send)+len(effects.Writes) > 0 {
		for _, e := range effects.Send {
			if !c.cutLinks[[2]string{id, e.To}] {
				c.inFlight = append(c.inFlight, delayedMessage{c.now + testStep, id, e.To, e.Msg})
			}
		}
		for _, write := range effects.Writes {
			for _, e := range write.Entries {
				if n.disk[e.Key] = e.Value; e.Value == nil {
					delete(n.disk, e.Key)
				}
			}
			n.replica.Durable(c.now, write.ID)
		}
		effects = n.replica.Take()
	}
	if records, _, ok := n.replica.Committed(config.Partition); ok {
		n.committed = maps.Clone(records)
	}
	n.contact.update(n.replica.FreshAsOf)
}

// run advances the simulation. Every owner of the configuration proposes a change ten times a
// second. A node whose contact is fresh must have every change that was acknowledged more than
// testMaxAge ago.
func (c *simulatedCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += testStep {
		var later []delayedMessage
		due := c.inFlight
		c.inFlight = nil
		for _, message := range due {
			n := c.nodes[message.to]
			switch {
			case message.arrivesAt > c.now:
				later = append(later, message)
			case n.frozen:
				n.backlog = append(n.backlog, message)
			default:
				n.replica.Handle(c.now, message.from, message.msg)
				c.applyEffects(message.to)
			}
		}
		c.inFlight = append(later, c.inFlight...)
		for _, id := range c.ids {
			n := c.nodes[id]
			if n.frozen {
				n.lastMajority = min(n.lastMajority, c.now)
				continue
			}
			for _, message := range n.backlog {
				n.replica.Handle(c.now, message.from, message.msg)
			}
			n.backlog = nil
			n.replica.Tick(c.now)
			if n.replica.Owner(c.now, config.Partition) == id && c.now%(100*time.Millisecond) == 0 {
				value := len(c.ackedAt)
				c.ackedAt = append(c.ackedAt, -1)
				n.replica.Propose(c.now, config.Partition, func(map[string]replication.Record) ([]replication.Record, error) {
					return []replication.Record{{Name: "r", Gen: uint64(value + 1)}}, nil
				}, func(err error) {
					if err == nil {
						c.ackedAt[value] = c.now
					}
				})
			}
			c.applyEffects(id)
			c.check(id, n)
		}
	}
}

func (c *simulatedCluster) check(id string, n *simulatedNode) {
	if c.hearsMajority(id) {
		n.lastMajority = c.now
	}
	if !n.contact.fresh(c.now) {
		return
	}
	if c.now-n.lastMajority > testMaxAge {
		c.t.Errorf("%v: %s is fresh after %v without a majority", c.now, id, c.now-n.lastMajority)
	}
	records := n.committed
	for value, at := range c.ackedAt {
		if at >= 0 && at < c.now-testMaxAge && records["r"].Gen < uint64(value+1) {
			c.t.Errorf("%v: %s is fresh with generation %d, although %d was acknowledged at %v", c.now, id, records["r"].Gen, value+1, at)
		}
	}
}

func (c *simulatedCluster) fresh() (out []string) {
	for _, id := range c.ids {
		if c.nodes[id].contact.fresh(c.now) {
			out = append(out, id)
		}
	}
	return out
}

// Only nodes that receive from a majority stay in contact, whatever fault keeps messages away. All
// regain contact once the fault ends.
func TestContactNeedsAMajority(t *testing.T) {
	const faultDuration = 20 * time.Second
	// An owner that nobody receives from soon has no followers. The test is about what a node
	// receives, so it cuts off a node that owns no partition.
	cutOutgoing := func(cluster *simulatedCluster) {
		for _, id := range cluster.ids {
			if cluster.nodes["n0"].replica.Owner(cluster.now, config.Partition) == id || cluster.nodes["n0"].replica.Owner(cluster.now, config.EvacuationPrefix+"z") == id {
				continue
			}
			for _, other := range cluster.ids {
				if other != id {
					cluster.cutLinks[[2]string{id, other}] = true
				}
			}
			return
		}
		cluster.t.Fatal("every node owns a partition")
	}
	cutIncoming := func(cluster *simulatedCluster) {
		for _, other := range cluster.ids[1:] {
			cluster.cutLinks[[2]string{other, "n0"}] = true
		}
	}
	all := "n0 n1 n2 n3 n4"
	for name, test := range map[string]struct {
		injectFault func(cluster *simulatedCluster)
		wantFresh   string // the nodes that are fresh at the end of the fault
	}{
		"one isolated":           {func(cluster *simulatedCluster) { cluster.isolate("n0") }, "n1 n2 n3 n4"},
		"two isolated":           {func(cluster *simulatedCluster) { cluster.isolate("n0", "n1") }, "n2 n3 n4"},
		"no node has a majority": {func(cluster *simulatedCluster) { cluster.isolate("n0", "n1"); cluster.isolate("n2", "n3") }, ""},
		"one cannot send":        {cutOutgoing, all},
		"one cannot receive":     {cutIncoming, "n1 n2 n3 n4"},
		"frozen, then isolated with queued messages": {func(cluster *simulatedCluster) {
			cluster.nodes["n0"].frozen = true
			cluster.run(testContactS)
			cluster.isolate("n0")
			cluster.run(testContactS)
			cluster.nodes["n0"].frozen = false
		}, "n1 n2 n3 n4"},
		"restarted while isolated": {func(cluster *simulatedCluster) {
			cluster.isolate("n0", "n1")
			cluster.start("n0", false)
			cluster.start("n1", false)
		}, "n2 n3 n4"},
		"all restarted, a minority comes up": {func(cluster *simulatedCluster) {
			for i, id := range cluster.ids {
				cluster.start(id, false)
				cluster.nodes[id].frozen = i > 1
			}
		}, ""},
		"many short faults": {func(cluster *simulatedCluster) {
			for range 12 {
				cluster.isolate(cluster.ids[cluster.rng.IntN(5)])
				cluster.run(time.Duration(cluster.rng.IntN(2000)) * time.Millisecond)
				cluster.restoreLinks()
				cluster.run(time.Duration(cluster.rng.IntN(1000)) * time.Millisecond)
			}
			cluster.isolate("n0")
		}, "n1 n2 n3 n4"},
		"isolated in turn": {func(cluster *simulatedCluster) {
			for i := range 10 {
				cluster.restoreLinks()
				cluster.isolate(cluster.ids[i%5], cluster.ids[(i+1)%5])
				cluster.run(testContactS)
			}
			cluster.restoreLinks()
			cluster.isolate("n3", "n4")
		}, "n0 n1 n2"},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newSimulatedCluster(t, 5)
			cluster.run(6 * time.Second)
			if got := strings.Join(cluster.fresh(), " "); got != all {
				t.Fatalf("fresh before the fault: %s", got)
			}
			test.injectFault(cluster)
			cluster.run(faultDuration)

			if got := strings.Join(cluster.fresh(), " "); got != test.wantFresh {
				t.Errorf("fresh: %q, want %q", got, test.wantFresh)
			}
			cluster.restoreLinks()
			for _, id := range cluster.ids {
				cluster.nodes[id].frozen = false
			}
			cluster.run(2 * testContactS)
			if got := strings.Join(cluster.fresh(), " "); got != all {
				t.Errorf("fresh after the links were restored: %q", got)
			}
		})
	}
}

func TestContactChangesAreLoggedOnce(t *testing.T) {
	var text bytes.Buffer
	tracker := newContact(time.Second, []string{"a", "b"})
	logger := slog.New(slog.NewTextHandler(&text, nil))
	freshAt := map[string]time.Duration{}
	freshAsOf := func(partition string) (time.Duration, bool) { d, ok := freshAt[partition]; return d, ok }
	for _, step := range []struct {
		now, a, b time.Duration
		fresh     bool
		age       time.Duration
		lines     int
	}{
		{2 * time.Second, 0, 0, false, 2 * time.Second, 0},               // at least as old as the process
		{3 * time.Second, 3 * time.Second, 0, false, 3 * time.Second, 0}, // one partition is still unconfirmed
		{3 * time.Second, 3 * time.Second, 2500 * time.Millisecond, true, time.Second / 2, 1},
		{4 * time.Second, 3900 * time.Millisecond, 3 * time.Second, true, time.Second, 1},
		{5 * time.Second, 4900 * time.Millisecond, 0, false, 2 * time.Second, 2}, // unknown now: the last confirmation counts
		{9 * time.Second, 0, 0, false, 6 * time.Second, 2},
		{9 * time.Second, 9 * time.Second, 9 * time.Second, true, 0, 3},
	} {
		freshAt = map[string]time.Duration{}
		if step.a > 0 {
			freshAt["a"] = step.a
		}
		if step.b > 0 {
			freshAt["b"] = step.b
		}
		tracker.update(freshAsOf)
		tracker.logChange(step.now, logger)
		age, known := tracker.age(step.now)
		if lines := strings.Count(text.String(), "\n"); tracker.fresh(step.now) != step.fresh || known && age != step.age || !known && step.fresh || lines != step.lines {
			t.Errorf("%v: fresh %v, age %v, %d lines; want %+v", step.now, tracker.fresh(step.now), age, lines, step)
		}
	}
	if !strings.Contains(text.String(), `msg="in contact with a majority" afterS=3`) || !strings.Contains(text.String(), "msg=\"out of contact with a majority\" itemsAgeS=2\n") {
		t.Error(text.String())
	}
}
