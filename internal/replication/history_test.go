package replication

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file holds the history of operators' calls, and the check that it is linearizable:
// that each call could have happened at one moment between its question and its answer.

// register is one record as an operator sees it.
type register struct {
	gen  uint64
	data string
}

// keyState is all records of a key, in the order of names.
type keyState [7]register

// outcome is what came of a call.
type outcome int

const (
	unknown outcome = iota // no answer, or none that says whether it was carried out
	taken
	refused // another content stands under that generation, or a higher one
)

// call is an operator's call: a change of one record, or a read of all.
type call struct {
	read   bool
	name   int // index into names
	wanted register

	outcome outcome
	stood   register // for a change that was refused: what stands
	all     keyState // for a read: what it brought
}

func (c *call) String() string {
	if c.read {
		return fmt.Sprintf("read: %v", c.all)
	}
	return fmt.Sprintf("%s=%v: %v, stands %v", names[c.name], c.wanted, [...]string{"unknown", "taken", "refused"}[c.outcome], c.stood)
}

// apply is the sequential specification: what a call does to a key, and whether it could
// have had this outcome there.
func (c *call) apply(s keyState) (bool, keyState) {
	if c.read {
		return s == c.all, s
	}
	stands := s[c.name]
	newer := stands.gen < c.wanted.gen
	switch {
	case c.outcome == refused:
		return !newer && stands != c.wanted && stands == c.stood, s
	case newer:
		s[c.name] = c.wanted
		return true, s
	}
	return c.outcome == unknown || stands == c.wanted, s
}

var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) { return input.(*call).apply(state.(keyState)) },
}

// written is a content of one record.
type written struct {
	name int
	r    register
}

// shows lists what a call with an answer shows to have been written.
func (c *call) shows() (out []written) {
	switch {
	case c.read:
		for name, r := range c.all {
			out = append(out, written{name, r})
		}
	case c.outcome == refused:
		out = append(out, written{c.name, c.stood})
	case c.outcome == taken:
		out = append(out, written{c.name, c.wanted})
	}
	return out
}

// allNames stands for all records of a key.
const allNames = -1

// onRecord is what a call says of one record, or of all; nil: nothing.
func (c *call) onRecord(name int) *call {
	switch {
	case name == allNames || !c.read && c.name == name:
		return c
	case !c.read:
		return nil
	}
	one := *c
	one.all = keyState{}
	one.all[name] = c.all[name]
	return &one
}

// history is what was called and answered, key by key. Its clock counts questions and answers;
// the world is sequential, so that is their real order.
type history struct {
	clock int64
	calls map[string][]*porcupine.Operation
}

// open is the time of an answer that has not come.
const open = math.MaxInt64

// begin notes a call's question; the function that it returns notes the answer.
func (h *history) begin(key string, c *call) (answered func()) {
	if h.calls == nil {
		h.calls = map[string][]*porcupine.Operation{}
	}
	h.clock++
	op := &porcupine.Operation{Input: c, Call: h.clock, Return: open}
	h.calls[key] = append(h.calls[key], op)
	return func() {
		h.clock++
		op.Return = h.clock
	}
}

// until lists the calls of a key up to a time as they are checked, at most those of one record
// if name isn't allNames. A read without an answer says nothing. A change without one counts if somebody saw it, once for each content, and happened before
// the first who saw it had its answer; so few calls are open at any time.
func (h *history) until(end int64, key string, name int) (out []porcupine.Operation) {
	seen := map[written]int64{} // when the first call that saw it was answered
	var unanswered []porcupine.Operation
	for _, op := range h.calls[key] {
		c := op.Input.(*call).onRecord(name)
		switch {
		case c == nil || op.Call > end:
			continue
		case op.Return > end:
			if !c.read {
				unanswered = append(unanswered, porcupine.Operation{Input: &call{name: c.name, wanted: c.wanted}, Call: op.Call})
			}
			continue
		}
		out = append(out, porcupine.Operation{Input: c, Call: op.Call, Return: op.Return})
		for _, w := range c.shows() {
			if at, ok := seen[w]; !ok || op.Return < at {
				seen[w] = op.Return
			}
		}
	}
	counted := map[written]bool{}
	for _, op := range unanswered {
		c := op.Input.(*call)
		w := written{c.name, c.wanted}
		if at, ok := seen[w]; ok && !counted[w] {
			counted[w] = true
			op.Return = max(at, op.Call)
			out = append(out, op)
		}
	}
	if name != allNames {
		return thin(out, name)
	}
	return out
}

// thin leaves out calls on one record that decide nothing. All that saw one content come after
// whoever wrote it and before what replaced it, since generations only rise; so of these the
// one that was answered first and the one that was asked last stand for the others.
func thin(ops []porcupine.Operation, name int) (out []porcupine.Operation) {
	type group struct{ writer, first, last *porcupine.Operation }
	groups := map[register]*group{}
	for i := range ops {
		op, c := &ops[i], ops[i].Input.(*call)
		if !c.possible() {
			return ops // it is wrong whatever the others say
		}
		saw := c.sees(name)
		g := groups[saw]
		if g == nil {
			g = &group{}
			groups[saw] = g
		}
		if !c.read && c.outcome != refused && (g.writer == nil || op.Call < g.writer.Call) {
			g.writer = op
		}
		if c.outcome == unknown && !c.read {
			continue
		}
		if g.first == nil || op.Return < g.first.Return {
			g.first = op
		}
		if g.last == nil || op.Call > g.last.Call {
			g.last = op
		}
	}
	for _, g := range groups {
		kept := []*porcupine.Operation{g.writer, g.first, g.last}
		for i, op := range kept {
			if op != nil && !slices.Contains(kept[:i], op) {
				out = append(out, *op)
			}
		}
	}
	return out
}

// sees is the content of a record that stands as a call ends.
func (c *call) sees(name int) register {
	switch {
	case c.read:
		return c.all[name]
	case c.outcome == refused:
		return c.stood
	}
	return c.wanted
}

// possible says whether a call's outcome could be right at all.
func (c *call) possible() bool {
	return c.read || c.outcome != refused || c.stood.gen >= c.wanted.gen && c.stood != c.wanted
}

// Bounds of the check of one record. Sound histories take milliseconds.
const (
	checkTime   = 20 * time.Second
	explainTime = 2 * time.Second // of one step on the way to the first answer that can't be
)

// check says what is wrong with the history; empty: nothing. Each record is checked by itself,
// since for whole keys the search takes too long; what reads show of records together has a
// check of its own.
func (h *history) check() string {
	for key := range h.calls {
		for name := range names {
			if why := h.checkRecord(key, name); why != "" {
				return fmt.Sprintf("%s/%s: %s", key, names[name], why)
			}
		}
		if why := h.checkSnapshots(key); why != "" {
			return fmt.Sprintf("%s: %s", key, why)
		}
	}
	return ""
}

func (h *history) checkRecord(key string, name int) string {
	ops := h.until(h.clock, key, name)
	switch porcupine.CheckOperationsTimeout(keyModel, ops, checkTime) {
	case porcupine.Ok:
		return ""
	case porcupine.Illegal:
		return fmt.Sprintf("%d calls are not linearizable; the last ones up to there: %v", len(ops), h.lastCalls(key, name))
	}
	return fmt.Sprintf("whether %d calls are linearizable was not found out in %v; the last ones up to where it takes long: %v", len(ops), checkTime, h.lastCalls(key, name))
}

// checkSnapshots checks what reads show of several records together: that all of them fit
// into one order, in which records only rise, and that whoever sees a change of one record
// sees what had been acknowledged of the others before that change was asked for.
func (h *history) checkSnapshots(key string) string {
	var reads []*call
	asked := map[written]int64{}                  // when a content was first asked for
	acked := [len(keyState{})][]acknowledgement{} // by record, in the order of time, rising
	ops := h.until(h.clock, key, allNames)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	for _, op := range ops {
		c := op.Input.(*call)
		if c.read {
			reads = append(reads, c)
			continue
		}
		w := written{c.name, c.wanted}
		if at, ok := asked[w]; !ok || op.Call < at {
			asked[w] = op.Call
		}
		if list := acked[c.name]; c.outcome == taken && (len(list) == 0 || list[len(list)-1].gen < c.wanted.gen) {
			acked[c.name] = append(list, acknowledgement{op.Return, c.wanted.gen})
		}
	}
	for _, c := range reads {
		var last int64
		for name, r := range c.all {
			last = max(last, asked[written{name, r}])
		}
		for name, list := range acked {
			before := sort.Search(len(list), func(i int) bool { return list[i].at >= last })
			if before > 0 && list[before-1].gen > c.all[name].gen {
				return fmt.Sprintf("a %v sees a change and not what was acknowledged before it: %s=%d", c, names[name], list[before-1].gen)
			}
		}
	}
	slices.SortFunc(reads, func(a, b *call) int { return cmp.Compare(a.generations(), b.generations()) })
	for i := 1; i < len(reads); i++ {
		for name, r := range reads[i-1].all {
			if r.gen > reads[i].all[name].gen {
				return fmt.Sprintf("no order has both a %v and a %v", reads[i-1], reads[i])
			}
		}
	}
	return ""
}

// acknowledgement is when a generation was acknowledged.
type acknowledgement struct {
	at  int64
	gen uint64
}

// generations sums up what a read shows; of two reads that fit into one order the later one
// shows more.
func (c *call) generations() (sum uint64) {
	for _, r := range c.all {
		sum += r.gen
	}
	return sum
}

// lastCalls are the calls that were answered up to the first answer that can't be.
func (h *history) lastCalls(key string, name int) (out []*call) {
	bad := int64(sort.Search(int(h.clock), func(end int) bool {
		return porcupine.CheckOperationsTimeout(keyModel, h.until(int64(end), key, name), explainTime) != porcupine.Ok
	}))
	ops := h.until(bad, key, name)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	for _, op := range ops[max(0, len(ops)-8):] {
		out = append(out, op.Input.(*call))
	}
	return out
}

// change notes a change that is asked for; the function that it returns notes what came of it.
func (h *history) change(key, name string, version uint64, data string) func(stands Record, err error) {
	c := &call{name: slices.Index(names, name), wanted: register{version, data}}
	answered := h.begin(key, c)
	return func(stands Record, err error) {
		switch {
		case err == nil:
			c.outcome = taken
		case errors.Is(err, errConflict):
			c.outcome, c.stood = refused, register{stands.Gen, string(stands.Data)}
		default:
			return
		}
		answered()
	}
}

// reads notes a read; the function that it returns notes what it brought.
func (h *history) reads(key string) func(map[string]Record) {
	c := &call{read: true}
	answered := h.begin(key, c)
	return func(got map[string]Record) {
		c.all = stateOfKey(got)
		answered()
	}
}

func stateOfKey(records map[string]Record) (s keyState) {
	for i, name := range names {
		s[i] = register{records[name].Gen, string(records[name].Data)}
	}
	return s
}

// The check finds what it is there for.
func TestHistoriesThatAreNotLinearizable(t *testing.T) {
	a, b, c := register{1, "a"}, register{1, "b"}, register{2, "c"}
	change := func(r register, what outcome, stood register) *call {
		return &call{wanted: r, outcome: what, stood: stood}
	}
	none := register{}
	read := func(r ...register) *call {
		c := &call{read: true}
		copy(c.all[:], r)
		return c
	}
	second := func(r register) *call { return &call{name: 1, wanted: r, outcome: taken} }
	// Each string names calls by their letters, "(" being the question and ")" the answer.
	for name, x := range map[string]struct {
		order string
		calls map[rune]*call
		fine  bool
	}{
		"one after the other":                    {"xxyyzz", map[rune]*call{'x': change(a, taken, none), 'y': change(c, taken, none), 'z': read(c)}, true},
		"two contents under one generation":      {"xyxy", map[rune]*call{'x': change(a, taken, none), 'y': change(b, taken, none)}, false},
		"the second is refused":                  {"xyxy", map[rune]*call{'x': change(a, taken, none), 'y': change(b, refused, a)}, true},
		"it is refused for what came later":      {"yyxx", map[rune]*call{'x': change(a, taken, none), 'y': change(b, refused, a)}, false},
		"refused, though its own content stands": {"xxyy", map[rune]*call{'x': change(a, taken, none), 'y': change(a, refused, a)}, false},
		"reads see two records in two orders": {"xyzwxyzw", map[rune]*call{'x': change(a, taken, none), 'y': second(b),
			'z': read(a, none), 'w': read(none, b)}, false},
		"reads see two records in one order": {"xyzwxyzw", map[rune]*call{'x': change(a, taken, none), 'y': second(b),
			'z': read(a, none), 'w': read(a, b)}, true},
		"a read sees the later of two records only": {"zxxyyz", map[rune]*call{'x': change(a, taken, none), 'y': second(b),
			'z': read(none, b)}, false},
		"a lost change":                                {"xxzz", map[rune]*call{'x': change(a, taken, none), 'z': read(none)}, false},
		"a read leaves out a change beside it":         {"zxxz", map[rune]*call{'x': change(a, taken, none), 'z': read(none)}, true},
		"and the next one after it does too":           {"zxxzww", map[rune]*call{'x': change(a, taken, none), 'z': read(none), 'w': read(none)}, false},
		"a read goes back":                             {"xzzwwx", map[rune]*call{'x': change(a, taken, none), 'z': read(a), 'w': read(none)}, false},
		"a change without an answer is seen":           {"xzz", map[rune]*call{'x': change(a, unknown, none), 'z': read(a)}, true},
		"it is not seen":                               {"xzz", map[rune]*call{'x': change(a, unknown, none), 'z': read(none)}, true},
		"it is seen, and then it is not":               {"xzzww", map[rune]*call{'x': change(a, unknown, none), 'z': read(a), 'w': read(none)}, false},
		"it is seen before it was asked for":           {"zzx", map[rune]*call{'x': change(a, unknown, none), 'z': read(a)}, false},
		"a rival takes the place of a lost change":     {"xyyww", map[rune]*call{'x': change(a, unknown, none), 'y': change(b, taken, none), 'w': read(b)}, true},
		"a rival takes the place of one that was seen": {"xzzyyww", map[rune]*call{'x': change(a, unknown, none), 'z': read(a), 'y': change(b, taken, none), 'w': read(b)}, false},
	} {
		h := &history{}
		answers := map[rune]func(){}
		for _, r := range x.order {
			if answered, begun := answers[r]; begun {
				answered()
			} else {
				answers[r] = h.begin(testKey, x.calls[r])
			}
		}
		if why := h.check(); (why == "") != x.fine {
			t.Errorf("%s: %q", name, why)
		}
	}
}
