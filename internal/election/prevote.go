package election

// This file decides when a control node campaigns for a role: when the role is vacant, or when the
// holder's results are too old. Before it campaigns it asks for pre-votes, as in Raft.

import (
	"time"

	"madderwing/internal/rendezvous"
)

// Progress tells how recent the results of a role are at one control node, by that node's clock. A
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

// preVote is the state of a control node's pre-vote, which asks whether the others would vote for it. The
// replies are not binding, so a single node that misses the holder's messages or results does not
// disrupt the holder.
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
func (e *Elector) preVoteIfDue(now time.Duration, role *role, voters []string) {
	if !e.mayCampaign(now, role, voters) {
		role.preVote.active = false
		return
	}
	preVote := &role.preVote
	if preVote.active && now-preVote.requestedAt < e.cfg.Lease/8 {
		return
	}
	preVote.active, preVote.requestedAt, preVote.term, preVote.votes = true, now, role.nextTerm(), map[string]bool{e.cfg.Self: true}
	request := Message{Role: role.name, Term: preVote.term, RunID: e.cfg.RunID, PreVote: true, Result: e.challengeResult(now, role)}
	for _, id := range voters {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, request})
		}
	}
	e.countPreVotes(now, role, voters)
}

// mayCampaign reports whether the role is vacant, or this control node's result is newer than the
// holder's. Nodes of higher rank wait longer, so that few campaign at the same time.
func (e *Elector) mayCampaign(now time.Duration, role *role, voters []string) bool {
	if now >= max(role.voteExpires, e.startedAt)+time.Duration(e.rank(role, voters))*e.cfg.Lease/8 {
		return true
	}
	rank, ok := e.StandbyRank(now, role.name)
	ahead := ok && e.challengeResult(now, role) != nil
	if ahead && !role.preVote.ahead {
		role.preVote.aheadSince = now
	}
	role.preVote.ahead = ahead
	voteSettled := role.votedSince + e.cfg.Lease/4
	return ahead && now >= max(role.preVote.aheadSince, voteSettled)+time.Duration(rank)*e.cfg.Lease/16
}

// ResultUpdated is called when this control node has produced a newer result of a role. It asks for
// pre-votes at once if they are due, without waiting for the next Tick.
func (e *Elector) ResultUpdated(now time.Duration, name string) {
	if role := e.role(name); role != nil && !role.holding && !role.campaigning && !e.leaving && now >= role.retryAt {
		e.preVoteIfDue(now, role, e.cfg.Voters())
	}
}

// challengeResult returns this control node's result as described to voters, or nil if it is not far
// enough ahead of the holder's for a challenge.
func (e *Elector) challengeResult(now time.Duration, role *role) *Result {
	if e.cfg.Progress == nil || role.holding {
		return nil
	}
	progress := e.cfg.Progress(now, role.name)
	if !progress.ownAhead() {
		return nil
	}
	return &Result{Age: now - progress.Own}
}

// acceptsChallenge reports whether this control node may move its vote from the holder to a candidate:
// the candidate's result must be newer, by more than the limit, than the one known here, and the vote
// must not have moved for a quarter of a lease.
func (e *Elector) acceptsChallenge(now time.Duration, role *role, request Message) bool {
	if request.Result == nil || e.cfg.Progress == nil || now < role.votedSince+e.cfg.Lease/4 {
		return false
	}
	progress := e.cfg.Progress(now, role.name)
	return Progress{Known: progress.Known, Own: now - request.Result.Age, Limit: progress.Limit}.ownAhead()
}

// Transfer records that this control node moved its vote for a role from a holder with outdated results
// to a challenger.
type Transfer struct {
	Role, From, To string
	ResultAge      time.Duration
	at             time.Duration
}

// recordTransfer records that the vote moves from the current holder to a candidate.
func (e *Elector) recordTransfer(now time.Duration, role *role, candidate string) {
	role.lastTransfer = &Transfer{Role: role.name, From: role.votedFor, To: candidate, ResultAge: e.resultAge(now, role), at: now}
	e.transfers = append(e.transfers, *role.lastTransfer)
}

// DrainTransfers returns the transfers since the last call.
func (e *Elector) DrainTransfers() []Transfer {
	transfers := e.transfers
	e.transfers = nil
	return transfers
}

// resultAge returns the age of the newest result of a role that this control node knows of.
func (e *Elector) resultAge(now time.Duration, role *role) time.Duration {
	if e.cfg.Progress == nil {
		return 0
	}
	return (now - e.cfg.Progress(now, role.name).Known).Round(time.Millisecond)
}

// countPreVotes starts the campaign once a majority would vote for this control node.
func (e *Elector) countPreVotes(now time.Duration, role *role, voters []string) {
	if majority(role.preVote.votes, voters) {
		role.preVote.active = false
		e.campaign(now, role, role.preVote.term, e.challengeResult(now, role), voters)
	}
}

// handlePreVoteReply handles a reply to a pre-vote request, and a late reply to a vote request of a
// campaign that is over.
func (e *Elector) handlePreVoteReply(now time.Duration, role *role, from string, reply Message) {
	if !role.preVote.active || reply.Term < role.preVote.term || role.campaigning || role.holding {
		return
	}
	if !reply.Granted {
		role.usedTerm = max(role.usedTerm, reply.UsedTerm)
		if reply.Term > role.preVote.term {
			role.minTerm = max(role.minTerm, reply.Term)
		}
		return
	}
	role.preVote.votes[from] = true
	e.countPreVotes(now, role, e.cfg.Voters())
}

// stillWinnable records a refusal and reports whether a challenge can still win a majority. A campaign
// for a vacant role, or under a term that is too low, is lost on its first refusal.
func (r *role) stillWinnable(from string, refusal Message, voters []string) bool {
	if !r.challenging || max(refusal.Term, refusal.UsedTerm) > r.term {
		return false
	}
	r.refusedBy[from] = true
	return len(voters)-len(r.refusedBy) > len(voters)/2
}

// StandbyRank returns this control node's rank among the standbys of a role: the number of live voters
// that take over before it, not counting the holder. ok is false if this node is not a voter.
func (e *Elector) StandbyRank(now time.Duration, name string) (rank int, ok bool) {
	voters := e.cfg.Voters()
	holder, _, _ := e.Holder(now, name)
	for _, id := range rendezvous.Order(name, voters) {
		if id == e.cfg.Self {
			return rank, true
		}
		if id != holder && e.cfg.Alive(id) {
			rank++
		}
	}
	return rank, false
}
