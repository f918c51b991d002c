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

func (n *node) apply(write *pendingWrite) {
	if write.rewrite {
		n.disk = replicationtest.Disk{}
	}
	n.disk.Apply(write.entries)
}

func (sim *cluster) write(n *node, runID int, write *pendingWrite, id uint64) {
	latency := time.Duration(1+sim.rng.Intn(3)) * time.Millisecond
	n.diskBusyUntil = max(n.diskBusyUntil, sim.now, n.stalledUntil) + latency
	n.pendingWrites = append(n.pendingWrites, write)
	sim.after(n.diskBusyUntil-sim.now, func() { sim.writeDone(n, runID, write, id) })
}

func (sim *cluster) writeDone(n *node, runID int, write *pendingWrite, id uint64) {
	if !n.up || n.runID != runID {
		return
	}
	if n.stalledUntil > sim.now {
		sim.after(n.stalledUntil-sim.now, func() { sim.writeDone(n, runID, write, id) })
		return
	}
	n.pendingWrites = n.pendingWrites[1:]
	if n.writesToRefuse > 0 || n.diskFailed && !write.rewrite {
		// After a refused write the disk accepts only the whole state.
		mustReport := !n.diskFailed || write.rewrite
		n.diskFailed, n.writesToRefuse = true, max(n.writesToRefuse-1, 0)
		if mustReport {
			sim.after(testHeartbeat/2, func() { sim.runOn(n.id, runID, func() { n.replica.WriteFailed(sim.clock(n)) }) })
		}
		return
	}
	n.diskFailed = false
	n.apply(write)
	sim.runOn(n.id, runID, func() { n.replica.Durable(sim.clock(n), id) })
}

func (sim *cluster) machinesWithCopy(name string, version uint64) (ids []string) {
	for _, id := range sim.ids {
		var r storedRecord
		if b := sim.nodes[id].disk[recordPrefix+testPartition+"/"+name]; b != nil && unmarshal(b, &r) && r.Record.Gen >= version {
			ids = append(ids, id)
		}
	}
	return ids
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }
