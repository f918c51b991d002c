package replication

// This file holds those who change and read records.

import (
	"fmt"
	"testing"
	"time"
)

// names are those of all records that are changed.
var names = []string{"x", "y", "z", "s0", "s1", "s2", "s3"}

var errConflict = fmt.Errorf("another version stands")

type ack struct {
	name  string
	value uint64
	at    time.Duration
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

// put proposes a value at a node and runs until it is answered.
func (w *world) put(n *node, name string, v uint64) (err error) {
	answered := false
	w.on(n.id, n.life, func() {
		n.m.Propose(w.now, testKey, func(map[string]Record) ([]Record, error) {
			return []Record{{Name: name, Gen: v}}, nil
		}, func(e error) { err, answered = e, true })
	})
	for end := w.now + 3*time.Second; !answered && w.now < end; {
		w.run(w.now + time.Millisecond)
	}
	if !answered {
		return ErrNoQuorum
	}
	return err
}

func (w *world) mustPut(t *testing.T, name string, v uint64) *node {
	t.Helper()
	for i := 0; i < 20; i++ {
		n := w.settle(t)
		if w.put(n, name, v) == nil {
			return n
		}
	}
	t.Fatalf("%s=%d was never acknowledged", name, v)
	return nil
}

// operator sends changes of a key, each with the version after the one it knows, and
// sends each again until it has a clear answer.
func (w *world) operator(name, key string) {
	known := map[string]uint64{}
	count := 0
	var next func()
	var send func(rec string, version uint64, data string)
	send = func(rec string, version uint64, data string) {
		answered := false
		again := func(d time.Duration) {
			if answered {
				return
			}
			answered = true
			w.at(d, func() { send(rec, version, data) })
		}
		n := w.nodes[w.ids[w.rng.Intn(len(w.ids))]]
		to := ""
		if n.up && n.frozen <= w.now {
			if to = n.m.Owner(w.clock(n), key); to == "" {
				to = n.m.Founder(w.clock(n), key)
			}
		}
		if w.operatorsStopped {
			return
		}
		if to == "" || w.nodes[to] == nil {
			again(200 * time.Millisecond)
			return
		}
		lost := w.rng.Intn(10) == 0
		w.ask(to, key, rec, version, data, func(stands uint64, err error) {
			switch {
			case lost || answered:
			case err == nil || err == errConflict:
				answered = true
				known[rec] = stands
				if err == nil && w.rng.Intn(5) == 0 {
					w.at(time.Millisecond, func() { send(rec, version, data) }) // once more
					return
				}
				w.at(time.Duration(50+w.rng.Intn(400))*time.Millisecond, next)
			default:
				again(150 * time.Millisecond)
			}
		})
		w.at(1200*time.Millisecond, func() { again(0) })
	}
	next = func() {
		if w.operatorsStopped {
			return
		}
		if w.rng.Intn(3) == 0 {
			n := w.nodes[w.ids[w.rng.Intn(len(w.ids))]]
			if n.up {
				w.read(n.id, key, func(error) {})
				if o := n.m.Owner(w.clock(n), key); o != "" && w.nodes[o] != nil {
					w.read(o, key, func(error) {})
				}
			}
		}
		count++
		rec := []string{"x", "y", "z"}[w.rng.Intn(3)]
		send(rec, known[rec]+1, fmt.Sprintf("%s.%d", name, count))
	}
	next()
}
