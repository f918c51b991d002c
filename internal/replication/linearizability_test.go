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

// recordValue is one record as an operator sees it.
type recordValue struct {
	gen  uint64
	data string
}

// partitionState is all records of a key, in the order of names.
type partitionState [7]recordValue

// outcome is what came of a call.
type outcome int

const (
	unknown outcome = iota // no answer, or none that says whether it was carried out
	accepted
	refused // another content stands under that generation, or a higher one
)

// operatorCall is an operator's operatorCall: a change of one record, or a read of all.
type operatorCall struct {
	read      bool
	nameIndex int // index into names
	proposed  recordValue

	outcome outcome
	current recordValue    // for a change that was refused: what stands
	records partitionState // for a read: what it brought
}

func (c *operatorCall) String() string {
	if c.read {
		return fmt.Sprintf("read: %v", c.records)
	}
	return fmt.Sprintf("%s=%v: %v, stands %v", recordNames[c.nameIndex], c.proposed, [...]string{"unknown", "taken", "refused"}[c.outcome], c.current)
}

// apply is the sequential specification: what a call does to a key, and whether it could
// have had this outcome there.
func (c *operatorCall) apply(s partitionState) (bool, partitionState) {
	if c.read {
		return s == c.records, s
	}
	stands := s[c.nameIndex]
	newer := stands.gen < c.proposed.gen
	switch {
	case c.outcome == refused:
		return !newer && stands != c.proposed && stands == c.current, s
	case newer:
		s[c.nameIndex] = c.proposed
		return true, s
	}
	return c.outcome == unknown || stands == c.proposed, s
}

var partitionModel = porcupine.Model{
	Init: func() any { return partitionState{} },
	Step: func(state, input, _ any) (bool, any) { return input.(*operatorCall).apply(state.(partitionState)) },
}

// writtenContent is a content of one record.
type writtenContent struct {
	name int
	r    recordValue
}

// writtenContents lists what a call with an answer writtenContents to have been written.
func (c *operatorCall) writtenContents() (out []writtenContent) {
	switch {
	case c.read:
		for name, r := range c.records {
			out = append(out, writtenContent{name, r})
		}
	case c.outcome == refused:
		out = append(out, writtenContent{c.nameIndex, c.current})
	case c.outcome == accepted:
		out = append(out, writtenContent{c.nameIndex, c.proposed})
	}
	return out
}

// allNames stands for all records of a key.
const allNames = -1

// restrictTo is what a call says of one record, or of all; nil: nothing.
func (c *operatorCall) restrictTo(name int) *operatorCall {
	switch {
	case name == allNames || !c.read && c.nameIndex == name:
		return c
	case !c.read:
		return nil
	}
	one := *c
	one.records = partitionState{}
	one.records[name] = c.records[name]
	return &one
}

// history is what was called and answered, key by key. Its clock counts questions and answers;
// the world is sequential, so that is their real order.
type history struct {
	clock int64
	calls map[string][]*porcupine.Operation
}

// unanswered is the time of an answer that has not come.
const unanswered = math.MaxInt64

// begin notes a call's question; the function that it returns notes the answer.
func (h *history) begin(key string, c *operatorCall) (answered func()) {
	if h.calls == nil {
		h.calls = map[string][]*porcupine.Operation{}
	}
	h.clock++
	op := &porcupine.Operation{Input: c, Call: h.clock, Return: unanswered}
	h.calls[key] = append(h.calls[key], op)
	return func() {
		h.clock++
		op.Return = h.clock
	}
}

// callsUntil lists the calls of a key up to a time as they are checked, at most those of one record
// if name isn't allNames. A read without an answer says nothing. A change without one counts if somebody saw it, once for each content, and happened before
// the first who saw it had its answer; so few calls are open at any time.
func (h *history) callsUntil(end int64, key string, name int) (out []porcupine.Operation) {
	seen := map[writtenContent]int64{} // when the first call that saw it was answered
	var unanswered []porcupine.Operation
	for _, op := range h.calls[key] {
		c := op.Input.(*operatorCall).restrictTo(name)
		switch {
		case c == nil || op.Call > end:
			continue
		case op.Return > end:
			if !c.read {
				unanswered = append(unanswered, porcupine.Operation{Input: &operatorCall{nameIndex: c.nameIndex, proposed: c.proposed}, Call: op.Call})
			}
			continue
		}
		out = append(out, porcupine.Operation{Input: c, Call: op.Call, Return: op.Return})
		for _, content := range c.writtenContents() {
			if seenAt, ok := seen[content]; !ok || op.Return < seenAt {
				seen[content] = op.Return
			}
		}
	}
	counted := map[writtenContent]bool{}
	for _, op := range unanswered {
		c := op.Input.(*operatorCall)
		w := writtenContent{c.nameIndex, c.proposed}
		if at, ok := seen[w]; ok && !counted[w] {
			counted[w] = true
			op.Return = max(at, op.Call)
			out = append(out, op)
		}
	}
	if name != allNames {
		return dropRedundant(out, name)
	}
	return out
}

// dropRedundant leaves out calls on one record that decide nothing. All that saw one content come after
// whoever wrote it and before what replaced it, since generations only rise; so of these the
// one that was answered first and the one that was asked last stand for the others.
func dropRedundant(ops []porcupine.Operation, name int) (out []porcupine.Operation) {
	type group struct{ writer, first, last *porcupine.Operation }
	groups := map[recordValue]*group{}
	for i := range ops {
		op, c := &ops[i], ops[i].Input.(*operatorCall)
		if !c.isPossible() {
			return ops // it is wrong whatever the others say
		}
		saw := c.endContent(name)
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

// endContent is the content of a record that stands as a call ends.
func (c *operatorCall) endContent(name int) recordValue {
	switch {
	case c.read:
		return c.records[name]
	case c.outcome == refused:
		return c.current
	}
	return c.proposed
}

// isPossible says whether a call's outcome could be right at all.
func (c *operatorCall) isPossible() bool {
	return c.read || c.outcome != refused || c.current.gen >= c.proposed.gen && c.current != c.proposed
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
		for name := range recordNames {
			if why := h.checkRecord(key, name); why != "" {
				return fmt.Sprintf("%s/%s: %s", key, recordNames[name], why)
			}
		}
		if why := h.checkSnapshots(key); why != "" {
			return fmt.Sprintf("%s: %s", key, why)
		}
	}
	return ""
}

func (h *history) checkRecord(key string, name int) string {
	ops := h.callsUntil(h.clock, key, name)
	switch porcupine.CheckOperationsTimeout(partitionModel, ops, checkTime) {
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
	var reads []*operatorCall
	asked := map[writtenContent]int64{}                        // when a content was first asked for
	acknowledged := [len(partitionState{})][]acknowledgement{} // by record, in the order of time, rising
	ops := h.callsUntil(h.clock, key, allNames)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	for _, op := range ops {
		c := op.Input.(*operatorCall)
		if c.read {
			reads = append(reads, c)
			continue
		}
		content := writtenContent{c.nameIndex, c.proposed}
		if at, ok := asked[content]; !ok || op.Call < at {
			asked[content] = op.Call
		}
		if list := acknowledged[c.nameIndex]; c.outcome == accepted && (len(list) == 0 || list[len(list)-1].gen < c.proposed.gen) {
			acknowledged[c.nameIndex] = append(list, acknowledgement{op.Return, c.proposed.gen})
		}
	}
	for _, c := range reads {
		var last int64
		for name, r := range c.records {
			last = max(last, asked[writtenContent{name, r}])
		}
		for name, list := range acknowledged {
			before := sort.Search(len(list), func(i int) bool { return list[i].at >= last })
			if before > 0 && list[before-1].gen > c.records[name].gen {
				return fmt.Sprintf("a %v sees a change and not what was acknowledged before it: %s=%d", c, recordNames[name], list[before-1].gen)
			}
		}
	}
	slices.SortFunc(reads, func(a, b *operatorCall) int { return cmp.Compare(a.generations(), b.generations()) })
	for i := 1; i < len(reads); i++ {
		for name, r := range reads[i-1].records {
			if r.gen > reads[i].records[name].gen {
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
func (c *operatorCall) generations() (sum uint64) {
	for _, r := range c.records {
		sum += r.gen
	}
	return sum
}

// lastCalls are the calls that were answered up to the first answer that can't be.
func (h *history) lastCalls(key string, name int) (out []*operatorCall) {
	bad := int64(sort.Search(int(h.clock), func(end int) bool {
		return porcupine.CheckOperationsTimeout(partitionModel, h.callsUntil(int64(end), key, name), explainTime) != porcupine.Ok
	}))
	ops := h.callsUntil(bad, key, name)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	for _, op := range ops[max(0, len(ops)-8):] {
		out = append(out, op.Input.(*operatorCall))
	}
	return out
}

// recordChange notes a recordChange that is asked for; the function that it returns notes what came of it.
func (h *history) recordChange(key, name string, version uint64, data string) func(stands Record, err error) {
	c := &operatorCall{nameIndex: slices.Index(recordNames, name), proposed: recordValue{version, data}}
	answered := h.begin(key, c)
	return func(stands Record, err error) {
		switch {
		case err == nil:
			c.outcome = accepted
		case errors.Is(err, errConflict):
			c.outcome, c.current = refused, recordValue{stands.Gen, string(stands.Data)}
		default:
			return
		}
		answered()
	}
}

// recordRead notes a read; the function that it returns notes what it brought.
func (h *history) recordRead(key string) func(map[string]Record) {
	c := &operatorCall{read: true}
	answered := h.begin(key, c)
	return func(got map[string]Record) {
		c.records = stateOfPartition(got)
		answered()
	}
}

func stateOfPartition(records map[string]Record) (s partitionState) {
	for i, name := range recordNames {
		s[i] = recordValue{records[name].Gen, string(records[name].Data)}
	}
	return s
}

// The check finds what it is there for.
func TestHistoryCheck(t *testing.T) {
	a, b, c := recordValue{1, "a"}, recordValue{1, "b"}, recordValue{2, "c"}
	change := func(r recordValue, what outcome, stood recordValue) *operatorCall {
		return &operatorCall{proposed: r, outcome: what, current: stood}
	}
	none := recordValue{}
	read := func(r ...recordValue) *operatorCall {
		c := &operatorCall{read: true}
		copy(c.records[:], r)
		return c
	}
	second := func(r recordValue) *operatorCall { return &operatorCall{nameIndex: 1, proposed: r, outcome: accepted} }
	// Each string names calls by their letters, "(" being the question and ")" the answer.
	for name, tc := range map[string]struct {
		order string
		calls map[rune]*operatorCall
		fine  bool
	}{
		"one after the other":                    {"xxyyzz", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(c, accepted, none), 'z': read(c)}, true},
		"two contents under one generation":      {"xyxy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, accepted, none)}, false},
		"the second is refused":                  {"xyxy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, refused, a)}, true},
		"it is refused for what came later":      {"yyxx", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, refused, a)}, false},
		"refused, though its own content stands": {"xxyy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(a, refused, a)}, false},
		"reads see two records in two orders": {"xyzwxyzw", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(a, none), 'w': read(none, b)}, false},
		"reads see two records in one order": {"xyzwxyzw", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(a, none), 'w': read(a, b)}, true},
		"a read sees the later of two records only": {"zxxyyz", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(none, b)}, false},
		"a lost change":                                {"xxzz", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none)}, false},
		"a read leaves out a change beside it":         {"zxxz", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none)}, true},
		"and the next one after it does too":           {"zxxzww", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none), 'w': read(none)}, false},
		"a read goes back":                             {"xzzwwx", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(a), 'w': read(none)}, false},
		"a change without an answer is seen":           {"xzz", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a)}, true},
		"it is not seen":                               {"xzz", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(none)}, true},
		"it is seen, and then it is not":               {"xzzww", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a), 'w': read(none)}, false},
		"it is seen before it was asked for":           {"zzx", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a)}, false},
		"a rival takes the place of a lost change":     {"xyyww", map[rune]*operatorCall{'x': change(a, unknown, none), 'y': change(b, accepted, none), 'w': read(b)}, true},
		"a rival takes the place of one that was seen": {"xzzyyww", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a), 'y': change(b, accepted, none), 'w': read(b)}, false},
	} {
		h := &history{}
		answers := map[rune]func(){}
		for _, r := range tc.order {
			if answered, begun := answers[r]; begun {
				answered()
			} else {
				answers[r] = h.begin(testPartition, tc.calls[r])
			}
		}
		if why := h.check(); (why == "") != tc.fine {
			t.Errorf("%s: %q", name, why)
		}
	}
}
