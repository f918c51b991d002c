package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// seedCount is how many seeds the settings name.
const seedCount = 3

// relaySeedScenario is a founding some of whose seeds are relays, control nodes without a disk, that are killed and started again.
type relaySeedScenario struct {
	relays    int
	killAfter time.Duration // for which they have run when they are killed
	bootstrap bool          // as their settings have it at the second start
}

func (r relaySeedScenario) String() string {
	return fmt.Sprintf("%d relays, killed after %v, bootstrap %v then", r.relays, r.killAfter, r.bootstrap)
}

// runRelaySeedScenarios plays foundings with so many relays among the seeds.
func runRelaySeedScenarios(t *testing.T, relays ...int) {
	binary := build(t)
	for _, count := range relays {
		for _, after := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			for _, bootstrap := range []bool{true, false} {
				scenario := relaySeedScenario{count, after, bootstrap}
				t.Run(scenario.String(), func(t *testing.T) {
					t.Parallel()
					scenario.run(t, binary)
				})
			}
		}
	}
}

// Guards against a founding that never ends where some seeds are relays that are killed while it goes on.
func TestBootstrapWithRelaysAmongTheSeeds(t *testing.T) {
	runRelaySeedScenarios(t, 1, seedCount-1)
}

// Guards against the same where all seeds are relays, and against two systems in the place of one. KNOWN-RED.txt has it.
func TestAFoundingWithRelaysAsAllSeeds(t *testing.T) {
	runRelaySeedScenarios(t, seedCount)
}

func (r relaySeedScenario) run(t *testing.T, binary string) {
	cluster := newTestCluster(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), 2*len(zones))
	defer cluster.kill()
	env := newEnvironment(t, cluster)
	defer env.close()
	coreCount := len(cluster.coreMachines())
	cluster.seedMachines = append([]*machine{}, cluster.machines[coreCount:coreCount+r.relays]...)
	cluster.seedMachines = append(cluster.seedMachines, cluster.coreMachines()[:seedCount-r.relays]...)
	for _, m := range cluster.machines[:2*coreCount] {
		cluster.start(m.control, true)
	}
	time.Sleep(r.killAfter)
	for _, m := range cluster.seedMachines[:r.relays] {
		m.control.signal(syscall.SIGKILL)
		<-m.control.exited
		cluster.start(m.control, r.bootstrap)
	}
	ops := &operators{history: env.history, cluster: cluster}
	defer ops.close()
	bootstrapCtx, cancel := context.WithTimeout(t.Context(), recoveryS)
	defer cancel()
	if !ops.sendInitialConfig(bootstrapCtx) {
		t.Fatalf("no configuration is taken within %v", recoveryS)
	}
	// There is but one system: each control node that has a disk shows what one of them has taken.
	for _, m := range cluster.coreMachines() {
		for {
			status, text := ops.get(m.controlAddress(), "/v1/config")
			if status == http.StatusOK && strings.Contains(text, "trip-lookup") {
				break
			}
			if bootstrapCtx.Err() != nil {
				t.Fatalf("%s shows %d %s", m.name, status, text)
			}
			sleep(bootstrapCtx, firstRetryDelay)
		}
	}
}
