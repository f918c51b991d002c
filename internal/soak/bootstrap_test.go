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

// seedCount is the number of seed nodes in the settings.
const seedCount = 3

// relaySeedScenario is the bootstrap of a cluster some of whose seeds are relays, which are control nodes without
// a disk. The relays are killed and restarted meanwhile.
type relaySeedScenario struct {
	relays    int
	killAfter time.Duration // how long the relays have run when they are killed
	bootstrap bool          // the relays' bootstrap setting after the restart
}

func (scenario relaySeedScenario) String() string {
	return fmt.Sprintf("%d relays, killed after %v, bootstrap %v then", scenario.relays, scenario.killAfter, scenario.bootstrap)
}

// runRelaySeedScenarios runs all scenarios for each number of relays among the seeds.
func runRelaySeedScenarios(t *testing.T, relays ...int) {
	binary := build(t)
	for _, count := range relays {
		for _, killAfter := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			for _, bootstrap := range []bool{true, false} {
				scenario := relaySeedScenario{count, killAfter, bootstrap}
				t.Run(scenario.String(), func(t *testing.T) {
					t.Parallel()
					scenario.run(t, binary)
				})
			}
		}
	}
}

// Guards against a bootstrap that never completes because seeds that are relays are killed while it is in progress.
func TestBootstrapWithRelaysAmongTheSeeds(t *testing.T) {
	runRelaySeedScenarios(t, 1, seedCount-1)
}

// Guards against the same where all seeds are relays, and against the bootstrap of two separate clusters instead
// of one. KNOWN-RED.txt lists this test.
func TestAFoundingWithRelaysAsAllSeeds(t *testing.T) {
	runRelaySeedScenarios(t, seedCount)
}

func (scenario relaySeedScenario) run(t *testing.T, binary string) {
	cluster := newTestCluster(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), 2*len(zones))
	defer cluster.kill()
	env := newEnvironment(t, cluster)
	defer env.close()
	coreCount := len(cluster.coreMachines())
	cluster.seedMachines = append([]*machine{}, cluster.machines[coreCount:coreCount+scenario.relays]...)
	cluster.seedMachines = append(cluster.seedMachines, cluster.coreMachines()[:seedCount-scenario.relays]...)
	for _, m := range cluster.machines[:2*coreCount] {
		cluster.start(m.control, true)
	}
	time.Sleep(scenario.killAfter)
	for _, m := range cluster.seedMachines[:scenario.relays] {
		m.control.signal(syscall.SIGKILL)
		<-m.control.exited
		cluster.start(m.control, scenario.bootstrap)
	}
	ops := &operators{history: env.history, cluster: cluster}
	defer ops.close()
	bootstrapCtx, cancel := context.WithTimeout(t.Context(), recoveryS)
	defer cancel()
	if !ops.sendInitialConfig(bootstrapCtx) {
		t.Fatalf("no configuration was acknowledged within %v", recoveryS)
	}
	// All control nodes with a disk must be of one cluster: each shows the configuration that one of them acknowledged.
	for _, m := range cluster.coreMachines() {
		for {
			status, text := ops.get(m.controlAddress(), "/v1/config")
			if status == http.StatusOK && strings.Contains(text, "trip-lookup") {
				break
			}
			if bootstrapCtx.Err() != nil {
				t.Fatalf("%s does not show the configuration: status %d, %s", m.name, status, text)
			}
			sleep(bootstrapCtx, firstRetryDelay)
		}
	}
}
