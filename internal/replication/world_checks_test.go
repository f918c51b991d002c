package replication

// This file holds the rules that are checked while a world runs.

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
)

// begins checks that whoever becomes owner of a key holds all that was ever shown as
// committed in it.
func (w *world) begins(n *node) {
	for name, k := range n.m.keys {
		if k.role != roleOwner {
			continue
		}
		if n.owning[name] == k.ownEpoch {
			continue
		}
		n.owning[name] = k.ownEpoch
		if !n.m.mayOwn() {
			w.fatal("at %v %s owns %s without a seat", w.now, n.id, name)
		}
		if w.begun[name] == nil {
			w.begun[name] = map[Epoch]map[string]Record{}
		}
		base := map[string]Record{}
		for r, v := range k.Records {
			base[r] = v
		}
		w.begun[name][k.ownEpoch] = base
		if w.truthAt[name].Epoch.Less(k.ownEpoch) {
			w.holds(fmt.Sprintf("%s, owner of %s in %v,", n.id, name, k.ownEpoch), name, base, w.truth[name])
		}
	}
}

// holds checks that records hold at least what others do.
func (w *world) holds(who, key string, have, want map[string]Record) {
	if key == RosterKey {
		return // records of the roster vanish; its contents are compared by position
	}
	for name, r := range want {
		h, ok := have[name]
		if !ok || h.Gen < r.Gen || h.Gen == r.Gen && !bytes.Equal(h.Data, r.Data) {
			w.fatal("at %v %s holds %s=%d %s, committed was %d %s", w.now, who, name, h.Gen, h.Data, r.Gen, r.Data)
		}
	}
}

// sure checks what a member says of how old its copy is, and that no two owners
// are ever sure of themselves at once.
func (w *world) sure(n *node) {
	if at, ok := n.m.Current(testKey); ok {
		have, _, _ := n.m.Committed(testKey)
		w.claims++
		for i := len(w.ackedAt) - 1; i >= 0 && i > len(w.ackedAt)-40; i-- {
			if a := w.ackedAt[i]; a.at < n.born+at && have[a.name].Gen < a.value {
				w.fatal("at %v %s takes its copy for current at %v, but lacks %s=%d of %v", w.now, n.id, n.born+at, a.name, a.value, a.at)
			}
		}
	}
	t, ok := n.m.Tenure(w.clock(n), testKey)
	if !ok {
		return
	}
	w.sures[t.Epoch], w.frees[t.Epoch] = max(w.sures[t.Epoch], n.born+t.Sure), n.born+t.Free
	for o, free := range w.frees {
		if t.Epoch.Less(o) && w.sures[t.Epoch] > free {
			w.fatal("at %v: owner %v was sure of itself until %v, but %v took it to be so until %v only", w.now, t.Epoch, w.sures[t.Epoch], o, free)
		}
	}
	for e, sure := range w.sures {
		if e.Less(t.Epoch) && sure > n.born+t.Free {
			w.fatal("at %v: owner %v was sure of itself until %v, but %v took it to be so until %v only", w.now, e, sure, t.Epoch, n.born+t.Free)
		}
	}
}

// same checks that one version of a record has one content everywhere.
func (w *world) same(who, key string, r Record) {
	id := fmt.Sprintf("%s/%s/%d", key, r.Name, r.Gen)
	if was, ok := w.content[id]; !ok {
		w.content[id] = string(r.Data)
	} else if was != string(r.Data) {
		w.fatal("at %v %s shows %s as %q, it was %q", w.now, who, id, r.Data, was)
	}
}

// see checks what a member shows as committed: it never goes back within a life, no
// two members show different contents at one position, and each owner that came
// later began with it.
func (w *world) see(n *node, key string) {
	records, pos, ok := n.m.Committed(key)
	if !ok {
		return
	}
	if pos.Less(n.lastPos[key]) {
		w.fatal("at %v %s went back from %v to %v of %s", w.now, n.id, n.lastPos[key], pos, key)
	}
	n.lastPos[key] = pos
	if w.large {
		return // the contents are compared when the world is calm again
	}
	var b bytes.Buffer
	for _, r := range sortedRecords(records) {
		fmt.Fprintf(&b, "%s=%d/%v/%s ", r.Name, r.Gen, r.Dropped, r.Data)
		if key != RosterKey {
			w.same(n.id, key, r)
		}
	}
	if w.shown[key] == nil {
		w.shown[key] = map[Position]string{}
	}
	if was, ok := w.shown[key][pos]; !ok {
		w.shown[key][pos] = b.String()
	} else if was != b.String() {
		w.fatal("at %v two contents of %s at %v: %v and %v", w.now, key, pos, was, b.String())
	}
	if !w.truthAt[key].Less(pos) {
		return
	}
	w.holds(fmt.Sprintf("%s at %v of %s", n.id, pos, key), key, records, w.truth[key])
	w.truthAt[key], w.truth[key] = pos, map[string]Record{}
	for name, r := range records {
		w.truth[key][name] = r
	}
	for e, base := range w.begun[key] {
		if pos.Epoch.Less(e) {
			w.holds(fmt.Sprintf("the later owner %v of %s", e, key), key, base, records)
		}
	}
}

// observed takes note of a version that somebody was told of: none that was told of
// before the question began may be missing. With versions that only rise that is all
// that linearizability asks of each register.
func (w *world) observed(who, key, name string, floor uint64, r Record) {
	if r.Gen < floor {
		w.fatal("at %v %s told %s/%s=%d, %d was told before the question", w.now, who, key, name, r.Gen, floor)
	}
	if r.Gen > 0 {
		w.same(who, key, r)
	}
	id := key + "/" + name
	w.floors[id] = max(w.floors[id], r.Gen)
}

// owned says which key has no owner that answers.
func (w *world) owned() string {
	for _, key := range append([]string{RosterKey}, w.keys...) {
		n := 0
		for _, id := range w.ids {
			if k := w.nodes[id].m.keys[key]; w.nodes[id].up && k.role == roleOwner && k.commit == k.position || w.nodes[id].up && k.role == roleOwner && k.commit.Epoch == k.ownEpoch {
				n++
			}
		}
		if n != 1 {
			return fmt.Sprintf("%s has %d owners", key, n)
		}
	}
	return ""
}

// seated says where the seats are others than those of the members at work, or where a
// member lacks something.
func (w *world) seated() string {
	var live []string
	for _, id := range w.ids {
		if n := w.nodes[id]; n.up {
			live = append(live, n.m.self)
		} else {
			return id + " is down"
		}
	}
	for _, id := range w.ids {
		n := w.nodes[id]
		s := n.m.seats()
		if s.joint || len(s.newSeats) != min(len(live), maxSeats) {
			return fmt.Sprintf("%s has the roster %+v, at work are %v", id, *s, live)
		}
		for _, seat := range s.newSeats {
			if !slices.Contains(live, seat) {
				return fmt.Sprintf("%s has the roster %+v, at work are %v", id, *s, live)
			}
		}
		for _, key := range append([]string{RosterKey}, w.keys...) {
			have, pos, ok := n.m.Committed(key)
			if !ok || pos.Seq == 0 {
				return fmt.Sprintf("%s shows nothing of %s", id, key)
			}
			if pos.Epoch != w.truthAt[key].Epoch {
				return fmt.Sprintf("%s shows %s at %v, committed is %v", id, key, pos, w.truthAt[key])
			}
			if w.operatorsStopped && len(have) != len(w.truth[key]) {
				return fmt.Sprintf("%s shows %d records of %s of %d", id, len(have), key, len(w.truth[key]))
			}
			for name, r := range w.truth[key] {
				if w.operatorsStopped && key != RosterKey && have[name].Gen != r.Gen {
					return fmt.Sprintf("%s shows %s/%s=%d of %d", id, key, name, have[name].Gen, r.Gen)
				}
			}
		}
	}
	return ""
}

// truthOf is what the owner of a key shows of it.
func (w *world) truthOf(key string) map[string]Record {
	if o := w.holder(key); o != nil {
		have, _, _ := o.m.Committed(key)
		return have
	}
	return nil
}

func sortedRecords(records map[string]Record) []Record {
	s := make([]Record, 0, len(records))
	for _, r := range records {
		s = append(s, r)
	}
	sortRecords(s)
	return s
}

func sortRecords(s []Record) {
	sort.Slice(s, func(i, j int) bool { return s[i].Name < s[j].Name })
}
