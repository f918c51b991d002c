package replication

// This file holds members that catch up.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"madderwing/internal/antientropy"
)

// TestAFollowerShowsWhatIsCommittedUnderAStream loses a part of all copies under an
// unbroken stream of changes: a follower still shows what was committed a short while ago.
func TestAFollowerShowsWhatIsCommittedUnderAStream(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		w := newWorldWithVoters(t, seed, 4, 1, 4)
		w.mustPut(t, "x", 1)
		o := w.settle(t)
		w.drop = func(from string, e Envelope) bool {
			return (as[*Append](e.Msg) != nil || as[*Heartbeat](e.Msg) != nil) && w.rng.Intn(10) == 0
		}
		w.inject(failure{kind: storm, hold: 20 * time.Second})
		w.run(w.now + time.Second)
		type at struct {
			when time.Duration
			pos  Position
		}
		var history []at
		behind := map[string]time.Duration{}
		for end := w.now + 18*time.Second; w.now < end; w.run(w.now + 10*time.Millisecond) {
			history = append(history, at{w.now, w.truthAt[testKey]})
			for _, id := range w.ids {
				_, pos, ok := w.nodes[id].m.Committed(testKey)
				if !ok {
					pos = w.nodes[id].lastPos[testKey] // what it showed last
				}
				i := slices.IndexFunc(history, func(h at) bool { return pos.Less(h.pos) })
				if i >= 0 {
					behind[id] = max(behind[id], w.now-history[i].when)
				}
			}
		}
		for id, lag := range behind {
			if lag > 3*testBeat {
				t.Errorf("seed %d: %s (owner %s) was %v behind", seed, id, o.id, lag)
			}
		}
		t.Logf("seed %d: %v after %d changes", seed, behind, w.answer)
	}
}

// TestASnapshotIsTakenOnlyIfItsDigestsAgree hands a follower chunks that don't make up
// what the owner had.
func TestASnapshotIsTakenOnlyIfItsDigestsAgree(t *testing.T) {
	whole := []Record{{Name: "x", Gen: 7}, {Name: "y", Gen: 8}, {Name: "z", Gen: 9}}
	for _, c := range []struct {
		name    string
		records [][]Record // by chunk
		index   []int
		ok      bool
	}{
		{"whole", [][]Record{whole[:2], whole[2:]}, []int{0, 1}, true},
		{"one twice", [][]Record{whole[:2], whole[:2], whole[2:]}, []int{0, 0, 1}, true},
		{"one missing", [][]Record{whole[:2], nil}, []int{0, 1}, false},
		{"another one", [][]Record{whole[:2], {{Name: "z", Gen: 1}}}, []int{0, 1}, false},
	} {
		w := newWorldWithVoters(t, 3, 4, 1, 4)
		w.mustPut(t, "x", 1)
		w.run(w.now + 2*time.Second)
		o := w.settle(t)
		n := w.lastOther(o)
		k := n.m.keys[testKey]
		before := k.position
		set := antientropy.NewSet()
		for _, r := range whole {
			set.Put(r)
		}
		at := Position{k.promised, k.position.Seq + 5}
		n.m.Take()
		for i, records := range c.records {
			n.m.Handle(w.clock(n), o.id, Message{Identity: o.m.identity, Body: &SnapshotChunk{Key: testKey, Epoch: k.promised,
				Roster: n.m.keys[RosterKey].position, At: at, Sums: set.Sums, Index: c.index[i], Count: 2, Ranges: allRanges, Records: records}})
		}
		n.m.Durable(w.clock(n), n.m.lastWrite)
		took := false
		for _, e := range n.m.Take().Send {
			took = took || as[*AppendAck](e.Msg) != nil && as[*AppendAck](e.Msg).OK && as[*AppendAck](e.Msg).At == at
		}
		if took != c.ok || (k.position == at) != c.ok || !c.ok && k.position != before {
			t.Errorf("%s: answered as held: %v, at %v", c.name, took, k.position)
		}
	}
}

// TestCatchingUpWithALargeCatalogue changes a catalogue near its limit 3,000 times while
// members restart, lose their disks, are replaced and cut off, over links on which a
// chunk takes longer than a beat. Each catches up within a stated time and bytes.
func TestCatchingUpWithALargeCatalogue(t *testing.T) {
	const records, size = 300, 8 << 10
	for _, k := range []kind{restart, cutOff, freeze, wipe, replace} {
		t.Run(kindNames[k], func(t *testing.T) {
			t.Parallel()
			w := newWorldWithVoters(t, int64(k)+1, 4, 1, 4)
			w.calm, w.large = true, true
			change := func(name string, v uint64, data string) {
				if o := w.holder(testKey); o != nil {
					w.ask(o.id, testKey, name, v, data, func(uint64, error) {})
				}
			}
			filler := strings.Repeat("f", size)
			for i := 0; i < records; i++ {
				change(fmt.Sprint("item", i), 1, filler)
				if i%10 == 9 {
					w.run(w.now + 100*time.Millisecond)
				}
			}
			w.run(w.now + 3*time.Second)
			if n := len(w.truthOf(testKey)); n < records {
				t.Fatalf("%d records", n)
			}
			w.rate = float64(maxChunkBytes) / (1.2 * testBeat.Seconds())
			whole := float64(records * size)
			copying := time.Duration(whole / w.rate * float64(time.Second))
			begin, answered := w.now, w.answer
			for i := 0; i < 3000; i++ {
				w.at(time.Duration(i)*20*time.Millisecond, func() {
					change(fmt.Sprint("small", i%100), uint64(1+i), fmt.Sprint("change ", i))
				})
			}
			w.run(w.now + 5*time.Second)
			var n *node
			for _, id := range w.ids {
				if o := w.nodes[id]; o.m.keys[testKey].role != roleOwner && o.m.keys[RosterKey].role != roleOwner {
					n = o
				}
			}
			who := slices.IndexFunc(w.sound(), func(o *node) bool { return o == n })
			w.inject(failure{kind: k, who: who, count: 1, hold: 15 * time.Second, more: 5 * time.Second})
			if k == replace {
				w.run(w.now + 5100*time.Millisecond)
				n = w.nodes[w.ids[len(w.ids)-1]]
			} else {
				w.run(w.now + 15100*time.Millisecond)
			}
			back, got := w.now, w.bytesTo[n.id]
			limit := testCatchUp
			if k == wipe || k == replace {
				limit = copying*3/2 + 2*testVacant
			}
			w.until("the member holds everything", limit, func() string {
				o := w.holder(testKey)
				if o == nil {
					return "the key has no owner"
				}
				_, at, ok := n.m.Committed(testKey)
				_, newest, _ := o.m.Committed(testKey)
				if !ok || at.Epoch != newest.Epoch || at.Seq+25 < newest.Seq || !n.m.mayOwn() {
					return fmt.Sprintf("it shows %v of %v, with a seat: %v", at, newest, n.m.mayOwn())
				}
				return ""
			})
			bytes := float64(w.bytesTo[n.id] - got)
			t.Logf("caught up after %v with %.2f of the whole in bytes", w.now-back, bytes/whole)
			if bytes > 1.25*whole {
				t.Fatalf("%.2f times the whole were sent", bytes/whole)
			}
			w.run(begin + 62*time.Second)
			if w.answer-answered < 2900 {
				t.Fatalf("%d of 3000 changes were answered", w.answer-answered)
			}
			w.rate = 0
			w.run(w.now + 3*time.Second)
			want := w.truthOf(testKey)
			for _, id := range w.ids {
				have, _, _ := w.nodes[id].m.Committed(testKey)
				w.holds(id, testKey, have, want)
			}
		})
	}
}
