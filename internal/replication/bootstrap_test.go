package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/replication/replicationtest"
)

// mayBootstrapFrom reports whether a disk holds the seeds of a system's first start, or a voter set.
func mayBootstrapFrom(disk replicationtest.Disk) bool {
	var v nodeValue
	return cbor.Unmarshal(disk[nodeEntryKey], &v) == nil && (len(v.FirstSeeds) > 0 || disk[metaPrefix+VoterSetPartition] != nil)
}

// bootstrapRun starts four machines, three of which are seeds, and kills some of them at one step of
// the bootstrap. They start again with the given bootstrap setting.
type bootstrapRun struct {
	step      int // number of messages sent before the kill
	killed    int // bit set of the machines
	bootstrap bool
	seed      int64
}

func (r bootstrapRun) String() string {
	return fmt.Sprintf("machines %03b killed at step %d, started again with bootstrap %v, seed %d", r.killed, r.step, r.bootstrap, r.seed)
}

// run returns what is wrong, and whether the bootstrap had that many steps.
func (r bootstrapRun) run(t *testing.T) (problem string, reached bool) {
	sim := newEmptyCluster(r.seed, 1)
	sim.fatal = t.Fatalf
	steps, proposedEpochs := 0, map[Epoch]bool{}
	cannotBootstrap := false
	sim.drop = func(from string, e Envelope) bool {
		if request := bodyAs[*BootstrapRequest](e.Msg); request != nil && len(request.Records) > 0 {
			proposedEpochs[request.At.Epoch] = true
		}
		if steps == r.step {
			reached = true
			sim.after(0, func() { cannotBootstrap = r.kill(sim) })
		}
		steps++
		return false
	}
	sim.bootstrap(4, 4)
	end := 15 * time.Second
	for sim.now < end && sim.ownerOf(testPartition) == nil && !cannotBootstrap {
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	switch {
	case cannotBootstrap || !reached:
	case sim.ownerOf(testPartition) == nil:
		return "the bootstrap did not finish", reached
	case len(proposedEpochs) > 1:
		return fmt.Sprintf("%d initial voter sets were proposed", len(proposedEpochs)), reached
	default:
		sim.runUntil(sim.now + 6*time.Second)
		if problem := sim.voterSetProblem(); problem != "" {
			return "bootstrapped, but " + problem, reached
		}
	}
	return "", reached
}

// kill kills the machines of a run. The bootstrap cannot go on if the bootstrap setting is off and
// no seed is running or has the seeds of the first start, or a voter set, on its disk.
func (r bootstrapRun) kill(sim *cluster) (cannotBootstrap bool) {
	cannotBootstrap = !r.bootstrap
	for i, address := range sim.addresses {
		if r.killed>>i&1 == 1 {
			sim.crash(address, false)
			sim.nodes[address].bootstrap = r.bootstrap
			sim.after(time.Duration(50+sim.rng.Intn(400))*time.Millisecond, func() { sim.restartMachine(sim.nodes[address]) })
		}
		if n := sim.nodes[address]; slices.Contains(sim.seeds, address) && (n.up || mayBootstrapFrom(n.disk)) {
			cannotBootstrap = false
		}
	}
	return cannotBootstrap
}

func TestBootstrapContinuesAfterKillsAtAnyStep(t *testing.T) {
	for killed := 1; killed < 16; killed++ {
		for _, bootstrap := range []bool{false, true} {
			t.Run(fmt.Sprintf("%04b, %v", killed, bootstrap), func(t *testing.T) {
				t.Parallel()
				for step, reached := 0, true; reached && step < 60; step++ {
					for seed := int64(1); seed <= 3; seed++ {
						run := bootstrapRun{step, killed, bootstrap, seed}
						var problem string
						if problem, reached = run.run(t); problem != "" {
							t.Fatalf("%s: %s", run, problem)
						}
					}
				}
			})
		}
	}
}

// A seed that has lost its disk, or was killed before its first write, takes part in the bootstrap
// that another seed proposes but proposes none itself.
func TestPassiveSeedDoesNotProposeBootstrap(t *testing.T) {
	for passive := range 3 {
		sim := newEmptyCluster(int64(passive)+1, 1)
		sim.fatal = t.Fatalf
		for i := range 4 {
			sim.addMachine(i+1, 4, i != passive)
		}
		sim.seeds = append([]string(nil), sim.addresses[:3]...)
		proposers := map[string]bool{}
		sim.drop = func(from string, e Envelope) bool {
			if f := bodyAs[*BootstrapRequest](e.Msg); f != nil && len(f.Records) > 0 {
				proposers[from] = true
			}
			return false
		}
		for _, address := range sim.addresses {
			sim.start(address)
		}
		sim.waitForOwner(t)
		if proposers[sim.addresses[passive]] || len(proposers) != 1 {
			t.Errorf("seed %d is passive; initial voter sets were proposed by %v", passive, proposers)
		}
	}
}

// TestBootstrapWithRelaySeeds has some or all seeds be processes without a disk (relays). If all
// are, the first of them appoints the first member that asks it.
func TestBootstrapWithRelaySeeds(t *testing.T) {
	for _, relays := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 2}, {1, 2}, {0, 1, 2}} {
		for seed := int64(1); seed <= 5; seed++ {
			sim := newEmptyCluster(seed, 1)
			sim.fatal = t.Fatalf
			appointed := map[string]string{}
			for index := 0; index < 6; index++ {
				sim.addMachine(index+1, 3, true)
			}
			sim.seeds = slices.Clone(sim.addresses[:3])
			for _, number := range relays {
				appointed[sim.seeds[number]] = ""
				delete(sim.nodes, sim.seeds[number])
			}
			sim.addresses = slices.DeleteFunc(sim.addresses, func(address string) bool { _, ok := appointed[address]; return ok })
			sim.drop = func(from string, e Envelope) bool {
				if _, ok := appointed[e.To]; !ok {
					return false
				}
				if bodyAs[*BootstrapRequest](e.Msg) != nil {
					if appointed[e.To] == "" && e.To == sim.seeds[0] {
						appointed[e.To] = from
					}
					sim.after(time.Millisecond, func() {
						if n := sim.nodes[from]; n.up {
							sim.runOn(from, n.runID, func() {
								n.replica.Handle(sim.clock(n), e.To, Message{Body: &BootstrapReply{Relay: true, Appointed: appointed[e.To]}})
							})
						}
					})
				}
				return true
			}
			for _, address := range sim.addresses {
				// All machines start within 0.3 s of each other.
				sim.after(time.Duration(sim.rng.Intn(300))*time.Millisecond, func() { sim.start(address) })
			}
			sim.runUntil(400 * time.Millisecond)
			sim.waitFor(fmt.Sprintf("relays %v, seed %d: all members are voters", relays, seed), 8*time.Second, sim.voterSetProblem)
			sim.mustPut(t, "x", 1)
			sim.runUntil(sim.now + 2*time.Second)
			if got := sim.machinesWithCopy("x", 1); len(got) != len(sim.addresses) {
				t.Fatalf("copies at %v", got)
			}
		}
	}
}
