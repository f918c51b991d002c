package replication

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/storage"
)

// world is a simulated set of members: a network that delays, reorders, drops,
// repeats and cuts, disks that take time, and processes that crash, freeze, lose
// their disks or are replaced.
type world struct {
	fatal  func(format string, args ...any)
	rng    *rand.Rand
	now    time.Duration
	seq    int
	queue  events
	nodes  map[string]*node
	ids    []string // the machines that are there, and those that are to come back
	cut    map[[2]string]int
	lives  uint64
	keys   []string
	seeds  []string
	extra  bool          // messages are also repeated, seconds later at times
	noisy  time.Duration // messages are lost and late until then
	calm   bool          // none is lost
	prompt bool          // none is late

	faults int
	older  int // every so manieth machine runs a version without heartbeats; 0: none
	zones  map[string]string

	floors  map[string]uint64            // key/name -> the highest version that anybody was told of
	content map[string]string            // key/name/version -> what it is
	truth   map[string]map[string]Record // key -> the newest records that were shown as committed
	truthAt map[string]Position
	begun   map[string]map[Epoch]map[string]Record // key -> owner -> what it began with
	shown   map[string]map[Position]string         // key -> position -> contents
	sent    uint64
	answer  int
	reads   int

	ackedAt []ack
	sures   map[Epoch]time.Duration // until when each owner was sure of itself
	frees   map[Epoch]time.Duration // and until when it took others to have been
	claims  int

	large   bool    // too much to compare at every step
	rate    float64 // bytes a second of each link; 0: no limit
	linkAt  map[[2]string]time.Duration
	bytesTo map[string]int
	drop    func(from string, e Envelope) bool
	onAck   []func()
	calls   history
}

type ack struct {
	name  string
	value uint64
	at    time.Duration
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type node struct {
	id      string
	m       *Replica
	up      bool
	frozen  time.Duration
	disk    map[string][]byte // durable
	pending []*pendingWrite
	life    int
	stall   time.Duration
	diskAt  time.Duration
	lastPos map[string]Position
	owning  map[string]Epoch
	boot    bool
	older   bool // it runs a version without heartbeats
	left    bool // it has said that it goes
	refuse  int
	failed  bool          // its disk has refused a write and takes only the whole state
	born    time.Duration // every process counts time from its own start

	troubles  int           // how many are under way
	badSince  time.Duration // since when it has been down, frozen or cut off
	lostUntil time.Duration // it counts as lost until then
	goes      bool          // it leaves for good
	removed   bool
}

type pendingWrite struct {
	entries []storage.Entry
	whole   bool
}

func (n *node) take(p *pendingWrite) {
	if p.whole {
		n.disk = map[string][]byte{}
	}
	for _, e := range p.entries {
		if e.Value == nil {
			delete(n.disk, e.Key)
		} else {
			n.disk[e.Key] = e.Value
		}
	}
}

func (w *world) clock(n *node) time.Duration { return w.now - n.born }

const testKey = "catalogue"

// Times of the tests, as the settings' bounds have them.
const (
	testBeat    = 500 * time.Millisecond
	testVacant  = 1200 * time.Millisecond
	testCatchUp = 6 * time.Second
)

func emptyWorld(seed int64, faults int) *world {
	return &world{rng: rand.New(rand.NewSource(seed)), faults: faults, zones: map[string]string{}, keys: []string{testKey},
		nodes: map[string]*node{}, cut: map[[2]string]int{}, floors: map[string]uint64{}, content: map[string]string{},
		truth: map[string]map[string]Record{}, truthAt: map[string]Position{}, begun: map[string]map[Epoch]map[string]Record{},
		shown: map[string]map[Position]string{}, sures: map[Epoch]time.Duration{}, frees: map[Epoch]time.Duration{},
		linkAt: map[[2]string]time.Duration{}, bytesTo: map[string]int{}}
}

func newWorld(t *testing.T, seed int64, n int) *world {
	return newWorldOf(t, seed, n, 1, 0)
}

// newWorldOf makes a world of n members in some zones that bears some losses.
func newWorldOf(t *testing.T, seed int64, n, faults, zones int) *world {
	w := emptyWorld(seed, faults)
	w.fatal = t.Fatalf
	w.found(n, zones)
	return w
}

func (w *world) found(n, zones int) {
	for i := 0; i < n; i++ {
		w.add(i+1, zones, true)
	}
	w.seeds = append([]string(nil), w.ids[:min(3, n)]...)
	for _, id := range w.ids {
		w.start(id)
	}
}

// add adds a machine, which is not started yet.
func (w *world) add(i, zones int, boot bool) string {
	id := fmt.Sprintf("10.0.0.%02d:7661", i)
	w.ids = append(w.ids, id)
	if zones > 0 {
		w.zones[id] = fmt.Sprintf("zone-%d", i%zones)
	}
	w.nodes[id] = &node{id: id, disk: map[string][]byte{}, boot: boot, older: w.older > 0 && i%w.older == 0}
	return id
}

func (w *world) at(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, fn})
}

// alive is what a member takes for known of another: silence is noticed after a while.
func (w *world) alive(viewer, o string) bool {
	bad := func(id string) bool {
		n := w.nodes[id]
		return n != nil && (n.removed && !n.up || n.badSince > 0 && w.now-n.badSince > time.Second)
	}
	return !bad(o) && !bad(viewer)
}

func (w *world) start(id string) {
	n := w.nodes[id]
	n.up, n.left, n.failed = true, false, false
	n.badSince = 0
	n.life++
	n.diskAt, n.born, n.pending = 0, w.now, nil
	w.lives++
	n.lastPos, n.owning = map[string]Position{}, map[string]Epoch{}
	cfg := Config{Self: id, Life: w.lives, Identity: w.rng.Uint64() | 1, Seeds: w.seeds, Faults: w.faults,
		Left:  func(o string) bool { return w.nodes[o] != nil && w.nodes[o].left },
		Peers: func() []string { return w.ids },
		Zone:  func(o string) string { return w.zones[o] }, Bootstrap: n.boot, Empty: len(n.disk) == 0, Keys: w.keys,
		Beat: testBeat, Vacant: testVacant, Patience: 900 * time.Millisecond, HandBack: 4 * time.Second, Sure: []string{testKey},
		Alive: func(o string) bool { return w.alive(id, o) }}
	n.boot = false
	m, err := NewReplica(cfg, n.disk)
	if err != nil {
		w.fatal("%v", err)
	}
	n.m = m
	w.tick(id, n.life)
}

func (w *world) tick(id string, life int) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	if n.frozen <= w.now { // a timer doesn't gather what was missed
		w.on(id, life, func() { n.m.Tick(w.clock(n)) })
	}
	w.at(100*time.Millisecond, func() { w.tick(id, life) })
}

// on runs a step of a node and carries out its effects.
func (w *world) on(id string, life int, step func()) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	if n.frozen > w.now {
		// What has gathered is done in any order when it wakes.
		w.at(n.frozen-w.now+time.Duration(1+w.rng.Intn(50))*time.Microsecond, func() { w.on(id, life, step) })
		return
	}
	step()
	w.sure(n)
	w.begins(n)
	fx := n.m.Take()
	for _, e := range fx.Send {
		w.deliver(id, e)
	}
	for _, wr := range fx.Writes {
		w.write(n, life, &pendingWrite{wr.Entries, false}, wr.ID)
	}
	if fx.Rewrite {
		entries, upTo := n.m.Snapshot()
		w.write(n, life, &pendingWrite{entries, true}, upTo)
	}
	for _, key := range fx.Committed {
		w.see(n, key)
	}
}

// begins checks that whoever becomes owner of a key holds all that was ever shown as
// committed in it.
func (w *world) begins(n *node) {
	for name, k := range n.m.keys {
		if k.role != owns {
			continue
		}
		if n.owning[name] == k.mine {
			continue
		}
		n.owning[name] = k.mine
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
		w.begun[name][k.mine] = base
		if w.truthAt[name].Epoch.Less(k.mine) {
			w.holds(fmt.Sprintf("%s, owner of %s in %v,", n.id, name, k.mine), name, base, w.truth[name])
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

func (w *world) write(n *node, life int, p *pendingWrite, id uint64) {
	took := time.Duration(1+w.rng.Intn(3)) * time.Millisecond
	n.diskAt = max(n.diskAt, w.now, n.stall) + took
	n.pending = append(n.pending, p)
	w.at(n.diskAt-w.now, func() { w.wrote(n, life, p, id) })
}

func (w *world) wrote(n *node, life int, p *pendingWrite, id uint64) {
	if !n.up || n.life != life {
		return
	}
	if n.stall > w.now {
		w.at(n.stall-w.now, func() { w.wrote(n, life, p, id) })
		return
	}
	n.pending = n.pending[1:]
	if n.refuse > 0 || n.failed && !p.whole {
		// A disk that has refused a write takes only the whole state.
		first := !n.failed || p.whole
		n.failed, n.refuse = true, max(n.refuse-1, 0)
		if first {
			w.at(testBeat/2, func() { w.on(n.id, life, func() { n.m.Failed(w.clock(n)) }) })
		}
		return
	}
	n.failed = false
	n.take(p)
	w.on(n.id, life, func() { n.m.Durable(w.clock(n), id) })
}

func (w *world) deliver(from string, e Envelope) {
	if w.drop != nil && w.drop(from, e) {
		return
	}
	noisy := w.now < w.noisy
	if w.rng.Intn(50) == 0 && !w.calm || noisy && w.rng.Intn(4) == 0 {
		return
	}
	d := time.Duration(200+w.rng.Intn(1500)) * time.Microsecond
	if w.rng.Intn(40) == 0 && !w.prompt {
		d += time.Duration(w.rng.Intn(600)) * time.Millisecond
	}
	if noisy && w.rng.Intn(4) == 0 {
		d += time.Duration(w.rng.Intn(4000)) * time.Millisecond
	}
	if w.rate > 0 {
		b, err := cbor.Marshal(e.Msg)
		if err != nil {
			w.fatal("%v", err)
		}
		link := [2]string{from, e.To}
		w.bytesTo[e.To] += len(b)
		w.linkAt[link] = max(w.linkAt[link], w.now) + time.Duration(float64(len(b))/w.rate*float64(time.Second))
		d += w.linkAt[link] - w.now
	}
	if sender, to := w.nodes[from], w.nodes[e.To]; sender != nil && to != nil && (sender.older || to.older) {
		// One of them knows neither heartbeats nor the field that offers them.
		if e.Msg.Protocol = 0; to.older && (as[*Heartbeat](e.Msg) != nil || as[*HeartbeatAck](e.Msg) != nil) {
			e.Msg.Body = nil
		}
	}
	arrive := func() {
		if to := w.nodes[e.To]; to != nil && w.cut[[2]string{from, e.To}] == 0 && to.up {
			w.on(e.To, to.life, func() { to.m.Handle(w.clock(to), from, e.Msg) })
		}
	}
	w.at(d, arrive)
	if w.extra && w.rng.Intn(40) == 0 {
		w.at(d+time.Duration(w.rng.Intn(5000))*time.Millisecond, arrive)
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

func sortedRecords(records map[string]Record) []Record {
	s := make([]Record, 0, len(records))
	for _, r := range records {
		s = append(s, r)
	}
	sortRecords(s)
	return s
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

// ask runs a proposal at a node that compares versions as the catalogue does. told
// hears what the node answered and which version stands.
func (w *world) ask(id, key, name string, version uint64, data string, told func(stands uint64, err error)) {
	n := w.nodes[id]
	floor := w.floors[key+"/"+name]
	var stands Record
	answered := w.calls.change(key, name, version, data)
	w.on(id, n.life, func() {
		n.m.Propose(w.clock(n), key, func(have map[string]Record) ([]Record, error) {
			stands = have[name]
			switch {
			case stands.Gen == version && string(stands.Data) == data:
				return nil, nil
			case stands.Gen >= version:
				return nil, errConflict
			}
			// Versions may be skipped, as the catalogue lets them be.
			stands = Record{Name: name, Gen: version, Data: []byte(data)}
			return []Record{stands}, nil
		}, func(err error) {
			answered(stands, err)
			if err == nil || err == errConflict {
				w.observed(id, key, name, floor, stands)
			}
			if err == nil {
				w.answer++
				if key == testKey {
					w.ackedAt = append(w.ackedAt, ack{name, version, w.now})
				}
				for _, fn := range w.onAck {
					// The fault strikes once the answer is out.
					w.at(0, fn)
				}
				w.onAck = nil
			}
			told(stands.Gen, err)
		})
	})
}

var errConflict = fmt.Errorf("another version stands")

// read reads a key at a node.
func (w *world) read(id, key string, told func(error)) {
	n := w.nodes[id]
	floors := map[string]uint64{}
	for _, name := range names {
		if f := w.floors[key+"/"+name]; f > 0 {
			floors[name] = f
		}
	}
	read := w.calls.reads(key)
	w.on(id, n.life, func() {
		n.m.Read(w.clock(n), key, func(err error) {
			if err == nil {
				w.reads++
				got, _, ok := n.m.Committed(key)
				if !ok {
					w.fatal("at %v %s read %s with nothing committed to show", w.now, id, key)
				}
				read(got)
				for _, name := range names {
					w.observed(id, key, name, floors[name], got[name])
				}
			}
			told(err)
		})
	})
}

// names are those of all records that are changed.
var names = []string{"x", "y", "z", "s0", "s1", "s2", "s3"}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 {
		if w.queue[0].at > until {
			break
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

// crash ends a process; wipe takes its disk too. Of the writes under way a first part
// may still be on the disk.
func (w *world) crash(id string, wipe bool) {
	n := w.nodes[id]
	if !n.up {
		if wipe {
			n.disk = map[string][]byte{}
		}
		return
	}
	n.up = false
	n.frozen = min(n.frozen, w.now)
	n.stall = min(n.stall, w.now)
	if n.badSince == 0 {
		n.badSince = w.now
	}
	if wipe {
		n.disk = map[string][]byte{}
		return
	}
	if !n.failed && n.refuse == 0 {
		for _, p := range n.pending[:w.rng.Intn(len(n.pending)+1)] {
			n.take(p)
		}
	}
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }

func sortRecords(s []Record) {
	sort.Slice(s, func(i, j int) bool { return s[i].Name < s[j].Name })
}

// as is the body of a message, if it is of that type; else nil.
func as[B Body](m Message) B {
	b, _ := m.Body.(B)
	return b
}
