package replication

import (
	"fmt"
	"time"
)

// This file holds operators that get into each other's way: two contents under one
// generation, also over a takeover and a loss of disks, and reads while changes come.

// Figures of the rivals.
const (
	competingTries = 8
	competingPause = 150 * time.Millisecond
)

// minCompetition is how many refusals of another content, and how many reads, a schedule with
// rivals has at least; with fewer it would show nothing.
const minCompetition = 40

// competitionProblem says whether the rivals met; empty: they did.
func (sim *cluster) competitionProblem() string {
	refusals, reads := 0, 0
	for _, op := range sim.history.calls[testPartition] {
		c := op.Input.(*operatorCall)
		switch {
		case op.Return == unanswered:
		case c.read:
			reads++
		case c.outcome == refused && c.current.gen == c.proposed.gen:
			refusals++
		}
	}
	if refusals < minCompetition || reads < minCompetition {
		return fmt.Sprintf("only %d contents were refused, and %d reads answered", refusals, reads)
	}
	return ""
}

// contentProposal is one content that an operator insists on.
type contentProposal struct {
	name    string
	version uint64
	data    string
}

// runCompetingOperators lets two operators race each other all the time, and a third one read.
func (sim *cluster) runCompetingOperators() {
	var again func()
	again = func() {
		if sim.operatorsStopped {
			return
		}
		sim.proposeTwoContents()
		sim.readAroundChange()
		sim.after(time.Duration(100+sim.rng.Intn(700))*time.Millisecond, again)
	}
	again()
}

// proposeTwoContents sends two contents under one generation, to two nodes: the next generation, or the
// one that stands.
func (sim *cluster) proposeTwoContents() {
	name := []string{"x", "y", "z"}[sim.rng.Intn(3)]
	version := max(1, sim.minVersions[testPartition+"/"+name]+uint64(sim.rng.Intn(2)))
	for range 2 {
		sim.changesSent++
		r := contentProposal{name, version, fmt.Sprint("rival", sim.changesSent)}
		sim.after(time.Duration(sim.rng.Intn(40))*time.Millisecond, func() { sim.retryContent(r, competingTries) })
	}
}

// repeatLastAck sends what was acknowledged last once more, and another content under its
// generation, over the next seconds.
func (sim *cluster) repeatLastAck() {
	if len(sim.acks) == 0 {
		return
	}
	last := sim.acks[len(sim.acks)-1]
	sim.changesSent++
	same := contentProposal{last.name, last.value, sim.contents[fmt.Sprintf("%s/%s/%d", testPartition, last.name, last.value)]}
	other := contentProposal{last.name, last.value, fmt.Sprint("rival", sim.changesSent)}
	for _, r := range []contentProposal{other, same} {
		sim.after(time.Duration(sim.rng.Intn(3000))*time.Millisecond, func() { sim.retryContent(r, competingTries) })
	}
}

// retryContent sends a content, to any node, until there is a clear answer or it has been tried
// often enough.
func (sim *cluster) retryContent(proposal contentProposal, tries int) {
	if sim.operatorsStopped || tries == 0 {
		return
	}
	answered := false
	if to := sim.ownerByAnyNode(); to != "" {
		answerLost := sim.rng.Intn(5) == 0
		sim.proposeVersion(to, testPartition, proposal.name, proposal.version, proposal.data, func(_ uint64, err error) {
			answered = answered || !answerLost && (err == nil || err == errConflict)
		})
	}
	sim.after(competingPause+time.Duration(sim.rng.Intn(300))*time.Millisecond, func() {
		if !answered {
			sim.retryContent(proposal, tries-1)
		}
	})
}

// readAroundChange reads all records as control nodes do for operators, has a change come
// while the round that confirms the read is under way, and reads once more.
func (sim *cluster) readAroundChange() {
	to := sim.ownerByAnyNode()
	if to == "" {
		return
	}
	sim.readAll(to)
	sim.after(time.Duration(sim.rng.Intn(3000))*time.Microsecond, func() {
		name := []string{"x", "y", "z"}[sim.rng.Intn(3)]
		sim.changesSent++
		sim.proposeVersion(to, testPartition, name, sim.minVersions[testPartition+"/"+name]+1, fmt.Sprint("beside", sim.changesSent), func(uint64, error) {})
		sim.after(time.Duration(sim.rng.Intn(3000))*time.Microsecond, func() { sim.readAll(to) })
	})
}

// readAll reads a key's records as they stand when the owner takes the question; the answer
// counts once a majority has confirmed the owner after that.
func (sim *cluster) readAll(id string) {
	n := sim.nodes[id]
	if n == nil {
		return
	}
	read := sim.history.recordRead(testPartition)
	var got map[string]Record
	sim.runOn(id, n.runID, func() {
		n.replica.Propose(sim.clock(n), testPartition, func(have map[string]Record) ([]Record, error) {
			got = map[string]Record{}
			for _, name := range recordNames {
				got[name] = have[name]
			}
			return nil, nil
		}, func(err error) {
			if err == nil {
				sim.answeredReads++
				read(got)
			}
		})
	})
}

// ownerByAnyNode is who owns the test key as a random node believes; empty: it knows nobody.
func (sim *cluster) ownerByAnyNode() string {
	n := sim.nodes[sim.ids[sim.rng.Intn(len(sim.ids))]]
	if !n.up || n.frozenUntil > sim.now {
		return ""
	}
	to := n.replica.Owner(sim.clock(n), testPartition)
	if sim.nodes[to] == nil {
		return ""
	}
	return to
}
