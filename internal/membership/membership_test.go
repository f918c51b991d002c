package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const probeInterval = 500 * time.Millisecond

// cluster delivers messages between tables at once, unless the sender or the recipient is down.
type cluster struct {
	tables    map[string]*Table
	down      map[string]bool
	now       time.Duration
	bytesSent int
}

func newCluster(size int) *cluster {
	c := &cluster{tables: map[string]*Table{}, down: map[string]bool{}}
	for i := 0; i < size; i++ {
		c.start(i)
	}
	return c
}

func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:7660", i) }

func (c *cluster) start(i int) {
	c.tables[addressOf(i)] = NewTable(Config{Self: Node{Address: addressOf(i), Name: fmt.Sprintf("edge-%02d", i), Zone: fmt.Sprintf("z%d", i%4)},
		Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, ProbeInterval: probeInterval, DeadRetention: 100 * probeInterval})
	c.down[addressOf(i)] = false
}

func (c *cluster) deliver() {
	for pending := true; pending; {
		pending = false
		for _, from := range slices.Sorted(maps.Keys(c.tables)) {
			messages, _ := c.tables[from].Take()
			for _, envelope := range messages {
				pending = true
				b, _ := cbor.Marshal(envelope.Msg)
				c.bytesSent += len(b)
				if to := c.tables[envelope.To]; to != nil && !c.down[envelope.To] && !c.down[from] {
					to.Handle(c.now, from, envelope.Msg)
				}
			}
		}
	}
}

func (c *cluster) run(intervals int) {
	for i := 0; i < intervals; i++ {
		c.now += probeInterval
		for _, address := range slices.Sorted(maps.Keys(c.tables)) {
			if !c.down[address] {
				c.tables[address].Tick(c.now)
			}
		}
		c.deliver()
	}
}

// expectState fails the test if a node that is up has another state for subject than want.
func (c *cluster) expectState(t *testing.T, subject string, want State) {
	t.Helper()
	for address, table := range c.tables {
		if c.down[address] || address == subject {
			continue
		}
		if e := table.entries[subject]; e == nil || e.node.State != want {
			t.Fatalf("%s has %s as %+v, want state %v", address, subject, e, want)
		}
	}
}

func TestAllNodesFindEachOtherThroughSeeds(t *testing.T) {
	c := newCluster(15)
	c.run(8)
	for address, table := range c.tables {
		if n := len(table.Nodes()); n != 15 {
			t.Fatalf("%s knows %d nodes", address, n)
		}
		if n := len(table.ProbeSet()); n != probeCount {
			t.Fatalf("%s probes %d nodes", address, n)
		}
	}
}

func TestNodeIsSuspectBeforeDeadAndRejoins(t *testing.T) {
	c := newCluster(12)
	c.run(8)
	downNode := addressOf(7)
	c.down[downNode] = true
	c.run(3)
	suspected := false
	for address, table := range c.tables {
		if address != downNode && table.entries[downNode].node.State == Dead {
			t.Fatal("dead without having been suspect for two probe intervals")
		}
		suspected = suspected || address != downNode && table.entries[downNode].node.State == Suspect
	}
	if !suspected {
		t.Fatal("no node suspects the one that is down")
	}
	c.run(12)
	c.expectState(t, downNode, Dead)
	c.start(7) // a new process with no memory
	c.run(10)
	c.expectState(t, downNode, Alive)
}

func TestPausedNodeRefutesSuspicion(t *testing.T) {
	c := newCluster(8)
	c.run(8)
	c.down[addressOf(3)] = true
	c.run(4)
	c.down[addressOf(3)] = false
	c.run(8)
	c.expectState(t, addressOf(3), Alive)
}

func TestMembershipWorksWithoutSeedsAfterJoin(t *testing.T) {
	c := newCluster(10)
	c.run(8)
	for i := 0; i < 3; i++ {
		c.down[addressOf(i)] = true
	}
	c.run(15)
	c.expectState(t, addressOf(0), Dead)
	c.expectState(t, addressOf(9), Alive)
}

func TestShardsSpanZonesAndStayAssigned(t *testing.T) {
	c := newCluster(11)
	c.run(8)
	list := func() *List { return &List{Nodes: c.tables[addressOf(10)].Nodes()} }
	before := list().Shards(2)
	for zone := 0; zone < 4; zone++ {
		seen := map[int]bool{}
		for i := zone; i < 11; i += 4 {
			seen[before[addressOf(i)]] = true
		}
		if len(seen) != 2 {
			t.Fatalf("zone %d has shards %v", zone, seen)
		}
	}
	c.down[addressOf(0)] = true
	c.run(12)
	for address, shard := range list().Shards(2) {
		if before[address] != shard {
			t.Fatalf("%s moved from shard %d to %d when another gateway died", address, before[address], shard)
		}
	}
}

// wrongBeliefs counts, over the nodes that are up, the entries of n nodes that are wrong about whether
// the node is up.
func (c *cluster) wrongBeliefs(n int) (count int) {
	for address, table := range c.tables {
		for i := 0; i < n && !c.down[address]; i++ {
			if e := table.entries[addressOf(i)]; (e != nil && e.node.State < Dead) == c.down[addressOf(i)] {
				count++
			}
		}
	}
	return count
}

// Gossip traffic between hundreds of nodes must stay small compared to links of a few Mbit/s, also
// when many nodes stop and start at once.
func TestGossipTrafficWithHundredsOfNodes(t *testing.T) {
	const n = 300
	c := newCluster(n)
	steps := []struct {
		name      string
		change    func()
		intervals int
		maxBytes  int // per node and interval
		maxWrong  int // wrong beliefs allowed at the end, of n*n
	}{
		{"start", func() {}, 8, 12000, n},
		{"no changes", func() {}, 5, 2400, 0},
		{"one in ten stops", func() {
			for i := 5; i < n; i += 10 {
				c.down[addressOf(i)] = true
			}
		}, 12, 8000, n * n / 500},
		{"these restart", func() {
			for i := 5; i < n; i += 10 {
				c.start(i)
			}
		}, 12, 8000, 0},
		{"one list lacks a node", func() {
			delete(c.tables[addressOf(7)].entries, addressOf(9))
			c.tables[addressOf(7)].markChanged()
		}, 8, 2400, 0},
	}
	for _, step := range steps {
		step.change()
		c.bytesSent = 0
		c.run(step.intervals)
		t.Logf("%s: %d bytes per node and interval, %d wrong beliefs", step.name, c.bytesSent/n/step.intervals, c.wrongBeliefs(n))
		if got := c.bytesSent / n / step.intervals; got > step.maxBytes {
			t.Errorf("%s: %d bytes per node and interval", step.name, got)
		}
		if got := c.wrongBeliefs(n); got > step.maxWrong {
			t.Errorf("%s: %d wrong beliefs", step.name, got)
		}
	}
}
