package replication

// This file holds the simulated operators, which change and read records.

import (
	"fmt"
	"testing"
	"time"
)

// recordNames are the names of all records that operators change.
var recordNames = []string{"x", "y", "z", "s0", "s1", "s2", "s3"}

var errConflict = fmt.Errorf("another version is stored")

type ack struct {
	name    string
	version uint64
	at      time.Duration
}

// proposeVersion runs a proposal at a node that compares versions as the catalogue does. done is
// called with the reply and the version that is stored.
func (sim *cluster) proposeVersion(address, partition, name string, version uint64, data string, done func(stored uint64, err error)) {
	n := sim.nodes[address]
	minVersion := sim.minVersions[partition+"/"+name]
	var stored Record
	answered := sim.history.recordChange(partition, name, version, data)
	sim.runOn(address, n.runID, func() {
		n.replica.Propose(sim.clock(n), partition, func(have map[string]Record) ([]Record, error) {
			stored = have[name]
			switch {
			case stored.Gen == version && string(stored.Data) == data:
				return nil, nil
			case stored.Gen >= version:
				return nil, errConflict
			}
			// Versions may be skipped, as in the catalogue.
			stored = Record{Name: name, Gen: version, Data: []byte(data)}
			return []Record{stored}, nil
		}, func(err error) {
			answered(stored, err)
			if err == nil || err == errConflict {
				sim.checkVersion(address, partition, name, minVersion, stored)
			}
			if err == nil {
				sim.answeredChanges++
				if partition == testPartition {
					sim.acks = append(sim.acks, ack{name, version, sim.now})
				}
				for _, fn := range sim.onAck {
					// The failure begins once the reply has been sent.
					sim.after(0, fn)
				}
				sim.onAck = nil
			}
			done(stored.Gen, err)
		})
	})
}

// readPartition reads a partition at a node.
func (sim *cluster) readPartition(address, partition string, done func(error)) {
	n := sim.nodes[address]
	minVersions := map[string]uint64{}
	for _, name := range recordNames {
		if f := sim.minVersions[partition+"/"+name]; f > 0 {
			minVersions[name] = f
		}
	}
	read := sim.history.recordRead(partition)
	sim.runOn(address, n.runID, func() {
		n.replica.Read(sim.clock(n), partition, func(err error) {
			if err == nil {
				sim.answeredReads++
				got, _, ok := n.replica.Committed(partition)
				if !ok {
					sim.fatal("at %v %s answered a read of %s without a committed copy", sim.now, address, partition)
				}
				read(got)
				for _, name := range recordNames {
					sim.checkVersion(address, partition, name, minVersions[name], got[name])
				}
			}
			done(err)
		})
	})
}

// put proposes a value at a node and runs until it is answered, at most 3 s.
func (sim *cluster) put(n *node, name string, version uint64) (err error) {
	answered := false
	sim.runOn(n.address, n.runID, func() {
		n.replica.Propose(sim.now, testPartition, func(map[string]Record) ([]Record, error) {
			return []Record{{Name: name, Gen: version}}, nil
		}, func(e error) { err, answered = e, true })
	})
	for end := sim.now + 3*time.Second; !answered && sim.now < end; {
		sim.runUntil(sim.now + time.Millisecond)
	}
	if !answered {
		return ErrNoQuorum
	}
	return err
}

func (sim *cluster) mustPut(t *testing.T, name string, version uint64) *node {
	t.Helper()
	for i := 0; i < 20; i++ {
		n := sim.waitForOwner(t)
		if sim.put(n, name, version) == nil {
			return n
		}
	}
	t.Fatalf("%s=%d was never acknowledged", name, version)
	return nil
}

// runOperator sends changes of a partition, each with the version after the last one known, and
// retries each until it is accepted or refused.
func (sim *cluster) runOperator(name, partition string) {
	known := map[string]uint64{}
	count := 0
	var next func()
	var send func(recordName string, version uint64, data string)
	send = func(recordName string, version uint64, data string) {
		answered := false
		sendAgain := func(d time.Duration) {
			if answered {
				return
			}
			answered = true
			sim.after(d, func() { send(recordName, version, data) })
		}
		asked := sim.nodes[sim.addresses[sim.rng.Intn(len(sim.addresses))]]
		owner := ""
		if asked.up && asked.frozenUntil <= sim.now {
			if owner = asked.replica.Owner(sim.clock(asked), partition); owner == "" {
				owner = asked.replica.InitialOwner(sim.clock(asked), partition)
			}
		}
		if sim.operatorsStopped {
			return
		}
		if owner == "" || sim.nodes[owner] == nil {
			sendAgain(200 * time.Millisecond)
			return
		}
		answerLost := sim.rng.Intn(10) == 0
		sim.proposeVersion(owner, partition, recordName, version, data, func(stored uint64, err error) {
			switch {
			case answerLost || answered:
			case err == nil || err == errConflict:
				answered = true
				known[recordName] = stored
				if err == nil && sim.rng.Intn(5) == 0 {
					sim.after(time.Millisecond, func() { send(recordName, version, data) }) // a duplicate request
					return
				}
				sim.after(time.Duration(50+sim.rng.Intn(400))*time.Millisecond, next)
			default:
				sendAgain(150 * time.Millisecond)
			}
		})
		sim.after(1200*time.Millisecond, func() { sendAgain(0) })
	}
	next = func() {
		if sim.operatorsStopped {
			return
		}
		if sim.rng.Intn(3) == 0 {
			n := sim.nodes[sim.addresses[sim.rng.Intn(len(sim.addresses))]]
			if n.up {
				sim.readPartition(n.address, partition, func(error) {})
				if o := n.replica.Owner(sim.clock(n), partition); o != "" && sim.nodes[o] != nil {
					sim.readPartition(o, partition, func(error) {})
				}
			}
		}
		count++
		recordName := []string{"x", "y", "z"}[sim.rng.Intn(3)]
		send(recordName, known[recordName]+1, fmt.Sprintf("%s.%d", name, count))
	}
	next()
}
