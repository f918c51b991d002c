package election

// This file decides when a control node campaigns for a duty: when the duty is vacant, or when the
// holder's results are too old. Before it campaigns it asks for pre-votes, as in Raft.

import (
	"time"

	"madderwing/internal/rendezvous"
)

// Progress tells how recent the results of a duty are at one control node, by that node's clock. A
// result describes the state as of some time; it ages from then on.
type Progress struct {
	// Known is the as-of time of the newest result in use: on the holder its own last complete
	// result, on the other nodes the last result received from the holder.
	Known time.Duration
	// Own is the as-of time of the last complete result that this node produced itself.
	Own time.Duration
	// Limit is how far Own must be ahead of Known before the holder may be challenged.
	Limit time.Duration
}

// ownAhead reports whether the node's own result is newer than the holder's by more than Limit.
func (p Progress) ownAhead() bool { return p.Own-p.Known > p.Limit }

// Result describes the result of a candidate that challenges a holder.
type Result struct {
	Age time.Duration `cbor:"1,keyasint"`
}

// preVote is the state of a control node's inquiry whether the others would vote for it. Answers to it
// are not binding, so a node that is alone in missing the holder's messages or results does not disrupt
// the holder.
type preVote struct {
	ahead       bool          // this node's result is newer than the holder's, see Progress.ownAhead
	aheadSince  time.Duration // when ahead last became true
	active      bool
	requestedAt time.Duration
	term        uint64
	votes       map[string]bool
}

// preVoteIfDue asks the others for pre-votes if this control node may campaign, and repeats the
// request every eighth of a lease.
func (e *Elector) preVoteIfDue(now time.Duration, d *duty, roster []string) {
	if !e.mayCampaign(now, d, roster) {
		d.preVote.active = false
		return
	}
	preVote := &d.preVote
	if preVote.active && now-preVote.requestedAt < e.cfg.Lease/8 {
		return
	}
	preVote.active, preVote.requestedAt, preVote.term, preVote.votes = true, now, d.nextTerm(), map[string]bool{e.cfg.Self: true}
	request := Message{Role: d.name, Term: preVote.term, RunID: e.cfg.RunID, PreVote: true, Result: e.challengeResult(now, d)}
	for _, id := range roster {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, request})
		}
	}
	e.countPreVotes(now, d, roster)
}

// mayCampaign reports whether the duty is vacant, or this control node's result is newer than the
// holder's. Nodes further down the order wait longer, so that few campaign at the same time.
func (e *Elector) mayCampaign(now time.Duration, d *duty, roster []string) bool {
	if now >= max(d.voteExpires, e.startedAt)+time.Duration(e.rank(d, roster))*e.cfg.Lease/8 {
		return true
	}
	rank, ok := e.StandbyRank(now, d.name)
	ahead := ok && e.challengeResult(now, d) != nil
	if ahead && !d.preVote.ahead {
		d.preVote.aheadSince = now
	}
	d.preVote.ahead = ahead
	voteSettled := d.votedSince + e.cfg.Lease/4
	return ahead && now >= max(d.preVote.aheadSince, voteSettled)+time.Duration(rank)*e.cfg.Lease/16
}

// ResultUpdated is called when this control node has produced a newer result of a duty. It asks for
// pre-votes at once if they are due, without waiting for the next Tick.
func (e *Elector) ResultUpdated(now time.Duration, name string) {
	if d := e.duty(name); d != nil && !d.holding && !d.campaigning && !e.leaving && now >= d.retryAt {
		e.preVoteIfDue(now, d, e.cfg.Roster())
	}
}

// challengeResult returns what this control node tells voters of its result, or nil if that result is
// not far enough ahead of the holder's for a challenge.
func (e *Elector) challengeResult(now time.Duration, d *duty) *Result {
	if e.cfg.Progress == nil || d.holding {
		return nil
	}
	progress := e.cfg.Progress(now, d.name)
	if !progress.ownAhead() {
		return nil
	}
	return &Result{Age: now - progress.Own}
}

// acceptsChallenge reports whether this control node may move its vote from the holder to a candidate:
// the candidate's result must be newer, by more than the limit, than the one known here, and the vote
// must have stood for a quarter of a lease.
func (e *Elector) acceptsChallenge(now time.Duration, d *duty, request Message) bool {
	if request.Result == nil || e.cfg.Progress == nil || now < d.votedSince+e.cfg.Lease/4 {
		return false
	}
	progress := e.cfg.Progress(now, d.name)
	return Progress{Known: progress.Known, Own: now - request.Result.Age, Limit: progress.Limit}.ownAhead()
}

// Transfer is a takeover: this control node moved its vote for a duty from a holder with outdated results
// to a challenger.
type Transfer struct {
	Role, From, To string
	ResultAge      time.Duration
	at             time.Duration
}

// recordTakeover records that the vote moves from the current holder to a candidate.
func (e *Elector) recordTakeover(now time.Duration, d *duty, candidate string) {
	d.lastTakeover = &Transfer{Role: d.name, From: d.votedFor, To: candidate, ResultAge: e.resultAge(now, d), at: now}
	e.takeovers = append(e.takeovers, *d.lastTakeover)
}

// DrainTransfers returns the takeovers since the last call.
func (e *Elector) DrainTransfers() []Transfer {
	takeovers := e.takeovers
	e.takeovers = nil
	return takeovers
}

// resultAge returns the age of the newest result of a duty that this control node knows of.
func (e *Elector) resultAge(now time.Duration, d *duty) time.Duration {
	if e.cfg.Progress == nil {
		return 0
	}
	return (now - e.cfg.Progress(now, d.name).Known).Round(time.Millisecond)
}

// countPreVotes starts the campaign once a majority would vote for this control node.
func (e *Elector) countPreVotes(now time.Duration, d *duty, roster []string) {
	if majority(d.preVote.votes, roster) {
		d.preVote.active = false
		e.campaign(now, d, d.preVote.term, e.challengeResult(now, d), roster)
	}
}

// handlePreVoteAnswer handles an answer to a pre-vote request, and a late answer to a vote request of a
// campaign that is over.
func (e *Elector) handlePreVoteAnswer(now time.Duration, d *duty, from string, answer Message) {
	if !d.preVote.active || answer.Term < d.preVote.term || d.campaigning || d.holding {
		return
	}
	if !answer.Granted {
		d.usedTerm = max(d.usedTerm, answer.UsedTerm)
		if answer.Term > d.preVote.term {
			d.minTerm = max(d.minTerm, answer.Term)
		}
		return
	}
	d.preVote.votes[from] = true
	e.countPreVotes(now, d, e.cfg.Roster())
}

// stillWinnable records a refusal and reports whether a challenge can still win a majority. A campaign
// for a vacant duty, or under a term that is too low, is lost on its first refusal.
func (d *duty) stillWinnable(from string, refusal Message, roster []string) bool {
	if !d.challenging || max(refusal.Term, refusal.UsedTerm) > d.term {
		return false
	}
	d.refusedBy[from] = true
	return len(roster)-len(d.refusedBy) > len(roster)/2
}

// StandbyRank returns this control node's rank among the deputies of a duty's holder: the number of live
// nodes of the roster that take over before it, not counting the holder. ok is false if this node is not
// in the roster.
func (e *Elector) StandbyRank(now time.Duration, name string) (rank int, ok bool) {
	roster := e.cfg.Roster()
	holder, _, _ := e.Holder(now, name)
	for _, id := range rendezvous.Order(name, roster) {
		if id == e.cfg.Self {
			return rank, true
		}
		if id != holder && e.cfg.Alive(id) {
			rank++
		}
	}
	return rank, false
}
