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
	rewrite bool
}

func (n *node) apply(p *pendingWrite) {
	if p.rewrite {
		n.disk = replicationtest.Disk{}
	}
	n.disk.Apply(p.entries)
}

func (sim *cluster) write(n *node, runID int, p *pendingWrite, id uint64) {
	took := time.Duration(1+sim.rng.Intn(3)) * time.Millisecond
	n.diskBusyUntil = max(n.diskBusyUntil, sim.now, n.stalledUntil) + took
	n.pendingWrites = append(n.pendingWrites, p)
	sim.after(n.diskBusyUntil-sim.now, func() { sim.writeDone(n, runID, p, id) })
}

func (sim *cluster) writeDone(n *node, runID int, p *pendingWrite, id uint64) {
	if !n.up || n.runID != runID {
		return
	}
	if n.stalledUntil > sim.now {
		sim.after(n.stalledUntil-sim.now, func() { sim.writeDone(n, runID, p, id) })
		return
	}
	n.pendingWrites = n.pendingWrites[1:]
	if n.writesToRefuse > 0 || n.diskFailed && !p.rewrite {
		// After a refused write the disk accepts only the whole state.
		first := !n.diskFailed || p.rewrite
		n.diskFailed, n.writesToRefuse = true, max(n.writesToRefuse-1, 0)
		if first {
			sim.after(testHeartbeat/2, func() { sim.runOn(n.id, runID, func() { n.replica.Failed(sim.clock(n)) }) })
		}
		return
	}
	n.diskFailed = false
	n.apply(p)
	sim.runOn(n.id, runID, func() { n.replica.Durable(sim.clock(n), id) })
}

func (sim *cluster) machinesWithCopy(name string, v uint64) (ids []string) {
	for _, id := range sim.ids {
		var r storedRecord
		if b := sim.nodes[id].disk[recordPrefix+testPartition+"/"+name]; b != nil && unmarshal(b, &r) && r.Record.Gen >= v {
			ids = append(ids, id)
		}
	}
	return ids
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }
