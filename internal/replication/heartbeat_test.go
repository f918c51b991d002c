package replication

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// traffic counts what members send.
type traffic struct {
	messages, bytes                 int
	whole, partial, notices, acks   int
	copies, copied, answersToNotice int
}

func (c *traffic) count(t *testing.T, msg Message) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	c.messages++
	c.bytes += len(b)
	switch {
	case as[*Append](msg) != nil:
		c.copies++
	case as[*AppendAck](msg) != nil:
		c.copied++
	case as[*Heartbeat](msg) != nil && !as[*Heartbeat](msg).Partial:
		c.whole++
	case as[*Heartbeat](msg) != nil && as[*Heartbeat](msg).Round == 0:
		c.notices++
	case as[*Heartbeat](msg) != nil:
		c.partial++
	case as[*HeartbeatAck](msg) != nil:
		c.acks++
		if as[*HeartbeatAck](msg).Round == 0 {
			c.answersToNotice++
		}
	}
	if as[*Heartbeat](msg) != nil || as[*HeartbeatAck](msg) != nil {
		var read Message
		if err := cbor.Unmarshal(b, &read); err != nil || !reflect.DeepEqual(read, msg) {
			t.Fatalf("%+v is read as %+v: %v", msg, read, err)
		}
	}
}

// calmWorld is a world of members with many keys, all owned, that loses nothing.
func calmWorld(t *testing.T, members, keys int) *world {
	t.Helper()
	w := emptyWorld(1, 1)
	w.fatal, w.calm, w.prompt, w.large = t.Fatalf, true, true, true
	for i := range keys - 1 {
		w.keys = append(w.keys, fmt.Sprintf("rollout/%04d", i))
	}
	w.found(members, 0)
	for w.away() > 0 {
		if w.now > time.Minute {
			t.Fatalf("%d keys are not with their first heirs", w.away())
		}
		w.run(w.now + testBeat)
	}
	w.run(w.now + 2*testBeat)
	return w
}

// away counts the keys that their first heirs don't own.
func (w *world) away() (n int) {
	for _, key := range append([]string{RosterKey}, w.keys...) {
		if h := w.holder(key); h == nil || h.m.Heirs(key)[0] != h.id || len(h.m.Roster()) < len(w.ids) {
			n++
		}
	}
	return n
}

// What owners say in calm depends on how many members there are, not on how many keys.
func TestHeartbeatsCostTheSameForAnyNumberOfKeys(t *testing.T) {
	const beats = 10
	least := 0
	for _, keys := range []int{10, 100, 590} {
		w := calmWorld(t, 5, keys)
		var c traffic
		w.drop = func(_ string, e Envelope) bool { c.count(t, e.Msg); return false }
		w.run(w.now + beats*testBeat)
		pairs := 5 * 4
		t.Logf("%d keys: %d messages and %d bytes in %d beats, %+v", keys, c.messages, c.bytes, beats, c)
		if c.whole > pairs*(beats+1) || c.messages > 2*c.whole {
			t.Errorf("%d keys: %+v, with %d ways and %d beats", keys, c, pairs, beats)
		}
		if least == 0 {
			least = c.bytes
		}
		if c.bytes > least*3/2 {
			t.Errorf("%d keys take %d bytes, 10 take %d", keys, c.bytes, least)
		}
	}
}

// Keys that are committed at one time share one notice, and no member answers one.
func TestACommitNoticeIsSharedAndNotAnswered(t *testing.T) {
	w := calmWorld(t, 4, 100)
	owner := w.holder(testKey)
	var mine []string
	for _, k := range owner.m.ownedKeys() {
		if k.name != RosterKey {
			mine = append(mine, k.name)
		}
	}
	if len(mine) < 10 {
		t.Fatalf("%s owns only %v", owner.id, mine)
	}
	var c traffic
	w.drop = func(from string, e Envelope) bool {
		if from == owner.id || e.To == owner.id {
			c.count(t, e.Msg)
		}
		return false
	}
	w.run(owner.born + owner.m.heartbeats.lastFullAt + testBeat + 150*time.Millisecond) // between two beats
	c = traffic{}
	answered := 0
	w.on(owner.id, owner.life, func() {
		for _, key := range mine {
			owner.m.Propose(w.clock(owner), key, func(map[string]Record) ([]Record, error) {
				return []Record{{Name: "x", Gen: 1}}, nil
			}, func(err error) {
				if err == nil {
					answered++
				}
			})
		}
	})
	w.run(owner.born + owner.m.heartbeats.lastFullAt + testBeat - 10*time.Millisecond)
	t.Logf("%d keys: %+v", len(mine), c)
	if c.notices > 3*len(mine) || c.acks > 0 {
		t.Errorf("%d keys: %+v", len(mine), c)
	}
	owner.m.Take()
	for _, key := range mine {
		owner.m.scheduleCommitNotice(owner.m.keys[key])
	}
	if sent := owner.m.Take().Send; len(sent) != 3 || len(as[*Heartbeat](sent[0].Msg).Keys) != len(mine) {
		t.Errorf("%d keys committed at once: %+v", len(mine), sent)
	}
	if answered != len(mine) || c.answersToNotice != 0 {
		t.Errorf("%d of %d answered, %d notices were", answered, len(mine), c.answersToNotice)
	}
	for _, id := range w.ids {
		for _, key := range mine {
			if records, _, ok := w.nodes[id].m.Committed(key); !ok || records["x"].Gen != 1 {
				t.Errorf("%s shows %+v of %s", id, records, key)
			}
		}
	}
}

// A member that has missed a step says so when it hears that the step was committed.
func TestAMissedStepIsMendedBeforeTheNextBeat(t *testing.T) {
	w := calmWorld(t, 4, 2)
	owner := w.holder(testKey)
	deaf := w.lastOther(owner)
	w.run(owner.born + owner.m.heartbeats.lastFullAt + testBeat + 10*time.Millisecond) // just after a beat
	lost := 0
	w.drop = func(_ string, e Envelope) bool {
		if e.To == deaf.id && as[*Append](e.Msg) != nil && lost == 0 {
			lost++
			return true
		}
		return as[*Heartbeat](e.Msg) != nil && !as[*Heartbeat](e.Msg).Partial
	}
	if err := w.put(owner, "x", 1); err != nil {
		t.Fatal(err)
	}
	w.run(w.now + testBeat/4)
	if records, _, _ := deaf.m.Committed(testKey); lost != 1 || records["x"].Gen != 1 {
		t.Fatalf("it shows %+v, with %d steps lost", records, lost)
	}
}

// The answers to an owner's own heartbeats depose it, of the key alone that a member has
// promised to another.
func TestAnAnswerDeposesTheOwnerOfOneKeyAlone(t *testing.T) {
	w := calmWorld(t, 4, 30)
	owner := w.holder(testKey)
	var other string
	for _, k := range owner.m.ownedKeys() {
		if k.name != testKey && k.name != RosterKey {
			other = k.name
		}
	}
	heir := w.nodes[owner.m.Heirs(testKey)[1]]
	if heir == owner {
		heir = w.nodes[owner.m.Heirs(testKey)[0]]
	}
	was, stands := owner.m.keys[testKey].ownEpoch, owner.m.keys[other].ownEpoch
	w.drop = func(_ string, e Envelope) bool { // the owner hears nothing of its successor's election
		return e.To == owner.id && (as[*VoteRequest](e.Msg) != nil || as[*Append](e.Msg) != nil || as[*Heartbeat](e.Msg) != nil)
	}
	w.on(heir.id, heir.life, func() { heir.m.Handle(w.clock(heir), owner.id, Message{Body: &Transfer{testKey}}) })
	w.run(w.now + testBeat + 100*time.Millisecond)
	if k := heir.m.keys[testKey]; k.role != roleOwner || !was.Less(k.ownEpoch) {
		t.Fatalf("%s did not take the key over", heir.id)
	}
	if k := owner.m.keys[testKey]; k.role == roleOwner {
		t.Errorf("the old owner holds on to %v", k.ownEpoch)
	}
	if k := owner.m.keys[other]; k.role != roleOwner || k.ownEpoch != stands {
		t.Errorf("it lost %s as well", other)
	}
}

// seizedBy makes a member the owner of a key by the promises of all others; its
// heartbeats since reach nobody.
func (w *world) seizedBy(n *node, key string) *replicatedKey {
	w.drop = func(from string, e Envelope) bool {
		return (from == n.id || e.To == n.id) && as[*VoteRequest](e.Msg) == nil && as[*Vote](e.Msg) == nil
	}
	w.on(n.id, n.life, func() { n.m.Handle(w.clock(n), n.id, Message{Body: &Transfer{key}, Identity: n.m.identity}) })
	for end := w.now + testBeat; n.m.keys[key].role != roleOwner && w.now < end; {
		w.run(w.now + time.Millisecond)
	}
	return n.m.keys[key]
}

// Answers to rounds that began before a key was won confirm nothing of it.
func TestARoundBeforeTheElectionConfirmsNothing(t *testing.T) {
	w := calmWorld(t, 4, 30)
	n := w.nodes[w.ids[1]]
	if n == w.holder(testKey) {
		n = w.nodes[w.ids[2]]
	}
	k := w.seizedBy(n, testKey)
	if k.role != roleOwner || k.firstRound < 2 {
		t.Fatalf("%s does not own the key: %+v", n.id, k)
	}
	for _, id := range w.ids {
		if o := w.nodes[id]; o != n {
			n.m.Handle(w.clock(n), id, Message{Identity: o.m.identity, Life: 1, Protocol: protocolHeartbeat,
				Body: &HeartbeatAck{Life: n.m.cfg.Life, Round: k.firstRound - 1, Version: n.m.heartbeats.version}})
		}
	}
	if k.confirmedAt != neverConfirmed {
		t.Errorf("it is sure of a key as of %v, won at %v", k.confirmedAt, k.ownerSince)
	}
	for _, id := range w.ids {
		if o := w.nodes[id]; o != n {
			n.m.Handle(w.clock(n), id, Message{Identity: o.m.identity, Life: 1, Protocol: protocolHeartbeat,
				Body: &HeartbeatAck{Life: n.m.cfg.Life + 1, Round: n.m.heartbeats.round, Version: n.m.heartbeats.version}})
		}
	}
	if k.confirmedAt != neverConfirmed {
		t.Error("answers to another process made it sure")
	}
}

// A member that promises a key to another, after a heartbeat came and before its answer
// could go, doesn't confirm the key.
func TestAPromiseBeforeTheAnswerIsToldInIt(t *testing.T) {
	for _, lags := range []uint64{0, 1} {
		promisesBeforeItAnswers(t, lags)
	}
}

func promisesBeforeItAnswers(t *testing.T, lags uint64) {
	w := calmWorld(t, 4, 3)
	owner := w.holder(testKey)
	n := w.lastOther(owner)
	k := n.m.keys[testKey]
	m, now := n.m, w.clock(n)
	m.Take()
	m.write(nil, nil) // the disk is at work
	heartbeatEpoch := k.promised
	heartbeat := &Heartbeat{Round: 7, Roster: m.keys[RosterKey].position, Partial: true,
		Keys: []KeyStatus{{Key: testKey, Epoch: k.promised.N, Seq: k.position.Seq + lags, Commit: k.commit.Seq, Sum: k.Sums.Fold()}}}
	m.Handle(now, owner.id, Message{Identity: owner.m.identity, Life: owner.m.cfg.Life, Protocol: protocolHeartbeat, Body: heartbeat})
	newer := Epoch{k.promised.N + 1, n.id, 99}
	m.Handle(now, owner.id, Message{Identity: owner.m.identity, Life: owner.m.cfg.Life, Protocol: protocolHeartbeat,
		Body: &VoteRequest{Key: testKey, Epoch: newer, Roster: m.keys[RosterKey].position, At: k.position}})
	if k.promised != newer {
		t.Fatalf("it promised %v", k.promised)
	}
	m.Durable(now, m.lastWrite)
	told, confirmed := false, false
	for _, e := range m.Take().Send {
		if a := as[*HeartbeatAck](e.Msg); a != nil && a.Round == 7 {
			for _, d := range a.Deviate {
				told = told || d.Key == testKey && d.Promised == newer
				confirmed = confirmed || d.Key == testKey && d.Promised == heartbeatEpoch
			}
		}
	}
	if !told || confirmed {
		t.Errorf("%d steps behind: told of the promise %v, confirmed the epoch before %v", lags, told, confirmed)
	}
}

// A list that isn't the owner's any more is found by its digest and sent anew; one of
// an older version is left alone.
func TestAListIsTakenOnlyWhereItFits(t *testing.T) {
	whole := []KeyStatus{{Key: "a", Epoch: 1, Seq: 2, Commit: 2}, {Key: "b", Epoch: 1, Seq: 1}}
	digest := whole[0].digest() ^ whole[1].digest()
	changed := KeyStatus{Key: "b", Epoch: 1, Seq: 5, Commit: 5}
	after := whole[0].digest() ^ changed.digest()
	m := &Replica{ownerLists: map[string]*ownerList{}}
	for _, c := range []struct { // one after the other, at one member
		name  string
		h     Heartbeat
		life  uint64
		state listState
	}{
		{"nothing is there to build on", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listMissing},
		{"the whole", Heartbeat{Version: 2, Digest: digest, Keys: whole}, 1, listApplied},
		{"no change", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listApplied},
		{"steps are missing", Heartbeat{Base: 3, Version: 4, Digest: after, Keys: []KeyStatus{changed}}, 1, listMissing},
		{"another process", Heartbeat{Base: 2, Version: 3, Digest: after, Keys: []KeyStatus{changed}}, 2, listMissing},
		{"a change", Heartbeat{Base: 2, Version: 3, Digest: after, Keys: []KeyStatus{changed}}, 1, listApplied},
		{"late", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listStale},
		{"a key goes", Heartbeat{Base: 3, Version: 4, Digest: changed.digest(), Gone: []string{"a"}}, 1, listApplied},
		{"another digest", Heartbeat{Base: 4, Version: 4, Digest: 1}, 1, listMissing},
		{"and so it is forgotten", Heartbeat{Base: 4, Version: 4, Digest: changed.digest()}, 1, listMissing},
	} {
		if _, state := m.applyList("o", c.life, &c.h); state != c.state {
			t.Errorf("%s: %v, want %v", c.name, state, c.state)
		}
	}
}

// Members of a version without heartbeats work with those that have them: every key is
// owned, changed and dated, whichever version its owner runs.
func TestMembersWithoutHeartbeats(t *testing.T) {
	w := emptyWorld(3, 1)
	w.fatal, w.calm, w.prompt, w.older = t.Fatalf, true, true, 2
	for i := range 8 {
		w.keys = append(w.keys, fmt.Sprintf("rollout/%04d", i))
	}
	w.found(4, 0)
	w.run(10 * time.Second)
	byOlder, byNewer := 0, 0
	for _, key := range w.keys {
		n := w.holder(key)
		if n == nil {
			t.Fatalf("%s has no owner", key)
		}
		if n.older {
			byOlder++
		} else {
			byNewer++
		}
		answered := false
		w.ask(n.id, key, "x", 1, "one", func(_ uint64, err error) { answered = err == nil })
		w.run(w.now + testBeat/5)
		if !answered {
			t.Errorf("a change of %s at %s was not answered", key, n.id)
		}
	}
	if byOlder == 0 || byNewer == 0 {
		t.Fatalf("%d keys are owned by members without heartbeats, %d by others", byOlder, byNewer)
	}
	for end := w.now + 4*testBeat; w.now < end; w.run(w.now + 50*time.Millisecond) {
		for _, id := range w.ids {
			n := w.nodes[id]
			if at, ok := n.m.Current(testKey); !ok || w.clock(n)-at > 3*testBeat {
				t.Fatalf("%s (older %v) takes its copy for current at %v (%v), at %v", id, n.older, at, ok, w.clock(n))
			}
		}
	}
	var c traffic
	w.drop = func(from string, e Envelope) bool {
		if !w.nodes[from].older && !w.nodes[e.To].older {
			c.count(t, e.Msg)
		}
		return false
	}
	w.run(w.now + 4*testBeat)
	if c.whole == 0 || c.copies > 0 {
		t.Errorf("between members that know heartbeats: %+v", c)
	}
}

// A heartbeat takes no key for surer than its owner is of that key.
func TestAgesAreThoseOfEachKey(t *testing.T) {
	w := calmWorld(t, 4, 30)
	m := w.holder(testKey).m
	keys := m.ownedKeys()[:4]
	m.heartbeats.sent[m.heartbeats.confirmedRound] = sentRound{at: m.now - 300*time.Millisecond}
	for _, c := range [][]time.Duration{
		{100, 200, 250, 300}, // all in the round that a quorum has confirmed for the list, or later
		{100, 200, 250, 400}, // one was not in it
		{100, 200, 250, -1},  // one has been won since
		{50, -1, 50, -1},     // reads have confirmed the others since
		{-1, -1, -1, -1},
	} {
		for i, age := range c {
			if keys[i].confirmedAt = m.now - age*time.Millisecond; age < 0 {
				keys[i].confirmedAt = neverConfirmed
			}
		}
		for _, partial := range []bool{false, true} {
			h := &Heartbeat{Partial: partial}
			m.setAges(h, keys)
			for _, k := range keys {
				i := slices.IndexFunc(h.Ages, func(a KeyAge) bool { return a.Key == k.name })
				told := time.Duration(-1)
				if i >= 0 {
					told = h.Ages[i].Age
				} else if h.Sure != nil {
					told = h.Sure.Age
				}
				if k.confirmedAt == neverConfirmed && told >= 0 && h.Sure != nil || k.confirmedAt != neverConfirmed && (told < m.now-k.confirmedAt || told > m.now-k.confirmedAt+300*time.Millisecond) {
					t.Errorf("%v partial %v: %s, sure %v ago, is told as %v", c, partial, k.name, m.now-k.confirmedAt, told)
				}
			}
		}
	}
}

// An answer counts for where the keys stood when the heartbeat was sent, not for a step since.
func TestAnAnswerCountsForWhatWasSent(t *testing.T) {
	for _, partial := range []bool{false, true} {
		w := calmWorld(t, 4, 3)
		n := w.holder(testKey)
		m, k := n.m, n.m.keys[testKey]
		w.drop = func(from string, e Envelope) bool { return from == n.id || e.To == n.id }
		w.run(w.now + 20*time.Millisecond)
		if partial {
			m.scheduleConfirm(k)
		} else {
			m.heartbeats.dueAll = true
		}
		w.on(n.id, n.life, func() {})
		round, version, stood := m.heartbeats.round, m.heartbeats.version, k.position
		answered := false
		w.ask(n.id, testKey, "x", 1, "one", func(uint64, error) { answered = true })
		w.run(w.now + 20*time.Millisecond)
		m.heartbeats.dueAll = true
		w.on(n.id, n.life, func() {})
		if l := m.heartbeats.listed[testKey]; !stood.Less(k.position) || l.Seq != k.position.Seq || l.version <= version {
			t.Fatalf("the step is not listed: %+v, at %v", l, k.position)
		}
		for _, id := range w.ids {
			if o := w.nodes[id]; o != n {
				m.Handle(w.clock(n), id, Message{Identity: o.m.identity, Life: o.m.cfg.Life, Protocol: protocolHeartbeat,
					Body: &HeartbeatAck{Life: m.cfg.Life, Round: round, Partial: partial, Version: version}})
				if k.confirmedRounds[o.m.self] != round || k.acks[o.m.self] != stood {
					t.Errorf("partial %v: %s counts for round %d and %v, it answered %d and %v", partial, id, k.confirmedRounds[o.m.self], k.acks[o.m.self], round, stood)
				}
			}
		}
		if answered {
			t.Errorf("partial %v: a change that nobody else holds was acknowledged", partial)
		}
	}
}

// A member that is alone owns its keys all along, and knows how old its copies are, though
// nobody answers its heartbeats.
func TestAMemberAloneStaysOwner(t *testing.T) {
	w := calmWorld(t, 1, 3)
	n := w.nodes[w.ids[0]]
	epochs := map[string]Epoch{}
	for end := w.now + 20*n.m.cfg.Vacant; w.now < end; w.run(w.now + testBeat/2) {
		for _, key := range w.keys {
			tenure, ok := n.m.Tenure(w.clock(n), key)
			if _, seen := epochs[key]; !seen {
				epochs[key] = tenure.Epoch
			}
			if at, current := n.m.Current(key); !ok || tenure.Epoch != epochs[key] || !current || w.clock(n)-at > 2*testBeat {
				t.Fatalf("%v: %s is owned: %v, under %v, %v at first; current: %v, as of %v", w.clock(n), key, ok, tenure.Epoch, epochs[key], current, at)
			}
		}
	}
}
