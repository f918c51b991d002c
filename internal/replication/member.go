package replication

import (
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
	"madderwing/internal/ledger"
	"madderwing/internal/rendezvous"
)

// Config is what a member is told. The times are ratios to the settings'
// bounds, worked out by the driver.
type Config struct {
	Self      string
	Life      uint64   // differs between any two lives of any processes
	Seeds     []string // sorted
	Bootstrap bool
	Empty     bool // the disk held nothing, or nothing that could be read
	Keys      []string
	Beat      time.Duration // between signs of life of an owner
	Vacant    time.Duration // silence after which a key is taken over
	Patience  time.Duration // how long a proposal may wait
	HandBack  time.Duration // calm after which a key goes back to its first heir; 0: never
	Alive     func(id string) bool
	Sure      []string // keys of which members must know how old their copy is
}

// Write is a batch that the driver has to make durable, in order.
type Write struct {
	ID      uint64
	Entries []ledger.Entry
}

// Effects is what a member asks its driver to do.
type Effects struct {
	Send      []Envelope
	Writes    []Write
	Rewrite   bool     // the last write failed: write the whole state
	Committed []string // keys with a newer committed copy
}

type role int

const (
	follows role = iota
	asks
	owns
)

type key struct {
	name     string
	promised Epoch
	at       Position
	*antientropy.Set
	commit   Position
	heard    time.Duration
	heardAny bool

	role     role
	mine     Epoch
	since    time.Duration
	promises map[string]*Promise
	acks     map[string]Position // durable copies in my epoch
	seen     map[string]time.Duration
	rounds   map[string]uint64
	round    uint64
	sentAt   map[uint64]time.Duration
	agreed   time.Duration // when a quorum last answered in my epoch
	beatAt   time.Duration
	waiters  []waiter
	queue    []proposal
	notUntil time.Duration
	calmFrom time.Duration
	oldNeed  map[string]bool // the roster before a change that is not committed

	wanted  bool            // members must know how old their copy is
	marks   map[string]mark // what members want echoed
	sure    time.Duration   // at that time no other could have committed anything
	current time.Duration   // the same, as a member that follows knows it; 0: not
	took    time.Duration   // when this member became owner
	spoke   time.Duration   // when this member last confirmed an epoch, as a follower or as owner
	free    time.Duration   // until when at the latest another owner was sure of itself
	frees   map[string]time.Duration
	heir    bool          // there were records when it did
	born    time.Duration // when this member first heard of the key
}

// mark is a member's own clock as it came, and when.
type mark struct {
	life uint64
	at   time.Duration
	came time.Duration
}

// proposal is a change, or a question with no change, that waits for the one
// before it.
type proposal struct {
	fn    func(map[string]Record) ([]Record, error)
	until time.Duration
	done  func(error)
}

type waiter struct {
	seq   uint64
	round uint64
	until time.Duration
	done  func(error)
}

// Member is one node's part in keeping the control state.
type Member struct {
	cfg     Config
	keys    map[string]*key
	names   []string
	voting  bool
	founded bool
	now     time.Duration
	fx      Effects

	nextWrite uint64
	after     map[uint64][]func()
	firstOpen uint64
	openSince time.Duration

	fetchRound uint64
	fetched    map[string]*Fetched
	fetchAt    time.Duration
	foundAt    time.Duration
	foundAcks  map[string]bool
	leaving    bool
	began      bool
	beganAt    time.Duration
	lives      map[string]uint64 // the newest life of each member
	dead       map[string]uint64 // a life whose word no longer counts
	hailed     map[string]map[string]bool
}

type metaValue struct {
	Promised Epoch    `cbor:"1,keyasint"`
	At       Position `cbor:"2,keyasint"`
	Commit   Position `cbor:"3,keyasint"`
}

type nodeValue struct {
	Voting  bool `cbor:"1,keyasint"`
	Founded bool `cbor:"2,keyasint"`
}

const (
	nodeEntry  = "node"
	metaPrefix = "meta/"
	recPrefix  = "record/"
)

// NewMember makes a member from what its disk held.
func NewMember(cfg Config, disk map[string][]byte) (*Member, error) {
	m := &Member{cfg: cfg, keys: map[string]*key{}, after: map[uint64][]func(){}, firstOpen: 1, foundAcks: map[string]bool{},
		lives: map[string]uint64{}, dead: map[string]uint64{}, hailed: map[string]map[string]bool{}}
	for _, name := range append([]string{RosterKey}, cfg.Keys...) {
		m.key(name)
	}
	for _, name := range cfg.Sure {
		m.key(name).wanted = true
	}
	for k, v := range disk {
		var err error
		switch {
		case k == nodeEntry:
			var n nodeValue
			err = cbor.Unmarshal(v, &n)
			m.voting, m.founded = n.Voting, n.Founded
		case len(k) > len(metaPrefix) && k[:len(metaPrefix)] == metaPrefix:
			var mv metaValue
			err = cbor.Unmarshal(v, &mv)
			kk := m.key(k[len(metaPrefix):])
			kk.promised, kk.at, kk.commit = mv.Promised, mv.At, mv.Commit
		case len(k) > len(recPrefix) && k[:len(recPrefix)] == recPrefix:
			var r storedRecord
			if err = cbor.Unmarshal(v, &r); err == nil {
				m.key(r.Key).Put(r.Record)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

type storedRecord struct {
	Key    string `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

func (m *Member) key(name string) *key {
	k := m.keys[name]
	if k == nil {
		k = &key{name: name, Set: antientropy.NewSet(), born: m.now}
		m.keys[name] = k
		m.names = append(m.names, name)
		sort.Strings(m.names)
	}
	return k
}

// Take returns what is to be done since the last call.
func (m *Member) Take() Effects {
	fx := m.fx
	m.fx = Effects{}
	return fx
}

// Roster lists the members that this one knows of.
func (m *Member) Roster() []string {
	var out []string
	for name, r := range m.keys[RosterKey].Records {
		if !r.Dropped {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (m *Member) others() []string {
	var out []string
	for _, id := range m.Roster() {
		if id != m.cfg.Self {
			out = append(out, id)
		}
	}
	return out
}

func majority(n int) int { return n/2 + 1 }

// enough says whether the members for which has holds may promise (need a
// majority) or acknowledge (need the owner, two others, and a majority).
func enough(roster []string, durable bool, has func(string) bool) bool {
	n := 0
	for _, id := range roster {
		if has(id) {
			n++
		}
	}
	need := majority(len(roster))
	if durable {
		need = max(need, min(3, len(roster)))
	}
	return len(roster) > 0 && n >= need
}

func (m *Member) quorum(k *key, durable bool, has func(string) bool) bool {
	if !enough(m.Roster(), durable, has) {
		return false
	}
	if k.oldNeed != nil {
		var old []string
		for id := range k.oldNeed {
			old = append(old, id)
		}
		return enough(old, durable, has)
	}
	return true
}

func (m *Member) send(to string, msg Message) {
	msg.Life = m.cfg.Life
	m.fx.Send = append(m.fx.Send, Envelope{to, msg})
}

// write asks for entries to be made durable and calls then when they are.
func (m *Member) write(entries []ledger.Entry, then func()) {
	m.nextWrite++
	if m.firstOpen == m.nextWrite {
		m.openSince = m.now
	}
	m.fx.Writes = append(m.fx.Writes, Write{m.nextWrite, entries})
	if then != nil {
		m.after[m.nextWrite] = append(m.after[m.nextWrite], then)
	}
}

// settled calls then once everything that was asked for so far is durable.
func (m *Member) settled(then func()) {
	if m.firstOpen > m.nextWrite {
		then()
		return
	}
	m.after[m.nextWrite] = append(m.after[m.nextWrite], then)
}

// Durable tells that all writes up to id are on disk.
func (m *Member) Durable(now time.Duration, id uint64) {
	m.now = now
	for ; m.firstOpen <= id; m.firstOpen++ {
		thens := m.after[m.firstOpen]
		delete(m.after, m.firstOpen)
		m.openSince = now
		for _, then := range thens {
			then()
		}
	}
}

// Failed tells that the disk refused a write; the whole state is written again
// until that succeeds, and nothing is answered before.
func (m *Member) Failed(now time.Duration) {
	m.now = now
	m.fx.Rewrite = true
}

// Snapshot is the member's whole state as entries.
func (m *Member) Snapshot() (entries []ledger.Entry, upTo uint64) {
	entries = append(entries, m.nodeEntry())
	for _, name := range m.names {
		k := m.keys[name]
		entries = append(entries, k.meta())
		for _, r := range k.Pick(allRanges) {
			entries = append(entries, k.entry(r))
		}
	}
	return entries, m.nextWrite
}

var allRanges = func() (all []int) {
	for i := 0; i < antientropy.Ranges; i++ {
		all = append(all, i)
	}
	return all
}()

func marshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (m *Member) nodeEntry() ledger.Entry {
	return ledger.Entry{Key: nodeEntry, Value: marshal(nodeValue{m.voting, m.founded})}
}

func (k *key) meta() ledger.Entry {
	return ledger.Entry{Key: metaPrefix + k.name, Value: marshal(metaValue{k.promised, k.at, k.commit})}
}

func (k *key) entry(r Record) ledger.Entry {
	return ledger.Entry{Key: recPrefix + k.name + "/" + r.Name, Value: marshal(storedRecord{k.name, r})}
}

// set changes records in memory and returns the entries for the disk.
func (k *key) set(changes []Record) []ledger.Entry {
	var out []ledger.Entry
	for _, r := range changes {
		k.Put(r)
		out = append(out, k.entry(r))
	}
	return out
}

// replace makes the named ranges hold just the given records.
func (k *key) replace(ranges []int, records []Record) []ledger.Entry {
	var out []ledger.Entry
	keep := map[string]bool{}
	for _, r := range records {
		keep[r.Name] = true
	}
	for _, r := range k.Pick(ranges) {
		if !keep[r.Name] {
			k.Remove(r.Name)
			out = append(out, ledger.Entry{Key: recPrefix + k.name + "/" + r.Name})
		}
	}
	return append(out, k.set(records)...)
}

// Handle takes a message.
func (m *Member) Handle(now time.Duration, from string, msg Message) {
	m.now = now
	if msg.Life == m.dead[from] && msg.Life != 0 {
		return
	}
	if msg.Fetch != nil && m.lives[from] != msg.Life {
		m.forget(from)
	}
	m.lives[from] = msg.Life
	switch {
	case msg.Found != nil:
		m.onFound(from, msg.Found)
	case msg.Founded != nil:
		m.onFounded(from, msg.Founded)
	case msg.Fetched != nil:
		m.onFetched(from, msg.Fetched)
	case !m.voting:
		// A member without its memory says nothing until it has caught up.
	case msg.Fetch != nil:
		m.onFetch(from, msg.Fetch)
	case msg.Ask != nil:
		m.onAsk(from, msg.Ask)
	case msg.Promise != nil:
		m.onPromise(from, msg.Promise)
	case msg.Copy != nil:
		m.onCopy(from, msg.Copy)
	case msg.Copied != nil:
		m.onCopied(from, msg.Copied)
	case msg.Hail != nil:
		m.onHail(from)
	case msg.Hailed != nil:
		m.hailed[from] = map[string]bool{}
		for _, name := range msg.Hailed.Owned {
			m.hailed[from][name] = true
		}
	case msg.Yield != nil:
		m.takeOver(m.key(msg.Yield.Key))
	case msg.Enroll != nil:
		m.onEnroll(from)
	}
}

// forget drops what a member said before it lost its memory.
func (m *Member) forget(id string) {
	m.dead[id] = m.lives[id]
	for _, k := range m.keys {
		delete(k.promises, id)
		delete(k.acks, id)
		delete(k.rounds, id)
		delete(k.seen, id)
		delete(k.marks, id)
	}
}

// ---- founding, enrolment and catching up

func (m *Member) mayFound() bool {
	return len(m.cfg.Seeds) > 0 && m.cfg.Seeds[0] == m.cfg.Self && !m.founded &&
		(m.cfg.Bootstrap && m.cfg.Empty || len(m.keys[RosterKey].Records) > 0)
}

func (m *Member) found() {
	k := m.keys[RosterKey]
	if len(k.Records) == 0 {
		k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
		k.at = Position{k.promised, 1}
		for _, id := range m.cfg.Seeds {
			k.set([]Record{{Name: id, Gen: 1}})
		}
		m.voting = true
		entries := append(k.set(k.Pick(allRanges)), k.meta(), m.nodeEntry())
		m.write(entries, func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	} else {
		m.settled(func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	}
	for _, id := range m.cfg.Seeds {
		if id != m.cfg.Self && !m.foundAcks[id] {
			m.send(id, Message{Found: &Found{k.at, k.Pick(allRanges)}})
		}
	}
}

func (m *Member) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	if len(m.cfg.Seeds) == 0 || from != m.cfg.Seeds[0] {
		return
	}
	if !m.voting {
		if !m.cfg.Empty || !m.cfg.Bootstrap {
			return
		}
		k.promised, k.at, m.voting = f.At.Epoch, f.At, true
		k.heard, k.heardAny = m.now, true
		entries := append(k.replace(allRanges, f.Records), k.meta(), m.nodeEntry())
		m.write(entries, nil)
	} else if k.at.Less(f.At) {
		return
	}
	m.settled(func() { m.send(from, Message{Founded: &Founded{f.At}}) })
}

func (m *Member) onFounded(from string, f *Founded) {
	if !m.founded && m.voting {
		m.foundAcks[from] = true
		m.foundDone()
	}
}

func (m *Member) foundDone() {
	for _, id := range m.cfg.Seeds {
		if !m.foundAcks[id] {
			return
		}
	}
	if !m.founded {
		m.founded = true
		m.write([]ledger.Entry{m.nodeEntry()}, nil)
		m.takeOver(m.keys[RosterKey])
	}
}

func (m *Member) onFetch(from string, f *Fetch) {
	m.settled(func() {
		out := &Fetched{Round: f.Round}
		for _, name := range m.names {
			k := m.keys[name]
			out.Keys = append(out.Keys, Holding{name, k.promised, k.at, k.Pick(allRanges)})
		}
		m.send(from, Message{Fetched: out})
	})
}

func (m *Member) onFetched(from string, f *Fetched) {
	if m.voting || f.Round != m.fetchRound {
		return
	}
	m.fetched[from] = f
	best := map[string]Holding{}
	for name, k := range m.keys { // what is on its own disk, if anything is
		best[name] = Holding{name, k.promised, k.at, k.Pick(allRanges)}
	}
	for _, f := range m.fetched {
		for _, h := range f.Keys {
			b, ok := best[h.Key]
			promised := b.Promised
			if !ok || promised.Less(h.Promised) {
				promised = h.Promised
			}
			if !ok || b.At.Less(h.At) {
				b = h
			}
			b.Promised = promised
			best[h.Key] = b
		}
	}
	var others []string
	for _, r := range best[RosterKey].Records {
		if !r.Dropped && r.Name != m.cfg.Self {
			others = append(others, r.Name)
		}
	}
	// All the others are asked, so that an owner among them no longer counts
	// what this member said in its former life. Where one stays silent, a
	// majority does once such words have grown too old to count.
	missing := 0
	for _, id := range others {
		if m.fetched[id] == nil {
			missing++
			m.send(id, Message{Fetch: &Fetch{m.fetchRound}})
		}
	}
	if len(others) == 0 || missing > 0 && (m.now-m.beganAt < 2*m.cfg.Vacant ||
		!enough(others, false, func(id string) bool { return m.fetched[id] != nil })) {
		return
	}
	var entries []ledger.Entry
	for _, h := range best {
		k := m.key(h.Key)
		k.promised, k.at = h.Promised, h.At
		k.heard, k.heardAny = m.now, true
		entries = append(append(entries, k.replace(allRanges, h.Records)...), k.meta())
	}
	m.voting, m.founded = true, true
	m.write(append(entries, m.nodeEntry()), nil)
}

func (m *Member) onEnroll(from string) {
	k := m.keys[RosterKey]
	if k.role != owns || !m.founded || len(k.queue) > 0 {
		return
	}
	m.Propose(m.now, RosterKey, func(have map[string]Record) ([]Record, error) {
		r, ok := have[from]
		if ok && !r.Dropped {
			return nil, nil
		}
		return []Record{{Name: from, Gen: r.Gen + 1}}, nil
	}, func(error) {})
}

// Retire takes a member that is gone for good out of the roster.
func (m *Member) Retire(now time.Duration, id string, done func(error)) {
	m.Propose(now, RosterKey, func(have map[string]Record) ([]Record, error) {
		r, ok := have[id]
		switch {
		case !ok:
			return nil, ErrUnknown
		case r.Dropped:
			return nil, nil
		case m.cfg.Alive(id) || id == m.cfg.Self:
			return nil, ErrAlive
		case len(m.Roster()) <= 3:
			return nil, ErrTooFew
		}
		return []Record{{Name: id, Gen: r.Gen + 1, Dropped: true}}, nil
	}, done)
}

// ---- taking a key over

func (m *Member) takeOver(k *key) {
	if !m.voting || m.leaving || k.role != follows || m.now < k.notUntil {
		return
	}
	k.role, k.since = asks, m.now
	k.mine = Epoch{max(k.promised.N, k.at.Epoch.N) + 1, m.cfg.Self, m.cfg.Life}
	k.promised = k.mine
	mine := k.mine
	k.promises = map[string]*Promise{}
	m.write([]ledger.Entry{k.meta()}, func() {
		if k.role != asks || k.mine != mine {
			return
		}
		k.promises[m.cfg.Self] = &Promise{At: k.at}
		for _, id := range m.others() {
			m.send(id, Message{Ask: &Ask{k.name, mine, m.keys[RosterKey].at}})
		}
		m.promised(k)
	})
}

func (m *Member) onAsk(from string, a *Ask) {
	k := m.key(a.Key)
	ok := !a.Epoch.Less(k.promised) && !m.staleRoster(a.Roster)
	if ok && k.promised != a.Epoch {
		m.stepDown(k, a.Epoch)
		k.heard, k.heardAny = m.now, true
		m.write([]ledger.Entry{k.meta()}, nil)
	}
	m.settled(func() {
		p := &Promise{Key: a.Key, Epoch: a.Epoch, OK: ok && k.promised == a.Epoch, Promised: k.promised, At: k.at, Outdated: m.staleRoster(a.Roster)}
		if p.OK {
			p.Records = k.Pick(allRanges)
			if k.wanted {
				p.Quiet = m.now - k.spoke
			}
		}
		m.send(from, Message{Promise: p})
	})
}

// staleRoster says that a peer acts under a roster older than a committed one.
func (m *Member) staleRoster(p Position) bool { return p.Less(m.keys[RosterKey].commit) }

func (m *Member) onPromise(from string, p *Promise) {
	k := m.key(p.Key)
	if k.role != asks || k.mine != p.Epoch {
		return
	}
	if p.Outdated {
		// The roster has gone on without this member. It starts over as one
		// that has lost its memory would, but forgets nothing.
		m.release(k, ErrNoQuorum)
		m.voting, m.beganAt = false, m.now
		return
	}
	if !p.OK {
		if k.mine.Less(p.Promised) {
			m.stepDown(k, p.Promised)
			m.write([]ledger.Entry{k.meta()}, nil)
		}
		return
	}
	k.promises[from] = p
	if k.frees == nil {
		k.frees = map[string]time.Duration{}
	}
	k.frees[from] = m.now - p.Quiet
	m.promised(k)
}

// promised installs the newest copy once a majority has promised.
func (m *Member) promised(k *key) {
	if !m.quorum(k, false, func(id string) bool { return k.promises[id] != nil }) {
		return
	}
	best := &Promise{At: k.at}
	for _, p := range k.promises {
		if best.At.Less(p.At) {
			best = p
		}
	}
	var entries []ledger.Entry
	if k.at.Less(best.At) {
		entries = k.replace(allRanges, best.Records)
	}
	// Whoever owned the key before was sure of that only while a majority said so,
	// and one member at least of any majority has promised now.
	k.free = k.spoke
	for id := range k.promises {
		k.free = max(k.free, k.frees[id])
	}
	k.frees = nil
	k.sure, k.took, k.heir = k.since, m.now, len(k.Records) > 0 || len(best.Records) > 0
	k.marks = map[string]mark{}
	k.role, k.since, k.agreed = owns, m.now, m.now
	k.at = Position{k.mine, best.At.Seq + 1}
	k.acks, k.seen = map[string]Position{}, map[string]time.Duration{}
	k.rounds, k.sentAt, k.round = map[string]uint64{}, map[uint64]time.Duration{}, 0
	k.oldNeed = nil
	at := k.at
	m.write(append(entries, k.meta()), func() { m.acked(k, m.cfg.Self, at) })
	for _, id := range m.others() {
		if p := k.promises[id]; p != nil {
			m.mend(k, id, p.At, antientropy.Digest(index(p.Records)))
		}
	}
	k.promises = nil
	m.beat(k)
}

func index(records []Record) map[string]Record {
	out := map[string]Record{}
	for _, r := range records {
		out[r.Name] = r
	}
	return out
}

// mend brings a member that lags to the owner's position.
func (m *Member) mend(k *key, to string, base Position, theirs antientropy.Sums) {
	ranges := antientropy.Diff(k.Sums, theirs)
	c := m.copy(k, base)
	c.Mend, c.Changes = ranges, k.Pick(ranges)
	m.send(to, Message{Copy: c})
}

func (m *Member) copy(k *key, base Position) *Copy {
	commit := uint64(0)
	if k.commit.Epoch == k.mine {
		commit = k.commit.Seq
	}
	return &Copy{Key: k.name, Epoch: k.mine, Base: base, Seq: k.at.Seq, Commit: commit,
		Round: k.round, Roster: m.keys[RosterKey].at, Sums: k.Sums}
}

// stepDown follows a newer epoch.
func (m *Member) stepDown(k *key, e Epoch) {
	if k.promised.Less(e) {
		k.promised = e
	}
	m.release(k, ErrNoQuorum)
}

func (m *Member) release(k *key, err error) {
	if k.role != follows {
		k.role = follows
		k.promises, k.acks, k.oldNeed = nil, nil, nil
		k.heard, k.heardAny = m.now, true
	}
	waiters, queue := k.waiters, k.queue
	k.waiters, k.queue = nil, nil
	for _, w := range waiters {
		w.done(err)
	}
	for _, p := range queue {
		p.done(err)
	}
}

// ---- the ordinary path of a change

// Propose runs fn on the key's records and copies the changes that it returns.
// done is called with nil once they, and all that fn saw, are safe.
func (m *Member) Propose(now time.Duration, name string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	m.now = now
	k := m.key(name)
	if k.role != owns {
		if m.founder(k) == m.cfg.Self {
			m.takeOver(k) // whoever asks again will find an owner
		}
		done(ErrNotOwner)
		return
	}
	k.queue = append(k.queue, proposal{fn, now + m.cfg.Patience, done})
	m.serve(k)
}

// serve runs the proposals that wait, all in one step, once the step before
// is committed.
func (m *Member) serve(k *key) {
	if k.role != owns || k.commit != k.at || len(k.queue) == 0 {
		return
	}
	queue := k.queue
	k.queue = nil
	base := k.at
	before := m.Roster()
	var changes []Record
	var entries []ledger.Entry
	var asking []proposal
	for i, p := range queue {
		if k.name == RosterKey && len(changes) > 0 {
			// The roster changes by one member a step, so that the majorities
			// of any roster and the next one meet.
			k.queue = queue[i:]
			break
		}
		c, err := p.fn(k.Records)
		if err != nil {
			// What the refusal rests on must still stand, or it may be wrong.
			refusal := p.done
			p.done = func(lost error) {
				if lost == nil {
					lost = err
				}
				refusal(lost)
			}
		} else if len(c) > 0 {
			entries = append(entries, k.set(c)...)
			changes = append(changes, c...)
		}
		asking = append(asking, p)
	}
	w := waiter{seq: k.at.Seq}
	if k.name == RosterKey && len(changes) > 0 {
		k.oldNeed = map[string]bool{}
		for _, id := range before {
			k.oldNeed[id] = true
		}
	}
	if len(changes) > 0 {
		m.step(k, base, changes, entries)
		w.seq = k.at.Seq
	} else {
		// Nothing is to be copied, but what stands must still be ours to tell.
		m.ask(k)
		w.round = k.round
	}
	for _, p := range asking {
		k.waiters = append(k.waiters, waiter{w.seq, w.round, p.until, p.done})
	}
	m.advance(k)
}

// Read calls done with nil once it is certain that no newer copy of the key
// than the one in memory has been acknowledged.
func (m *Member) Read(now time.Duration, name string, done func(error)) {
	m.Propose(now, name, func(map[string]Record) ([]Record, error) { return nil, nil }, done)
}

// step copies one change to the others.
func (m *Member) step(k *key, base Position, changes []Record, entries []ledger.Entry) {
	k.at.Seq++
	at := k.at
	m.write(append(entries, k.meta()), func() { m.acked(k, m.cfg.Self, at) })
	c := m.copy(k, base)
	c.Changes = changes
	for _, id := range m.others() {
		m.send(id, Message{Copy: c})
	}
}

// ask starts a round in which a quorum has to confirm the epoch.
func (m *Member) ask(k *key) {
	k.round++
	k.sentAt[k.round] = m.now
	m.beat(k)
}

func (m *Member) beat(k *key) {
	k.beatAt = m.now
	if k.round == 0 || k.sentAt[k.round] != m.now {
		k.round++
		k.sentAt[k.round] = m.now
	}
	c := m.copy(k, k.at)
	for _, id := range m.others() {
		m.send(id, Message{Copy: m.sureCopy(k, id, c)})
	}
	m.advance(k)
}

// sureCopy is a copy that tells a member how sure the owner is of itself, if that
// has set a mark.
func (m *Member) sureCopy(k *key, to string, c *Copy) *Copy {
	w, ok := k.marks[to]
	if !ok {
		return c
	}
	own := *c
	own.Sure = &Sure{w.life, w.at, m.now - w.came, m.now - k.sure}
	return &own
}

func (m *Member) onCopy(from string, c *Copy) {
	k := m.key(c.Key)
	reply := &Copied{Key: c.Key, Epoch: c.Epoch, Round: c.Round}
	if c.Epoch.Less(k.promised) || m.staleRoster(c.Roster) {
		if c.Epoch.Less(k.promised) {
			reply.Promised = k.promised
		}
		m.send(from, Message{Copied: reply})
		return
	}
	if k.promised != c.Epoch {
		m.stepDown(k, c.Epoch)
		m.write([]ledger.Entry{k.meta()}, nil)
	}
	k.heard, k.heardAny = m.now, true
	to := Position{c.Epoch, c.Seq}
	switch {
	case k.at == c.Base && k.at != to:
		var entries []ledger.Entry
		if c.Mend != nil {
			entries = k.replace(c.Mend, c.Changes)
		} else {
			entries = k.set(c.Changes)
		}
		k.at = to
		m.write(append(entries, k.meta()), nil)
	case k.at == to && c.Mend != nil && k.Sums != c.Sums:
		m.write(append(k.replace(c.Mend, c.Changes), k.meta()), nil)
	}
	reply.OK = !k.at.Less(to) && !(k.at == to && k.Sums != c.Sums)
	if commit := (Position{c.Epoch, c.Commit}); reply.OK && c.Commit > 0 && k.commit.Less(commit) && k.at == to {
		// Only a copy that is committed as a whole is shown to anybody.
		if c.Commit == c.Seq {
			m.commit(k, commit)
			if k.name == RosterKey && !m.founded {
				m.founded = true
				m.write([]ledger.Entry{m.nodeEntry()}, nil)
			}
		}
	}
	if c.Sure != nil && c.Sure.Life == m.cfg.Life && k.at == to && k.commit == to {
		k.current = max(k.current, c.Sure.Mark+c.Sure.Held-c.Sure.Age)
	}
	at, sums := k.at, k.Sums
	m.settled(func() {
		reply.At, reply.Promised = at, k.promised
		if k.wanted {
			reply.Mark = max(m.now, 1)
			k.spoke = m.now
		}
		if !reply.OK {
			reply.Sums = &sums
		}
		m.send(from, Message{Copied: reply})
	})
}

func (m *Member) onCopied(from string, c *Copied) {
	k := m.key(c.Key)
	if k.role != owns || c.Epoch != k.mine {
		return
	}
	if k.mine.Less(c.Promised) {
		m.stepDown(k, c.Promised)
		m.write([]ledger.Entry{k.meta()}, nil)
		return
	}
	if c.Promised != k.mine {
		return // it follows a newer roster
	}
	k.seen[from] = m.now
	if c.Mark > 0 {
		had, ok := k.marks[from]
		k.marks[from] = mark{m.lives[from], c.Mark, m.now}
		if !ok || had.life != m.lives[from] {
			m.send(from, Message{Copy: m.sureCopy(k, from, m.copy(k, k.at))}) // it need not wait for the next beat
		}
	}
	k.rounds[from] = max(k.rounds[from], c.Round)
	if c.OK {
		m.acked(k, from, c.At)
		return
	}
	if c.At != k.at || c.Sums != nil && *c.Sums != k.Sums {
		if c.Sums != nil && c.At.Less(Position{k.mine, k.at.Seq + 1}) {
			m.mend(k, from, c.At, *c.Sums)
		}
	}
	m.advance(k)
}

func (m *Member) acked(k *key, id string, at Position) {
	if k.role != owns || at.Epoch != k.mine {
		return
	}
	if k.acks[id].Less(at) {
		k.acks[id] = at
	}
	m.advance(k)
}

// advance commits what enough members hold and answers those who wait.
func (m *Member) advance(k *key) {
	if k.role != owns {
		return
	}
	// Commit the newest position that the owner and enough others hold.
	if own := k.acks[m.cfg.Self]; k.commit.Less(k.at) && own.Epoch == k.mine {
		var seqs []uint64
		fresh := func(id string) bool { return id == m.cfg.Self || m.now-k.seen[id] <= m.cfg.Vacant }
		for id, a := range k.acks {
			if a.Epoch == k.mine && a.Seq <= own.Seq && fresh(id) {
				seqs = append(seqs, a.Seq)
			}
		}
		sort.Slice(seqs, func(i, j int) bool { return seqs[i] > seqs[j] })
		for _, s := range seqs {
			p := Position{k.mine, s}
			if !k.commit.Less(p) {
				break
			}
			if m.quorum(k, true, func(id string) bool { return !k.acks[id].Less(p) && k.acks[id].Epoch == k.mine && fresh(id) }) {
				m.commit(k, p)
				if p == k.at {
					k.oldNeed = nil
				}
				m.beat(k)
				return
			}
		}
	}
	// The newest round that a quorum has answered.
	confirmed := uint64(0)
	for r := range k.sentAt {
		if r > confirmed && m.quorum(k, false, func(id string) bool { return id == m.cfg.Self || k.rounds[id] >= r }) {
			confirmed = r
		}
	}
	if at, ok := k.sentAt[confirmed]; ok {
		k.agreed, k.sure = max(k.agreed, at), max(k.sure, at)
		k.spoke = m.now
		for r := range k.sentAt {
			if r < confirmed {
				delete(k.sentAt, r)
			}
		}
	}
	var done []waiter
	kept := k.waiters[:0]
	for _, w := range k.waiters {
		if k.commit.Epoch == k.mine && k.commit.Seq >= w.seq && confirmed >= w.round {
			done = append(done, w)
		} else {
			kept = append(kept, w)
		}
	}
	k.waiters = kept
	for _, w := range done {
		w.done(nil)
	}
	m.serve(k)
}

// commit notes that a position is safe, also on disk, so that a start of all
// members at once has something to show before there is an owner.
func (m *Member) commit(k *key, p Position) {
	k.commit = p
	m.fx.Committed = append(m.fx.Committed, k.name)
	m.write([]ledger.Entry{k.meta()}, nil)
}

// ---- time

// Heirs orders the roster for a key: who takes it over first.
func (m *Member) Heirs(name string) []string { return rendezvous.Order(name, m.Roster()) }

// rank is this member's place among the live heirs that are not the owner.
func (m *Member) rank(k *key) int {
	n := 0
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self {
			return n
		}
		if id != k.promised.Owner && m.cfg.Alive(id) {
			n++
		}
	}
	return n
}

// place is this member's place among all heirs.
func (m *Member) place(name string) int {
	for i, id := range m.Heirs(name) {
		if id == m.cfg.Self {
			return i
		}
	}
	return 0
}

func (m *Member) onHail(from string) {
	out := &Hailed{}
	for _, name := range m.names {
		if k := m.keys[name]; k.role != follows || m.Owner(m.now, name) != "" {
			out.Owned = append(out.Owned, name)
		}
	}
	m.send(from, Message{Hailed: out})
}

// ownerless says that a majority has answered a hail and knows no owner, and
// that no heir before this member was among those who answered.
func (m *Member) ownerless(name string) bool {
	for _, owned := range m.hailed {
		if owned[name] {
			return false
		}
	}
	if !enough(m.Roster(), false, func(id string) bool { return id == m.cfg.Self || m.hailed[id] != nil }) {
		return false
	}
	for _, id := range m.Heirs(name) {
		if id == m.cfg.Self {
			return true
		}
		if m.hailed[id] != nil {
			return false
		}
	}
	return false
}

// Tick lets time pass.
func (m *Member) Tick(now time.Duration) {
	m.now = now
	if !m.began {
		m.began, m.beganAt = true, now
	}
	if m.mayFound() && (m.foundAt == 0 || now >= m.foundAt) {
		m.foundAt = now + m.cfg.Beat
		m.found()
	}
	if !m.voting {
		if now >= m.fetchAt {
			m.fetchAt = now + m.cfg.Beat
			m.fetchRound++
			m.fetched = map[string]*Fetched{}
			for _, id := range m.cfg.Seeds {
				if id != m.cfg.Self {
					m.send(id, Message{Fetch: &Fetch{m.fetchRound}})
				}
			}
		}
		return
	}
	if !m.inRoster() {
		if now >= m.fetchAt {
			m.fetchAt = now + m.cfg.Beat
			for _, id := range m.Roster() {
				m.send(id, Message{Enroll: &Enroll{}})
			}
		}
		return
	}
	if now-m.beganAt < 2*m.cfg.Beat {
		for _, id := range m.others() {
			m.send(id, Message{Hail: &Hail{}})
		}
	}
	stuck := m.firstOpen <= m.nextWrite && now-m.openSince > m.cfg.Vacant/2
	for _, name := range m.names {
		k := m.keys[name]
		m.expire(k)
		switch k.role {
		case owns:
			if now-k.agreed > m.cfg.Vacant || stuck {
				// Cut off, frozen for a while, or without a disk that answers.
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Vacant
				if stuck {
					m.yield(k)
				}
			} else if now-k.beatAt >= m.cfg.Beat {
				m.beat(k)
				m.handBack(k)
			}
		case asks:
			if now-k.since > m.cfg.Vacant {
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Beat*time.Duration(1+m.rank(k))
			}
		case follows:
			wait := m.cfg.Vacant + time.Duration(m.rank(k))*m.cfg.Vacant/2
			since := k.heard
			if !k.heardAny {
				// Just started: give an owner that is there time to say so.
				wait = m.cfg.Beat + m.cfg.Beat/2 + time.Duration(m.place(k.name))*m.cfg.Vacant/4
				since = m.beganAt
				if k.born > m.beganAt {
					// A key that nobody had before: nobody can have owned it, unless
					// this member missed that; then the owner will say so.
					wait = time.Duration(m.place(k.name)) * m.cfg.Vacant / 4
					since = k.born
				}
				if m.ownerless(name) {
					wait = 0
				}
			}
			if !stuck && now-since > wait && (m.founded || name != RosterKey) {
				m.takeOver(k)
			}
		}
	}
}

func (m *Member) inRoster() bool {
	r, ok := m.keys[RosterKey].Records[m.cfg.Self]
	return ok && !r.Dropped
}

func (m *Member) expire(k *key) {
	kept := k.waiters[:0]
	var late []waiter
	for _, w := range k.waiters {
		if m.now >= w.until {
			late = append(late, w)
		} else {
			kept = append(kept, w)
		}
	}
	k.waiters = kept
	queue := k.queue
	k.queue = nil
	for _, p := range queue {
		if m.now >= p.until {
			late = append(late, waiter{done: p.done})
		} else {
			k.queue = append(k.queue, p)
		}
	}
	for _, w := range late {
		w.done(ErrNoQuorum)
	}
}

// yield names a successor for a key.
func (m *Member) yield(k *key) {
	for _, id := range m.Heirs(k.name) {
		if id != m.cfg.Self && m.cfg.Alive(id) {
			m.send(id, Message{Yield: &Yield{k.name}})
			return
		}
	}
}

// handBack gives a key back to the heir that comes before this member, once
// that has been at work, with a copy that is up to date, for a long calm time.
// Keys that a failure has gathered at one member so spread out again.
func (m *Member) handBack(k *key) {
	heir := m.Heirs(k.name)[0]
	calm := heir != m.cfg.Self && m.cfg.HandBack > 0 && m.cfg.Alive(heir) && k.commit == k.at && len(k.waiters)+len(k.queue) == 0 &&
		k.acks[heir] == k.at && m.now-k.seen[heir] <= m.cfg.Vacant && m.now-k.since > m.cfg.HandBack
	if !calm {
		k.calmFrom = m.now
		return
	}
	if m.now-k.calmFrom >= m.cfg.HandBack {
		m.release(k, ErrNotOwner)
		k.notUntil = m.now + m.cfg.Vacant
		m.send(heir, Message{Yield: &Yield{k.name}})
	}
}

// Leave hands over all keys; the member takes none from then on.
func (m *Member) Leave(now time.Duration) {
	m.now = now
	m.leaving = true
	for _, name := range m.names {
		if k := m.keys[name]; k.role == owns {
			m.release(k, ErrNotOwner)
			m.yield(k)
		}
	}
}

// ---- views

// View is what a member shows of a key.
type View struct {
	Key      string
	Owner    string
	Epoch    uint64
	Seq      uint64
	Commit   uint64
	Owning   bool
	Records  int
	HeardAgo time.Duration
}

// Owner is the member believed to own a key; empty while there is none.
func (m *Member) Owner(now time.Duration, name string) string {
	k := m.key(name)
	if k.role == owns {
		return m.cfg.Self
	}
	if k.role == asks || !k.heardAny || now-k.heard > m.cfg.Vacant || k.promised.Owner == m.cfg.Self {
		return ""
	}
	return k.promised.Owner
}

// Founder is the member to turn to for a key that, as far as this one knows, nobody has
// owned yet; empty: it has, or there is nobody to turn to.
func (m *Member) Founder(now time.Duration, name string) string {
	m.now = now
	return m.founder(m.key(name))
}

func (m *Member) founder(k *key) string {
	if k.heardAny || k.role != follows || k.promised != (Epoch{}) {
		return ""
	}
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self || m.cfg.Alive(id) {
			return id
		}
	}
	return ""
}

// Current says at which time, on this member's clock, its committed copy of a key
// was certainly the newest that anybody could have been told of.
func (m *Member) Current(name string) (time.Duration, bool) {
	k := m.key(name)
	if k.commit != k.at || k.commit.Seq == 0 {
		return 0, false
	}
	if k.role == owns {
		return k.sure, true
	}
	return k.current, k.current > 0
}

// Tenure is a member's ownership of a key.
type Tenure struct {
	Epoch Epoch
	Since time.Duration
	Sure  time.Duration // then it was certain that there was no other owner
	Heir  bool          // others may have owned the key before, with something in it
	Free  time.Duration // no other was sure of itself later than this
}

// Tenure describes the ownership of a key that this member has and is sure of.
func (m *Member) Tenure(now time.Duration, name string) (t Tenure, ok bool) {
	k := m.key(name)
	return Tenure{k.mine, k.took, k.sure, k.heir, k.free}, k.role == owns && now-k.sure <= m.cfg.Vacant
}

// Committed gives the records of a key if this member's copy is known to be
// committed as it stands.
func (m *Member) Committed(name string) (map[string]Record, Position, bool) {
	k := m.key(name)
	return k.Records, k.commit, k.commit == k.at && k.commit.Seq > 0
}

// Keys names all keys that this member has heard of.
func (m *Member) Keys() []string { return append([]string(nil), m.names...) }

// Voting says whether the member has its memory and a seat.
func (m *Member) Voting() bool { return m.voting && m.inRoster() }

// Views shows all keys.
func (m *Member) Views(now time.Duration) []View {
	var out []View
	for _, name := range m.names {
		k := m.keys[name]
		out = append(out, View{name, m.Owner(now, name), k.promised.N, k.at.Seq, k.commit.Seq, k.role == owns, len(k.Records), now - k.heard})
	}
	return out
}
