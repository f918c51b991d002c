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

func (sim *cluster) write(n *node, runID int, write *pendingWrite, writeID uint64) {
	latency := time.Duration(1+sim.rng.Intn(3)) * time.Millisecond
	n.diskBusyUntil = max(n.diskBusyUntil, sim.now, n.stalledUntil) + latency
	n.pendingWrites = append(n.pendingWrites, write)
	sim.after(n.diskBusyUntil-sim.now, func() { sim.writeDone(n, runID, write, writeID) })
}

func (sim *cluster) writeDone(n *node, runID int, write *pendingWrite, writeID uint64) {
	if !n.up || n.runID != runID {
		return
	}
	if n.stalledUntil > sim.now {
		sim.after(n.stalledUntil-sim.now, func() { sim.writeDone(n, runID, write, writeID) })
		return
	}
	n.pendingWrites = n.pendingWrites[1:]
	if n.writesToRefuse > 0 || n.diskFailed && !write.rewrite {
		// After a refused write the disk accepts only the whole state.
		mustReport := !n.diskFailed || write.rewrite
		n.diskFailed, n.writesToRefuse = true, max(n.writesToRefuse-1, 0)
		if mustReport {
			sim.after(testHeartbeat/2, func() { sim.runOn(n.address, runID, func() { n.replica.WriteFailed(sim.clock(n)) }) })
		}
		return
	}
	n.diskFailed = false
	n.apply(write)
	sim.runOn(n.address, runID, func() { n.replica.Durable(sim.clock(n), writeID) })
}

func (sim *cluster) machinesWithCopy(name string, version uint64) (addresses []string) {
	for _, address := range sim.addresses {
		var r storedRecord
		if b := sim.nodes[address].disk[recordPrefix+testPartition+"/"+name]; b != nil && unmarshal(b, &r) && r.Record.Gen >= version {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }
