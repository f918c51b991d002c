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

// This file holds the history of operators' calls and the check that it is linearizable: that each
// call could have taken effect at one moment between its request and its reply.

// recordValue is a record as operators see it.
type recordValue struct {
	gen  uint64
	data string
}

// partitionState holds all records of a partition, in the order of recordNames.
type partitionState [7]recordValue

// outcome is the outcome of a call.
type outcome int

const (
	unknown outcome = iota // no reply, or one that leaves open whether the change was made
	accepted
	refused // another content is stored under that generation, or a higher generation is
)

// operatorCall is an operator's call: a change of one record, or a read of all.
type operatorCall struct {
	read      bool
	nameIndex int // index into recordNames
	proposed  recordValue

	outcome outcome
	stored  recordValue    // of a refused change: the stored value
	records partitionState // of a read: the result
}

func (c *operatorCall) String() string {
	if c.read {
		return fmt.Sprintf("read: %v", c.records)
	}
	return fmt.Sprintf("%s=%v: %v, stored %v", recordNames[c.nameIndex], c.proposed, [...]string{"unknown", "accepted", "refused"}[c.outcome], c.stored)
}

// apply is the sequential specification: whether a call can have this outcome in a state, and the
// state after it.
func (c *operatorCall) apply(s partitionState) (bool, partitionState) {
	if c.read {
		return s == c.records, s
	}
	stored := s[c.nameIndex]
	newer := stored.gen < c.proposed.gen
	switch {
	case c.outcome == refused:
		return !newer && stored != c.proposed && stored == c.stored, s
	case newer:
		s[c.nameIndex] = c.proposed
		return true, s
	}
	return c.outcome == unknown || stored == c.proposed, s
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

// writtenContents returns the contents that an answered call proves to have been written.
func (c *operatorCall) writtenContents() (out []writtenContent) {
	switch {
	case c.read:
		for name, r := range c.records {
			out = append(out, writtenContent{name, r})
		}
	case c.outcome == refused:
		out = append(out, writtenContent{c.nameIndex, c.stored})
	case c.outcome == accepted:
		out = append(out, writtenContent{c.nameIndex, c.proposed})
	}
	return out
}

// allNames stands for all records of a partition.
const allNames = -1

// restrictTo returns the part of a call that concerns one record, or all; nil if none does.
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

// history holds the calls and replies of each partition. Its clock counts requests and replies; the
// simulation is sequential, so that is their real order.
type history struct {
	clock int64
	calls map[string][]*porcupine.Operation
}

// unanswered is the time of a reply that has not arrived.
const unanswered = math.MaxInt64

// begin records a call's request; the function that it returns records the reply.
func (h *history) begin(partition string, c *operatorCall) (answered func()) {
	if h.calls == nil {
		h.calls = map[string][]*porcupine.Operation{}
	}
	h.clock++
	op := &porcupine.Operation{Input: c, Call: h.clock, Return: unanswered}
	h.calls[partition] = append(h.calls[partition], op)
	return func() {
		h.clock++
		op.Return = h.clock
	}
}

// callsUntil returns the calls of a partition up to a time in the form in which they are checked,
// restricted to one record unless name is allNames. A read without a reply is left out. A change
// without a reply counts only if an answered call saw its content, once for each content, and is
// taken to end at the first such reply; so few calls are open at any time.
func (h *history) callsUntil(end int64, partition string, name int) (out []porcupine.Operation) {
	seen := map[writtenContent]int64{} // when the first call that saw it was answered
	var unanswered []porcupine.Operation
	for _, op := range h.calls[partition] {
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

// dropRedundant leaves out calls on one record that don't affect the result. All calls that saw one
// content come after the call that wrote it and before the one that replaced it, since generations
// only rise; so the one that was answered first and the one that was requested last represent the
// others.
func dropRedundant(ops []porcupine.Operation, name int) (out []porcupine.Operation) {
	type group struct{ writer, first, last *porcupine.Operation }
	groups := map[recordValue]*group{}
	for i := range ops {
		op, c := &ops[i], ops[i].Input.(*operatorCall)
		if !c.isPossible() {
			return ops // the history is wrong whatever the other calls are
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

// endContent returns the content that a record has when a call takes effect.
func (c *operatorCall) endContent(name int) recordValue {
	switch {
	case c.read:
		return c.records[name]
	case c.outcome == refused:
		return c.stored
	}
	return c.proposed
}

// isPossible reports whether a call's outcome is possible in any state.
func (c *operatorCall) isPossible() bool {
	return c.read || c.outcome != refused || c.stored.gen >= c.proposed.gen && c.stored != c.proposed
}

// Time limits for the check of one record. Linearizable histories take milliseconds.
const (
	checkTime   = 20 * time.Second
	explainTime = 2 * time.Second // for each step of the search for the first impossible answer
)

// check returns what is wrong with the history; empty if nothing is. Each record is checked by
// itself, since the search takes too long for whole partitions; checkSnapshots checks what reads
// show of several records.
func (h *history) check() string {
	for partition := range h.calls {
		for name := range recordNames {
			if problem := h.checkRecord(partition, name); problem != "" {
				return fmt.Sprintf("%s/%s: %s", partition, recordNames[name], problem)
			}
		}
		if problem := h.checkSnapshots(partition); problem != "" {
			return fmt.Sprintf("%s: %s", partition, problem)
		}
	}
	return ""
}

func (h *history) checkRecord(partition string, name int) string {
	ops := h.callsUntil(h.clock, partition, name)
	switch porcupine.CheckOperationsTimeout(partitionModel, ops, checkTime) {
	case porcupine.Ok:
		return ""
	case porcupine.Illegal:
		return fmt.Sprintf("%d calls are not linearizable; the last ones up to the first impossible answer: %v", len(ops), h.lastCalls(partition, name))
	}
	return fmt.Sprintf("the check whether %d calls are linearizable did not finish in %v; the last ones up to where it takes long: %v", len(ops), checkTime, h.lastCalls(partition, name))
}

// checkSnapshots checks what reads show of several records together: that all reads fit into one
// order in which generations only rise, and that a read that sees a change of one record also sees
// what had been acknowledged of the others before that change was requested.
func (h *history) checkSnapshots(partition string) string {
	var reads []*operatorCall
	asked := map[writtenContent]int64{}                        // when a content was first proposed
	acknowledged := [len(partitionState{})][]acknowledgement{} // by record, in order of time, with rising generations
	ops := h.callsUntil(h.clock, partition, allNames)
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

// generations returns the sum of the generations that a read shows. Of two reads that fit into one
// order the later one has the higher sum.
func (c *operatorCall) generations() (sum uint64) {
	for _, r := range c.records {
		sum += r.gen
	}
	return sum
}

// lastCalls returns the last calls answered up to the first impossible answer.
func (h *history) lastCalls(partition string, name int) (out []*operatorCall) {
	end := int64(sort.Search(int(h.clock), func(end int) bool {
		return porcupine.CheckOperationsTimeout(partitionModel, h.callsUntil(int64(end), partition, name), explainTime) != porcupine.Ok
	}))
	ops := h.callsUntil(end, partition, name)
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	for _, op := range ops[max(0, len(ops)-8):] {
		out = append(out, op.Input.(*operatorCall))
	}
	return out
}

// recordChange records the request of a change; the function that it returns records the outcome.
func (h *history) recordChange(partition, name string, version uint64, data string) func(stored Record, err error) {
	c := &operatorCall{nameIndex: slices.Index(recordNames, name), proposed: recordValue{version, data}}
	answered := h.begin(partition, c)
	return func(stored Record, err error) {
		switch {
		case err == nil:
			c.outcome = accepted
		case errors.Is(err, errConflict):
			c.outcome, c.stored = refused, recordValue{stored.Gen, string(stored.Data)}
		default:
			return
		}
		answered()
	}
}

// recordRead records the request of a read; the function that it returns records the result.
func (h *history) recordRead(partition string) func(map[string]Record) {
	c := &operatorCall{read: true}
	answered := h.begin(partition, c)
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

// The check accepts linearizable histories and rejects others.
func TestHistoryCheck(t *testing.T) {
	a, b, c := recordValue{1, "a"}, recordValue{1, "b"}, recordValue{2, "c"}
	change := func(r recordValue, what outcome, stored recordValue) *operatorCall {
		return &operatorCall{proposed: r, outcome: what, stored: stored}
	}
	none := recordValue{}
	read := func(r ...recordValue) *operatorCall {
		c := &operatorCall{read: true}
		copy(c.records[:], r)
		return c
	}
	second := func(r recordValue) *operatorCall { return &operatorCall{nameIndex: 1, proposed: r, outcome: accepted} }
	// In each order string the first occurrence of a letter is the request of that call and the second
	// one its reply.
	for name, tc := range map[string]struct {
		order string
		calls map[rune]*operatorCall
		valid bool
	}{
		"sequential changes":                         {"xxyyzz", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(c, accepted, none), 'z': read(c)}, true},
		"two contents under one generation":          {"xyxy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, accepted, none)}, false},
		"the second content is refused":              {"xyxy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, refused, a)}, true},
		"refused because of a later change":          {"yyxx", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(b, refused, a)}, false},
		"refused although its own content is stored": {"xxyy", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': change(a, refused, a)}, false},
		"reads see two records in two orders": {"xyzwxyzw", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(a, none), 'w': read(none, b)}, false},
		"reads see two records in one order": {"xyzwxyzw", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(a, none), 'w': read(a, b)}, true},
		"a read sees only the later of two changes": {"zxxyyz", map[rune]*operatorCall{'x': change(a, accepted, none), 'y': second(b),
			'z': read(none, b)}, false},
		"a lost change":                                   {"xxzz", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none)}, false},
		"a read misses a concurrent change":               {"zxxz", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none)}, true},
		"a read after the change misses it too":           {"zxxzww", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(none), 'w': read(none)}, false},
		"a read goes back":                                {"xzzwwx", map[rune]*operatorCall{'x': change(a, accepted, none), 'z': read(a), 'w': read(none)}, false},
		"a change without an answer is seen":              {"xzz", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a)}, true},
		"a change without an answer is not seen":          {"xzz", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(none)}, true},
		"a change without an answer is seen and then not": {"xzzww", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a), 'w': read(none)}, false},
		"a change is seen before its request":             {"zzx", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a)}, false},
		"another content replaces a change that was lost": {"xyyww", map[rune]*operatorCall{'x': change(a, unknown, none), 'y': change(b, accepted, none), 'w': read(b)}, true},
		"another content replaces one that was seen":      {"xzzyyww", map[rune]*operatorCall{'x': change(a, unknown, none), 'z': read(a), 'y': change(b, accepted, none), 'w': read(b)}, false},
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
		if problem := h.check(); (problem == "") != tc.valid {
			t.Errorf("%s: %q", name, problem)
		}
	}
}
