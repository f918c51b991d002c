package election

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick           = 50 * time.Millisecond
	maxResultAge   = 2500 * time.Millisecond // on nodes without a fault
	challengeLimit = maxResultAge / 2
	workInterval   = maxResultAge / 5
	faultRounds    = 12
	recoveryTime   = 4 * time.Second // between the end of a fault and the next one
)

// fault is what is wrong with a node.
type fault int

const (
	noFault        fault = iota
	failing              // its work fails
	hanging              // its work never ends
	slow                 // its work takes several times as long as the others'
	resultsDropped       // its results don't reach the others, its votes do
	noInbound            // it receives nothing
	noOutbound           // nothing that it sends arrives
	isolated             // both noInbound and noOutbound
	paused               // the process does not run
	faultCount
)

func (f fault) String() string {
	return [...]string{"none", "failing", "hanging", "slow", "results dropped", "no inbound", "no outbound", "isolated", "paused"}[f]
}

// roleNode is a node that does the work of the role if it holds the role, or as a
// standby if the holder's results are too old.
type roleNode struct {
	elector                       *Elector
	fault                         fault
	knownAsOf, ownAsOf            time.Duration // Known and Own of Progress
	workBegan, workEnds, nextWork time.Duration // workEnds is 0 while the node does not work
}

// roleCluster is a simulated cluster of nodes, one of which holds a role for all. Messages between them take no time.
type roleCluster struct {
	t          *testing.T
	now        time.Duration
	ids        []string
	nodes      map[string]*roleNode
	maxFaulty  int // nodes that may be faulty at the same time
	maxWorking int // most nodes that have worked at the same time
	published  int // number of results
}

func newRoleCluster(t *testing.T, size int) *roleCluster {
	t.Helper()
	c := &roleCluster{t: t, nodes: map[string]*roleNode{}, maxFaulty: (size - 1) / 2}
	for i := range size {
		c.ids = append(c.ids, fmt.Sprintf("a%d", i))
	}
	for _, id := range c.ids {
		node := &roleNode{}
		node.elector = New(Config{Self: id, Roles: []string{"list"}, Lease: lease, Voters: func() []string { return c.ids },
			Alive: func(string) bool { return true },
			Progress: func(time.Duration, string) Progress {
				return Progress{Known: node.knownAsOf, Own: node.ownAsOf, Limit: challengeLimit}
			}})
		c.nodes[id] = node
	}
	return c
}

// reaches reports whether a message arrives.
func (c *roleCluster) reaches(from, to string, isResult bool) bool {
	fromFault, toFault := c.nodes[from].fault, c.nodes[to].fault
	return fromFault != noOutbound && fromFault != isolated && fromFault != paused && toFault != noInbound && toFault != isolated && toFault != paused && (fromFault != resultsDropped || !isResult)
}

func (c *roleCluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += tick {
		for _, id := range c.ids {
			if node := c.nodes[id]; node.fault != paused {
				node.elector.Tick(c.now)
				c.work(id, node)
			}
		}
		c.deliver()
		c.checkFreshness()
	}
}

// work starts a node's work if it is due, and publishes its result when it ends.
func (c *roleCluster) work(id string, node *roleNode) {
	_, holds := node.elector.Holds(c.now, "list")
	rank, _ := node.elector.StandbyRank(c.now, "list")
	standby := c.now-node.knownAsOf > challengeLimit && rank <= c.maxFaulty
	if node.workEnds == 0 && c.now >= node.nextWork && (holds || standby) {
		node.workBegan, node.workEnds, node.nextWork = c.now, c.now+tick, c.now+workInterval
		switch node.fault {
		case slow:
			node.workEnds = c.now + 4*maxResultAge
		case hanging:
			node.workEnds = c.now + 1000*maxResultAge
		}
	}
	if node.workEnds == 0 || c.now < node.workEnds {
		return
	}
	node.workEnds = 0
	if node.fault == failing {
		return
	}
	node.ownAsOf = node.workBegan
	if holds {
		c.publish(id, node.ownAsOf)
	}
}

// publish delivers a result to all nodes that it reaches.
func (c *roleCluster) publish(from string, asOf time.Duration) {
	c.published++
	for _, id := range c.ids {
		if id == from || c.reaches(from, id, true) {
			c.nodes[id].knownAsOf = max(c.nodes[id].knownAsOf, asOf)
		}
	}
}

func (c *roleCluster) deliver() {
	for pending := true; pending; {
		pending = false
		for _, id := range c.ids {
			if c.nodes[id].fault == paused {
				continue
			}
			messages, changed := c.nodes[id].elector.Take()
			for _, envelope := range messages {
				if c.reaches(id, envelope.To, false) {
					pending = true
					c.nodes[envelope.To].elector.Handle(c.now, id, envelope.Msg)
				}
			}
			if _, holds := c.nodes[id].elector.Holds(c.now, "list"); len(changed) > 0 && holds {
				pending = true
				c.publish(id, c.nodes[id].ownAsOf)
			}
		}
	}
}

// checkFreshness fails the test if the newest result of a node without a fault is too old.
func (c *roleCluster) checkFreshness() {
	working := 0
	for _, id := range c.ids {
		node := c.nodes[id]
		if node.workEnds > 0 && node.fault != hanging && node.fault != slow {
			working++
		}
		if node.fault == noFault && c.now > 2*maxResultAge && c.now-node.knownAsOf > maxResultAge {
			c.t.Fatalf("at %v, the newest result at %s is %v old; cluster: %s", c.now, id, c.now-node.knownAsOf, c)
		}
	}
	c.maxWorking = max(c.maxWorking, working)
}

// holder returns the holder if it has no fault, else the first node.
func (c *roleCluster) holder() string {
	for _, id := range c.ids {
		if _, holds := c.nodes[id].elector.Holds(c.now, "list"); holds && c.nodes[id].fault == noFault {
			return id
		}
	}
	return c.ids[0]
}

func (c *roleCluster) String() (out string) {
	for _, id := range c.ids {
		node := c.nodes[id]
		term, holds := node.elector.Holds(c.now, "list")
		out += fmt.Sprintf("%s: fault %v, holds %v (term %d), newest result as of %v; ", id, node.fault, holds, term, node.knownAsOf)
	}
	return out
}

// Whatever fault the holder of a role has, and then its successor, all other nodes keep receiving results that
// are new enough: a holder keeps the role only while a majority receives its results.
func TestRoleMovesFromHolderWithoutResults(t *testing.T) {
	for kind := failing; kind < faultCount; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			c := newRoleCluster(t, 4)
			c.run(2 * maxResultAge)
			for range 4 {
				faulty := c.nodes[c.holder()]
				faulty.fault = kind
				c.run(3 * maxResultAge)
				faulty.fault, faulty.workEnds = noFault, 0
				faulty.knownAsOf = c.now // gives it time to catch up
				c.run(recoveryTime)
			}
		})
	}
}

// One holder after the other gets a random fault, in half of the runs up to two of five nodes at the same time.
func TestResultsStayFreshThroughFaultSeries(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes, maxAtOnce := 4, 1
		if seed%2 == 1 {
			nodes, maxAtOnce = 5, 2
		}
		c := newRoleCluster(t, nodes)
		c.run(2 * maxResultAge)
		for range faultRounds {
			var faulty []*roleNode
			for range 1 + random.IntN(maxAtOnce) {
				node := c.nodes[c.holder()]
				node.fault = noFault + 1 + fault(random.IntN(int(faultCount)-1))
				faulty = append(faulty, node)
				c.run(time.Duration(random.IntN(int(maxResultAge/8))) + maxResultAge)
			}
			c.run(time.Duration(random.IntN(int(2 * maxResultAge))))
			for _, node := range faulty {
				node.fault, node.workEnds, node.knownAsOf = noFault, 0, c.now
			}
			c.run(recoveryTime)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// Without faults only the holder works, and the role stays with it.
func TestRoleStaysWhileResultsArrive(t *testing.T) {
	c := newRoleCluster(t, 4)
	c.run(2 * maxResultAge)
	holder := c.holder()
	term, _ := c.nodes[holder].elector.Holds(c.now, "list")
	c.maxWorking = 0
	c.run(40 * maxResultAge)
	if newTerm, _ := c.nodes[holder].elector.Holds(c.now, "list"); c.holder() != holder || newTerm != term {
		t.Errorf("%s held the role under term %d, then it changed: %s", holder, term, c)
	}
	if c.maxWorking > 1 {
		t.Errorf("%d nodes worked at the same time", c.maxWorking)
	}
}

// While all nodes fail at the role, its holder keeps it, and terms don't rise.
func TestRoleStaysWhenAllNodesFail(t *testing.T) {
	c := newRoleCluster(t, 4)
	c.run(2 * maxResultAge)
	holder := c.holder()
	term, _ := c.nodes[holder].elector.Holds(c.now, "list")
	for _, node := range c.nodes {
		node.fault = failing
	}
	c.run(20 * maxResultAge)
	if newTerm, holds := c.nodes[holder].elector.Holds(c.now, "list"); !holds || newTerm != term {
		t.Errorf("%s held the role under term %d, then it changed: %s", holder, term, c)
	}
}

// A single node that receives no results changes nothing for the others, because its pre-vote fails.
func TestSingleStaleNodeDoesNotTakeRole(t *testing.T) {
	c := newRoleCluster(t, 4)
	c.run(2 * maxResultAge)
	holder := c.holder()
	term, _ := c.nodes[holder].elector.Holds(c.now, "list")
	stale := c.nodes[c.ids[0]]
	if c.ids[0] == holder {
		stale = c.nodes[c.ids[1]]
	}
	for range 100 {
		stale.knownAsOf, stale.ownAsOf = c.now-3*maxResultAge, c.now
		c.now += tick
		stale.elector.Tick(c.now)
		c.deliver()
		for _, id := range c.ids {
			if node := c.nodes[id]; node != stale {
				node.knownAsOf = c.now
				node.elector.Tick(c.now)
			}
		}
		c.deliver()
	}
	if newTerm, holds := c.nodes[holder].elector.Holds(c.now, "list"); !holds || newTerm != term {
		t.Errorf("%s held the role under term %d, then it changed: %s", holder, term, c)
	}
}
