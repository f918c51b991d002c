package replication

// This file holds the simulated disks.

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/replication/replicationtest"
	"madderwing/internal/storage"
)

type pendingWrite struct {
	entries []storage.Entry
	whole   bool
}

func (n *node) take(p *pendingWrite) {
	if p.whole {
		n.disk = replicationtest.Disk{}
	}
	n.disk.Apply(p.entries)
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

func (w *world) holders(name string, v uint64) (ids []string) {
	for _, id := range w.ids {
		var r storedRecord
		if b := w.nodes[id].disk[recordPrefix+testKey+"/"+name]; b != nil && unmarshal(b, &r) && r.Record.Gen >= v {
			ids = append(ids, id)
		}
	}
	return ids
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }
