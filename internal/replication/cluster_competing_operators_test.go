package replication

import (
	"fmt"
	"time"
)

// This file holds operators that compete: they propose two contents under one generation, also
// across takeovers and losses of disks, and read while changes are in progress.

// Retries of competing operators.
const (
	competingTries = 8
	competingPause = 150 * time.Millisecond
)

// minCompetition is the least number of refusals of a second content, and of reads, in a schedule
// with competing operators; with fewer the schedule proves too little.
const minCompetition = 40

// competitionProblem reports too few conflicts or reads; empty if there were enough.
func (sim *cluster) competitionProblem() string {
	refusals, reads := 0, 0
	for _, operation := range sim.history.calls[testPartition] {
		call := operation.Input.(*operatorCall)
		switch {
		case operation.Return == unanswered:
		case call.read:
			reads++
		case call.outcome == refused && call.stored.gen == call.proposed.gen:
			refusals++
		}
	}
	if refusals < minCompetition || reads < minCompetition {
		return fmt.Sprintf("only %d contents were refused, and %d reads answered", refusals, reads)
	}
	return ""
}

// contentProposal is a content that an operator proposes until it has a definite answer.
type contentProposal struct {
	name    string
	version uint64
	data    string
}

// runCompetingOperators keeps two operators proposing conflicting contents, and a third one reading.
func (sim *cluster) runCompetingOperators() {
	var next func()
	next = func() {
		if sim.operatorsStopped {
			return
		}
		sim.proposeTwoContents()
		sim.readAroundChange()
		sim.after(time.Duration(100+sim.rng.Intn(700))*time.Millisecond, next)
	}
	next()
}

// proposeTwoContents sends two contents under one generation, either the next one or the one that is
// stored.
func (sim *cluster) proposeTwoContents() {
	name := []string{"x", "y", "z"}[sim.rng.Intn(3)]
	version := max(1, sim.minVersions[testPartition+"/"+name]+uint64(sim.rng.Intn(2)))
	for range 2 {
		sim.changesSent++
		proposal := contentProposal{name, version, fmt.Sprint("rival", sim.changesSent)}
		sim.after(time.Duration(sim.rng.Intn(40))*time.Millisecond, func() { sim.retryContent(proposal, competingTries) })
	}
}

// repeatLastAck sends the change that was acknowledged last again, and another content under its
// generation, within the next 3 s.
func (sim *cluster) repeatLastAck() {
	if len(sim.acks) == 0 {
		return
	}
	last := sim.acks[len(sim.acks)-1]
	sim.changesSent++
	same := contentProposal{last.name, last.version, sim.contents[fmt.Sprintf("%s/%s/%d", testPartition, last.name, last.version)]}
	other := contentProposal{last.name, last.version, fmt.Sprint("rival", sim.changesSent)}
	for _, proposal := range []contentProposal{other, same} {
		sim.after(time.Duration(sim.rng.Intn(3000))*time.Millisecond, func() { sim.retryContent(proposal, competingTries) })
	}
}

// retryContent sends a content to the owner known to a random node until it is accepted or refused,
// or the tries are used up.
func (sim *cluster) retryContent(proposal contentProposal, tries int) {
	if sim.operatorsStopped || tries == 0 {
		return
	}
	answered := false
	if owner := sim.ownerByAnyNode(); owner != "" {
		answerLost := sim.rng.Intn(5) == 0
		sim.proposeVersion(owner, testPartition, proposal.name, proposal.version, proposal.data, func(_ uint64, err error) {
			answered = answered || !answerLost && (err == nil || err == errConflict)
		})
	}
	sim.after(competingPause+time.Duration(sim.rng.Intn(300))*time.Millisecond, func() {
		if !answered {
			sim.retryContent(proposal, tries-1)
		}
	})
}

// readAroundChange reads all records as control nodes do for operators, proposes a change while the
// round that confirms the read is in progress, and reads again.
func (sim *cluster) readAroundChange() {
	owner := sim.ownerByAnyNode()
	if owner == "" {
		return
	}
	sim.readAll(owner)
	sim.after(time.Duration(sim.rng.Intn(3000))*time.Microsecond, func() {
		name := []string{"x", "y", "z"}[sim.rng.Intn(3)]
		sim.changesSent++
		sim.proposeVersion(owner, testPartition, name, sim.minVersions[testPartition+"/"+name]+1, fmt.Sprint("beside", sim.changesSent), func(uint64, error) {})
		sim.after(time.Duration(sim.rng.Intn(3000))*time.Microsecond, func() { sim.readAll(owner) })
	})
}

// readAll reads the test partition's records at the time when the owner processes the request; the
// answer counts once a majority has confirmed the owner after that.
func (sim *cluster) readAll(address string) {
	n := sim.nodes[address]
	if n == nil {
		return
	}
	read := sim.history.recordRead(testPartition)
	var got map[string]Record
	sim.runOn(address, n.runID, func() {
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

// ownerByAnyNode returns the owner of the test partition as known to a random node; empty if that
// node knows none.
func (sim *cluster) ownerByAnyNode() string {
	n := sim.nodes[sim.addresses[sim.rng.Intn(len(sim.addresses))]]
	if !n.up || n.frozenUntil > sim.now {
		return ""
	}
	owner := n.replica.Owner(sim.clock(n), testPartition)
	if sim.nodes[owner] == nil {
		return ""
	}
	return owner
}
