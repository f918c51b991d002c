package replication

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

// Config is the configuration of a member. The driver derives the durations from the bounds in
// the settings.
type Config struct {
	Self              string        // the member's address
	RunID             uint64        // unique to each run of the process
	Identity          uint64        // for a disk that has none yet; unique to each disk
	Seeds             []string      // sorted
	Bootstrap         bool          // take part in the bootstrap of a new system if the disk is empty
	Empty             bool          // the disk held nothing, or nothing readable
	Partitions        []string      // partitions that exist from the start, besides the voter set
	HeartbeatInterval time.Duration // between an owner's heartbeats
	ElectionTimeout   time.Duration // silence of an owner after which its partition is taken over
	ProposalTimeout   time.Duration // how long a proposal may wait
	// TransferBackDelay is how long everything must be stable before a partition goes back to its first
	// successor; 0: never.
	TransferBackDelay   time.Duration
	Alive               func(address string) bool // whether the process at an address seems alive
	FreshnessPartitions []string                  // partitions whose members must know how fresh their copy is
	// FreshnessPrefix is the prefix of further such partitions, which are created on demand; empty:
	// there are none.
	FreshnessPrefix string

	Faults int                         // how many members may be lost at once with all guarantees kept
	Left   func(address string) bool   // the process at an address has announced that it left; nil: never known
	Peers  func() []string             // known control nodes, for a member that is not a voter; nil: none
	Zone   func(address string) string // zone of an address; nil or empty: not known
}

// Effects is what a member asks its driver to do.
type Effects struct {
	Send      []Envelope
	Writes    []Write
	Rewrite   bool     // the last write failed: write the whole state
	Committed []string // partitions with a newer committed copy
	// Changed holds, by partition, the records committed since the last call of Take. A nil entry
	// means that they are not known: any record may have changed.
	Changed map[string][]Record
	Notes   []string // messages for the log
}

type role int

const (
	roleFollower role = iota
	roleCandidate
	roleOwner
)

// partition is this member's copy of a partition and its role for that partition.
type partition struct {
	name     string
	promised Epoch    // the newest epoch that this member has promised to follow
	position Position // of the copy
	*antientropy.Set
	commit Position // the newest position known to be committed
	// lastContact is the start of the election timeout: the last contact with an owner or candidate, or the
	// end of this member's own role.
	lastContact  time.Duration
	hadContact   bool          // lastContact is set
	ownerContact time.Duration // when the owner was last heard from
	hasOwner     bool          // an owner has been heard from since the last vote for another member

	// undo holds the earlier versions of the records changed since commit; nil for a record
	// that did not exist. The map is nil if they are not known.
	undo map[string]*Record
	log  entryLog // the newest log entries, for members that lag behind

	role             role
	preVote          bool                     // in a candidate: only a pre-vote so far
	ownEpoch         Epoch                    // as candidate or owner
	maxSeenEpoch     uint64                   // highest epoch number that other members have requested votes for
	roleSince        time.Duration            // when the pre-vote, campaign or ownership began
	votesRequestedAt time.Duration            // when votes were last requested
	votes            map[string]*Vote         // granted votes, by member
	acks             map[string]Position      // durable copies under ownEpoch, by member
	ackedAt          map[string]time.Duration // when each member last answered under ownEpoch
	confirmedRounds  map[string]uint64        // by member: the newest round in which it confirmed ownEpoch
	quorumAt         time.Duration            // when a quorum last confirmed ownEpoch
	waiters          []waiter
	queue            []proposal
	noElectionUntil  time.Duration
	stableSince      time.Duration                // since when the conditions for transferring the partition back hold
	outgoing         map[string]*outgoingSnapshot // snapshots being sent, by member
	lastCatchUp      map[string]catchUpSent       // the last changes sent to members that lag behind, by member
	incoming         *incomingSnapshot            // snapshot being received

	trackFreshness   bool                     // members must know how fresh their copy is
	confirmedAt      time.Duration            // as of then, no other member could have committed anything
	freshAsOf        time.Duration            // as of then, a follower's committed copy was the newest; 0: not known
	ownerSince       time.Duration            // when this member became owner
	firstRound       uint64                   // the first round begun since then
	lastConfirmSent  time.Duration            // when this member last confirmed an epoch, as a follower or as the owner
	predecessorUntil time.Duration            // no earlier owner was confirmed later than this
	voterConfirmedAt map[string]time.Duration // in a candidate, by voter: when it last confirmed another epoch
	successorsFor    *voterSet                // the voter set that successorList was computed for
	successorList    []string
	inherited        bool          // there were records when this member became owner
	knownSince       time.Duration // when this member first heard of the partition
}

// Replica is the state machine of one member.
type Replica struct {
	cfg            Config
	self           string // its identity: see idOf
	identity       uint64
	partitions     map[string]*partition
	names          []string // of all partitions, sorted
	bootstrapped   bool     // a voter set is committed, or all initial members hold the initial one
	now            time.Duration
	effects        Effects   // since the last call of Take
	cachedVoterSet *voterSet // the current voter set; nil: to be computed again

	lastWrite    uint64              // ID of the newest write
	onDurable    map[uint64][]func() // by write ID: what to call once it is durable
	firstPending uint64              // lowest ID of a write that is not durable yet
	pendingSince time.Duration       // when the oldest pending write began to wait for the disk

	nextJoinAt      time.Duration
	nextBootstrapAt time.Duration
	seedIDs         map[string]string // by address: identities of the seeds that have answered
	bootstrapAcks   map[string]bool   // addresses of members that hold the initial voter set
	relays          map[string]string // seeds without a disk, and the member that each appoints
	passive         map[string]bool   // seeds that may not propose the initial voter set
	// firstSeeds are the seeds of the system's first start, if this member took part in it; see
	// bootstrap.go.
	firstSeeds []string
	leaving    bool
	started    bool
	startedAt  time.Duration
	runIDs     map[string]uint64 // by identity: the process run (Message.RunID) last heard from
	// voterSetAnsweredAt is, by identity, when the newest round of the voter set that the member has answered
	// was sent.
	voterSetAnsweredAt map[string]time.Duration
	lastIdentity       map[string]string          // by address: the identity last heard from
	learners           map[string]time.Duration   // identities that ask to become voters, and when they last did
	leavers            map[string]time.Duration   // identities that are leaving, and when they last said so
	probeAcks          map[string]map[string]bool // by address: the partitions that have an owner
	survey             *survey
	surveyRound        uint64 // number of the newest survey round

	heartbeats  heartbeatState
	peers       map[string]*peer      // by address
	clockEchoes map[string]clockEcho  // by identity: clock readings to echo to members
	ownerLists  map[string]*ownerList // by address: lists received in owners' heartbeats
}

// NewReplica creates a member from the contents of its disk.
func NewReplica(cfg Config, disk map[string][]byte) (*Replica, error) {
	m := &Replica{cfg: cfg, partitions: map[string]*partition{}, onDurable: map[uint64][]func(){}, firstPending: 1,
		seedIDs: map[string]string{}, bootstrapAcks: map[string]bool{}, relays: map[string]string{}, passive: map[string]bool{},
		runIDs: map[string]uint64{}, voterSetAnsweredAt: map[string]time.Duration{}, lastIdentity: map[string]string{},
		learners: map[string]time.Duration{}, leavers: map[string]time.Duration{}, probeAcks: map[string]map[string]bool{},
		heartbeats: newHeartbeatState(), peers: map[string]*peer{}, clockEchoes: map[string]clockEcho{}, ownerLists: map[string]*ownerList{}}
	for _, name := range append([]string{VoterSetPartition}, cfg.Partitions...) {
		m.partition(name)
	}
	for _, name := range cfg.FreshnessPartitions {
		m.partition(name).trackFreshness = true
	}
	for entryKey, value := range disk {
		var err error
		switch {
		case entryKey == nodeEntryKey:
			var node nodeValue
			err = cbor.Unmarshal(value, &node)
			m.bootstrapped, m.identity, m.firstSeeds = node.Bootstrapped, node.Identity, node.FirstSeeds
		case len(entryKey) > len(metaPrefix) && entryKey[:len(metaPrefix)] == metaPrefix:
			var meta metaValue
			err = cbor.Unmarshal(value, &meta)
			part := m.partition(entryKey[len(metaPrefix):])
			part.promised, part.position, part.commit = meta.Promised, meta.At, meta.Commit
		case len(entryKey) > len(recordPrefix) && entryKey[:len(recordPrefix)] == recordPrefix:
			var r storedRecord
			if err = cbor.Unmarshal(value, &r); err == nil {
				m.partition(r.Partition).Put(r.Record)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if m.identity == 0 {
		// The first use of this disk. Batches become durable in order, so no message that asserts
		// a durable state is sent before the identity is durable.
		m.identity = cfg.Identity
		if cfg.Bootstrap && cfg.Empty {
			m.firstSeeds = cfg.Seeds
		}
		m.write([]storageEntry{m.nodeEntry()}, nil)
	}
	m.self = idOf(cfg.Self, m.identity)
	return m, nil
}

// partition returns this member's copy of a partition, and creates it if the partition is new.
func (m *Replica) partition(name string) *partition {
	part := m.partitions[name]
	if part == nil {
		part = &partition{name: name, Set: antientropy.NewSet(), knownSince: m.now}
		part.trackFreshness = m.cfg.FreshnessPrefix != "" && strings.HasPrefix(name, m.cfg.FreshnessPrefix)
		m.partitions[name] = part
		m.names = append(m.names, name)
		sort.Strings(m.names)
	}
	return part
}

// Take returns the effects since the last call.
func (m *Replica) Take() Effects {
	m.flushHeartbeats()
	effects := m.effects
	m.effects = Effects{}
	return effects
}

func (m *Replica) send(to string, msg Message) {
	msg.RunID, msg.Identity, msg.Protocol = m.cfg.RunID, m.identity, protocolHeartbeat
	m.effects.Send = append(m.effects.Send, Envelope{to, msg})
}

func (m *Replica) note(text string) { m.effects.Notes = append(m.effects.Notes, text) }

// idOf returns a member's identity: its address and the identity of its disk. A machine that
// has lost its disk is another member at the same address.
func idOf(address string, identity uint64) string {
	if identity == 0 {
		return address // of a version without identities
	}
	return address + "/" + strconv.FormatUint(identity, 16)
}

// Handle processes a message.
func (m *Replica) Handle(now time.Duration, from string, msg Message) {
	m.now = now
	id := idOf(from, msg.Identity)
	m.runIDs[id], m.lastIdentity[from] = msg.RunID, id
	m.notePeer(from, id, msg)
	if msg.Body != nil {
		msg.Body.handle(m, sender{from, id, msg.RunID})
	}
}

// Tick advances the time and does what is due.
func (m *Replica) Tick(now time.Duration) {
	m.now = now
	if !m.started {
		m.started, m.startedAt = true, now
	}
	m.tickBootstrap()
	if !m.mayOwn() {
		m.requestJoin()
	}
	if m.leaving {
		m.tickLeaving()
	}
	if !m.mayOwn() {
		m.resign()
	}
	if !m.isVoter() {
		return
	}
	if now-m.startedAt < 2*m.cfg.HeartbeatInterval {
		for _, to := range m.others() {
			m.send(to, Message{Body: &Probe{}})
		}
	}
	diskStalled := m.firstPending <= m.lastWrite && now-m.pendingSince > m.cfg.ElectionTimeout/2
	heartbeatDue, alone := now-m.heartbeats.lastFullAt >= m.cfg.HeartbeatInterval, m.decidesAlone()
	m.expireLists()
	for _, name := range m.names {
		part := m.partitions[name]
		m.expireWaiters(part)
		switch part.role {
		case roleOwner:
			if now-part.quorumAt > m.cfg.ElectionTimeout || diskStalled {
				// This owner is cut off, was suspended for a while, or its disk doesn't respond.
				if diskStalled {
					m.transfer(part)
				}
				m.becomeFollower(part, ErrNoQuorum)
				part.noElectionUntil = now + m.cfg.ElectionTimeout
			} else if heartbeatDue {
				m.heartbeats.dueAll = true
				if alone {
					m.advanceCommit(part) // no acknowledgement will arrive to confirm the epoch
				}
				m.transferBack(part)
			}
		case roleCandidate:
			if part.preVote && now-part.roleSince > m.cfg.HeartbeatInterval || now-part.roleSince > m.cfg.ElectionTimeout {
				m.becomeFollower(part, ErrNoQuorum)
				part.noElectionUntil = now + m.cfg.HeartbeatInterval*time.Duration(1+m.rankAmongLive(part))/2
			} else if part.votes[m.self] != nil && now-part.votesRequestedAt >= m.cfg.HeartbeatInterval/4 {
				m.requestVotes(part) // a request or a vote may have been lost
			}
		case roleFollower:
			if part.hadContact && now-part.lastContact <= m.cfg.ElectionTimeout {
				continue
			}
			wait := m.cfg.ElectionTimeout + time.Duration(m.rankAmongLive(part))*m.cfg.ElectionTimeout/2
			since := part.lastContact
			if !part.hadContact {
				// Just started: give an existing owner time to make itself known.
				wait = m.cfg.HeartbeatInterval + m.cfg.HeartbeatInterval/2 + time.Duration(m.rankAmongAll(part.name))*m.cfg.ElectionTimeout/4
				since = m.startedAt
				if part.knownSince > m.startedAt {
					// The partition was created after this member started. It has no owner yet, or one that
					// this member has not heard of and that will make itself known.
					wait = time.Duration(m.rankAmongAll(part.name)) * m.cfg.ElectionTimeout / 4
					since = part.knownSince
				}
				if m.probesFoundNoOwner(name) {
					wait = 0
				}
			}
			if !diskStalled && now-since > wait {
				m.startElection(part, false)
			}
		}
	}
	m.tickVoterSetChange()
}
