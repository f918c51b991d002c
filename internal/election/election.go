// Package election assigns each role (a background task that one control node does for all) to one
// control node. A vacant role is won by a majority of votes. Votes are leases: the holder keeps the role
// while a majority renews its votes, and until a majority finds another node's result of the role newer
// than what it has received from the holder (see prevote.go). Two holders at the same time cannot
// corrupt stored data, since the places that results are written to reject outdated ones; they only
// double the work.
package election

import (
	"sort"
	"time"

	"madderwing/internal/rendezvous"
)

// Message is a request for a vote or pre-vote, a reply to one, or a resignation.
type Message struct {
	Role     string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`           // in a refusal: the sender's role.minTerm, if that is higher
	Reply    bool   `cbor:"3,keyasint,omitempty"` // this is a reply to a request
	Granted  bool   `cbor:"4,keyasint,omitempty"` // in a reply: the vote is granted
	Resign   bool   `cbor:"5,keyasint,omitempty"` // the sender releases the receiver's vote for it
	UsedTerm uint64 `cbor:"6,keyasint,omitempty"` // in a reply: the sender's role.usedTerm
	RunID    uint64 `cbor:"7,keyasint,omitempty"` // identifies the run of the candidate's process

	PreVote bool    `cbor:"8,keyasint,omitempty"` // a pre-vote request, or a reply to one
	Result  *Result `cbor:"9,keyasint,omitempty"` // set if the candidate challenges a holder
}

// Envelope is a message with its recipient.
type Envelope struct {
	To  string
	Msg Message
}

// Config configures an Elector.
type Config struct {
	Self   string
	RunID  uint64 // identifies this run of the process
	Roles  []string
	Lease  time.Duration     // how long a vote is valid
	Voters func() []string   // the control nodes that vote
	Alive  func(string) bool // whether a control node is not known to have failed
	// Progress tells how recent the results of a role are; if nil, holders are never challenged.
	Progress func(now time.Duration, role string) Progress
}

// role is the state of one role at this control node.
type role struct {
	name     string
	minTerm  uint64 // lower terms get no vote and are not campaigned under
	usedTerm uint64 // terms up to this one were held by others; a holder under one must take a higher one

	// The vote that this control node has granted.
	votedFor    string
	votedTerm   uint64
	votedRunID  uint64
	voteExpires time.Duration
	votedSince  time.Duration // when the vote last moved to another node

	// This control node as holder or candidate.
	holding     bool
	term        uint64
	heldUntil   time.Duration
	requestedAt time.Duration // when votes were last requested
	campaigning bool          // votes are requested, for the first time or as a renewal
	votes       map[string]bool
	challenging bool            // the campaign is against a holder, so single refusals do not end it
	refusedBy   map[string]bool // in a challenge

	retryAt      time.Duration // earliest next campaign after a lost one
	preVote      preVote
	lastTransfer *Transfer // the last transfer that this control node voted for
}

// Elector takes part in the elections of all roles for one control node. It does no I/O: callers pass
// in the time and received messages, and send what Take returns. It is not safe for concurrent use.
type Elector struct {
	cfg          Config
	roles        []*role
	outbox       []Envelope
	changedRoles []string
	transfers    []Transfer
	leaving      bool
	startedAt    time.Duration
	started      bool
}

// New returns an Elector for which all roles are vacant.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg}
	for _, r := range cfg.Roles {
		e.roles = append(e.roles, &role{name: r})
	}
	return e
}

func (e *Elector) role(name string) *role {
	for _, r := range e.roles {
		if r.name == name {
			return r
		}
	}
	return nil
}

// Take returns the messages to send, and the names of the roles won or lost since the last call.
func (e *Elector) Take() ([]Envelope, []string) {
	messages, changedRoles := e.outbox, e.changedRoles
	e.outbox, e.changedRoles = nil, nil
	return messages, changedRoles
}

// Holds reports whether this control node holds a role, and under which term.
func (e *Elector) Holds(now time.Duration, name string) (uint64, bool) {
	role := e.role(name)
	if role == nil {
		return 0, false
	}
	return role.term, role.holding && now < role.heldUntil
}

// Holder returns the control node that has this node's vote, the term of the vote, and the identifier
// of the holder's process run; zero values if there is no valid vote.
func (e *Elector) Holder(now time.Duration, name string) (id string, term, runID uint64) {
	role := e.role(name)
	if role == nil || now >= role.voteExpires {
		return "", 0, 0
	}
	return role.votedFor, role.votedTerm, role.votedRunID
}

// RaiseUsedTerm reports that terms up to usedTerm were held by another node before the control nodes lost
// their in-memory state. A node that holds the role under one of these terms has to take a higher one.
func (e *Elector) RaiseUsedTerm(name string, usedTerm uint64) {
	if role := e.role(name); role != nil {
		role.usedTerm = max(role.usedTerm, usedTerm)
	}
}

// Tick expires and renews leases, and starts, continues or abandons campaigns, as due at the given time.
func (e *Elector) Tick(now time.Duration) {
	if !e.started {
		e.started, e.startedAt = true, now
	}
	voters := e.cfg.Voters()
	if len(voters) == 0 || e.leaving {
		return
	}
	for _, role := range e.roles {
		if role.holding && now >= role.heldUntil {
			e.loseRole(role)
		}
		if role.holding && (role.term < role.minTerm || role.term <= role.usedTerm) {
			e.campaign(now, role, max(role.minTerm, role.usedTerm)+1, nil, voters)
			continue
		}
		switch {
		case role.holding:
			if now-role.requestedAt >= e.cfg.Lease/3 {
				e.campaign(now, role, role.term, nil, voters)
			}
		case role.campaigning && now-role.requestedAt < e.cfg.Lease/2:
			// Repeat the request: some voters may have started only now.
			request := Message{Role: role.name, Term: role.term, RunID: e.cfg.RunID}
			if role.challenging {
				request.Result = e.challengeResult(now, role)
			}
			for _, id := range voters {
				if !role.votes[id] {
					e.outbox = append(e.outbox, Envelope{id, request})
				}
			}
		case role.campaigning:
			e.abandonCampaign(now, role, voters)
		case now >= role.retryAt:
			e.preVoteIfDue(now, role, voters)
		}
	}
}

// abandonCampaign ends a campaign that was not won and releases its votes, so that two candidates do
// not block each other.
func (e *Elector) abandonCampaign(now time.Duration, role *role, voters []string) {
	if !role.campaigning {
		return
	}
	role.retryAt = now + e.cfg.Lease/8*time.Duration(1+e.rank(role, voters))
	e.releaseVotes(now, role, voters)
}

// releaseVotes releases the votes for this control node. Nodes that have not replied yet are notified too:
// their votes may be in transit and would otherwise bind them for a whole lease.
func (e *Elector) releaseVotes(now time.Duration, role *role, voters []string) {
	role.campaigning = false
	if role.votedFor == e.cfg.Self {
		role.voteExpires = now
	}
	for _, id := range voters {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, Message{Role: role.name, Resign: true}})
		}
	}
}

// nextTerm returns a term above all that this control node knows of.
func (r *role) nextTerm() uint64 { return max(r.minTerm, r.usedTerm, r.votedTerm, r.term) + 1 }

// rank returns how many live voters come before this control node in the rendezvous order of a role; for a
// node that is not a voter it is one more than the number of live voters.
func (e *Elector) rank(role *role, voters []string) int {
	rank := 0
	for _, id := range rendezvous.Order(role.name, voters) {
		if id == e.cfg.Self {
			return rank
		}
		if e.cfg.Alive(id) {
			rank++
		}
	}
	return rank + 1
}

// campaign requests votes under a term, to win a role or to renew the lease on it. With a result, it
// challenges the current holder.
func (e *Elector) campaign(now time.Duration, role *role, term uint64, result *Result, voters []string) {
	role.requestedAt, role.campaigning = now, true
	role.challenging, role.refusedBy = result != nil, map[string]bool{}
	if term != role.term && role.holding {
		e.loseRole(role)
	}
	role.term = term
	role.votes = map[string]bool{}
	request := Message{Role: role.name, Term: term, RunID: e.cfg.RunID, Result: result}
	if !e.grantVote(now, role, e.cfg.Self, request) {
		role.campaigning = false
		return
	}
	role.votes[e.cfg.Self] = true
	for _, id := range voters {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, request})
		}
	}
	e.countVotes(role, voters)
}

// mayGrantVote reports whether this control node may vote for a candidate: its vote is free or already
// the candidate's, or the candidate's challenge is accepted.
func (e *Elector) mayGrantVote(now time.Duration, role *role, candidate string, request Message) bool {
	if request.Term < role.minTerm || request.Term <= role.usedTerm {
		return false
	}
	if now >= role.voteExpires {
		return true
	}
	if role.votedFor != candidate {
		return e.acceptsChallenge(now, role, request)
	}
	return request.Term >= role.votedTerm
}

// grantVote votes for a candidate if mayGrantVote allows it, and reports whether it did.
func (e *Elector) grantVote(now time.Duration, role *role, candidate string, request Message) bool {
	if !e.mayGrantVote(now, role, candidate, request) {
		return false
	}
	if now < role.voteExpires && role.votedFor != candidate {
		e.recordTransfer(now, role, candidate)
	}
	if role.votedFor != candidate {
		role.votedSince = now
	}
	role.votedFor, role.votedTerm, role.votedRunID, role.voteExpires = candidate, request.Term, request.RunID, now+e.cfg.Lease
	role.minTerm = max(role.minTerm, request.Term)
	if role.holding && candidate != e.cfg.Self {
		e.loseRole(role)
	}
	return true
}

// Handle processes a message from another control node.
func (e *Elector) Handle(now time.Duration, from string, message Message) {
	role := e.role(message.Role)
	if role == nil {
		return
	}
	switch {
	case message.Resign:
		if role.votedFor == from {
			role.voteExpires = now
		}
	case message.Reply && (message.PreVote || !role.campaigning && !role.holding):
		e.handlePreVoteReply(now, role, from, message)
	case message.Reply:
		if message.Granted && (message.Term != role.term || !role.campaigning) {
			return
		}
		if message.Granted {
			role.votes[from] = true
			e.countVotes(role, e.cfg.Voters())
			return
		}
		role.minTerm, role.usedTerm = max(role.minTerm, message.Term), max(role.usedTerm, message.UsedTerm)
		voters := e.cfg.Voters()
		if !role.holding && !role.stillWinnable(from, message, voters) {
			e.abandonCampaign(now, role, voters)
		}
	default:
		ok := message.PreVote && e.mayGrantVote(now, role, from, message) || !message.PreVote && e.grantVote(now, role, from, message)
		term := message.Term
		if !ok && role.minTerm > message.Term {
			term = role.minTerm
		}
		e.outbox = append(e.outbox, Envelope{from, Message{Role: message.Role, Term: term, Reply: true, Granted: ok, PreVote: message.PreVote, UsedTerm: role.usedTerm}})
	}
}

// countVotes takes or renews the lease on a role once a majority has voted for this control node.
func (e *Elector) countVotes(role *role, voters []string) {
	if !majority(role.votes, voters) {
		return
	}
	// The lease counts from the request, so it ends before the votes expire.
	role.heldUntil = role.requestedAt + e.cfg.Lease
	if !role.holding {
		role.holding = true
		e.changedRoles = append(e.changedRoles, role.name)
	}
}

// majority reports whether more than half of the voters have voted.
func majority(votes map[string]bool, voters []string) bool {
	count := 0
	for _, id := range voters {
		if votes[id] {
			count++
		}
	}
	return count > len(voters)/2
}

func (e *Elector) loseRole(role *role) {
	role.holding = false
	e.changedRoles = append(e.changedRoles, role.name)
}

// Leave resigns from all roles and ends campaigning for good.
func (e *Elector) Leave(now time.Duration) {
	e.leaving = true
	for _, role := range e.roles {
		e.resign(now, role)
	}
}

// resign resigns from a role and releases the votes for this control node.
func (e *Elector) resign(now time.Duration, role *role) {
	if role.holding {
		e.loseRole(role)
	}
	e.releaseVotes(now, role, e.cfg.Voters())
}

// State is the state of one role in status output.
type State struct {
	Role   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// ResultAgeS is the age of the newest result that this control node knows of.
	ResultAgeS float64        `json:"resultAgeS"`
	Transfer   *TransferState `json:"handedOn,omitempty"`
}

// TransferState is the last transfer of a role in status output.
type TransferState struct {
	From       string  `json:"from"`
	ResultAgeS float64 `json:"resultAgeS"` // age of the old holder's result at the transfer
	AgoS       float64 `json:"agoS"`       // time since the transfer
}

// States returns the states of all roles, sorted by name.
func (e *Elector) States(now time.Duration) (states []State) {
	for _, role := range e.roles {
		holder, term, _ := e.Holder(now, role.name)
		state := State{Role: role.name, Holder: holder, Term: term, ResultAgeS: e.resultAge(now, role).Seconds()}
		if transfer := role.lastTransfer; transfer != nil {
			state.Transfer = &TransferState{transfer.From, transfer.ResultAge.Seconds(), (now - transfer.at).Round(time.Millisecond).Seconds()}
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Role < states[j].Role })
	return states
}
