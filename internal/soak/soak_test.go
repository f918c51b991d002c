package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Defaults of a run. SOAK_SECONDS, SOAK_MACHINES and SOAK_PARALLEL override the first three.
const (
	defaultFaultSeconds = 30 // during which faults are injected
	defaultMachines     = 8
	defaultParallel     = 2
	operatorCount       = 3
	applicationCount    = 4
	clientsPerGateway   = 2
)

// intFromEnv returns an environment variable as a number, or fallback if it is unset or no number.
func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestRulesUnderTroubles checks every rule under faults. It makes SOAK_SEEDS runs with consecutive seeds
// from SOAK_FIRST, SOAK_PARALLEL at a time, each with SOAK_MACHINES machines and SOAK_SECONDS seconds of
// faults. The directories of failed runs, with the logs, are kept below SOAK_LOGS.
func TestRulesUnderTroubles(t *testing.T) {
	seeds := intFromEnv("SOAK_SEEDS", 0)
	if seeds == 0 {
		t.Skip("set SOAK_SEEDS to the number of runs")
	}
	binary := build(t)
	slots := make(chan struct{}, intFromEnv("SOAK_PARALLEL", defaultParallel))
	for seed := intFromEnv("SOAK_FIRST", 1); seeds > 0; seed, seeds = seed+1, seeds-1 {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, binary, uint64(seed))
		})
	}
}

// build compiles madderwing and returns the path of the binary.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "madderwing")
	if out, err := exec.Command("go", "build", "-o", binary, "madderwing/cmd/madderwing").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// runSeed makes one run and applies every judge to its history. With an odd seed each operator evacuates a zone of
// its own; with an even seed the operators share three zones. At the end all processes are killed simultaneously,
// right after a configuration change was acknowledged, and restarted.
func runSeed(t *testing.T, binary string, seed uint64) {
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	cluster := newTestCluster(t, binary, runDir(t, seed), newRandom(1), intFromEnv("SOAK_MACHINES", defaultMachines))
	defer cluster.kill()
	env := newEnvironment(t, cluster)
	defer env.close()
	env.platform.pageSize = int(seed % 8) // 0: the whole list is one page
	ops := startProcesses(t, cluster, env, cluster.processes())
	sleep(t.Context(), 4*time.Second)

	clientCtx, stopClients := context.WithCancel(t.Context())
	defer stopClients()
	var senders sync.WaitGroup
	for _, m := range cluster.machines {
		for n := range clientsPerGateway {
			senders.Go(func() { env.runClient(clientCtx, m, n) })
		}
	}
	applicationCtx, stopApplications := context.WithCancel(t.Context())
	defer stopApplications()
	for n := range applicationCount {
		senders.Go(func() { newApplication(env.history, cluster, n).run(applicationCtx, newRandom(uint64(40+n))) })
	}
	env.runWithFaults(t, cluster, ops, seed, newRandom)
	sleep(t.Context(), contactS)
	env.upstreamsFail.Store(false)
	cluster.killAllAfterAck(t, ops, newRandom(5))
	sleep(t.Context(), recoveryS+faultWindow)
	ops.readAllNodes(t)
	stopClients()
	stopApplications()
	senders.Wait()
	env.applyJudges(t, cluster)
}

// runWithFaults injects faults while operators change the configuration and evacuate zones and the platform
// drains upstreams.
func (env *environment) runWithFaults(t *testing.T, cluster *testCluster, ops *operators, seed uint64, newRandom func(stream uint64) *rand.Rand) {
	faultCtx, cancel := context.WithTimeout(t.Context(), time.Duration(intFromEnv("SOAK_SECONDS", defaultFaultSeconds))*time.Second)
	defer cancel()
	env.upstreamsFail.Store(true)
	var actors sync.WaitGroup
	for i := range operatorCount {
		zoneChoices := zones[1:]
		if seed%2 == 1 {
			zoneChoices = zones[1+i : 2+i]
		}
		actors.Go(func() { ops.evacuateZones(faultCtx, newRandom(uint64(10+i)), i, zoneChoices) })
	}
	actors.Go(func() { ops.changeRoute(faultCtx, newRandom(2)) })
	actors.Go(func() { ops.readConfigs(faultCtx, newRandom(3)) })
	actors.Go(func() { env.drainUpstreams(faultCtx, newRandom(4), cluster) })
	for i, generate := range faultGenerators {
		actors.Go(func() { generate(faultCtx, newRandom(uint64(20+i)), cluster) })
	}
	actors.Wait()
	ops.resuming.Wait()
}

// allDownTime is the time between the final kill and the restart.
const allDownTime = time.Second

// killAllAfterAck kills all processes right after a configuration change was acknowledged, and restarts them after
// allDownTime.
func (tc *testCluster) killAllAfterAck(t *testing.T, ops *operators, random *rand.Rand) {
	lastGeneration := ops.versions[len(ops.versions)-1].generation
	if !ops.sendVersion(t.Context(), random, lastGeneration+1, func(*rand.Rand) callFault { return noCallFault }) {
		t.Error("Acks: a configuration change was not acknowledged although no faults were injected")
	}
	tc.killAll()
	ops.finalKill.killed = time.Now()
	time.Sleep(allDownTime)
	for _, p := range tc.processes() {
		tc.start(p, false)
	}
	ops.finalKill.restarted = time.Now()
}

// killAll kills all processes simultaneously. The fault of each process lasts until recoveryS after the restart.
func (tc *testCluster) killAll() {
	for _, p := range tc.processes() {
		endFault := p.faults.begin(unplanned)
		p.signal(syscall.SIGKILL)
		time.AfterFunc(allDownTime+recoveryS, endFault)
	}
	for _, p := range tc.processes() {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		<-exited
	}
}

// readAllNodes reads the configuration at every node, repeating until the node answers.
func (ops *operators) readAllNodes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), recoveryS)
	defer cancel()
	for _, address := range ops.cluster.controlAddresses() {
		for !ops.readConfig(address) {
			if ctx.Err() != nil {
				t.Errorf("CONFIG: %s did not answer a configuration read at the end of the run", address)
				return
			}
			sleep(ctx, firstRetryDelay)
		}
	}
}

// applyJudges reports what each judge finds in the history, and logs a summary of the run.
func (env *environment) applyJudges(t *testing.T, cluster *testCluster) {
	responses := env.responsesByStatus()
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, j := range judges {
		found := j.find(env.history)
		for _, text := range found[:min(len(found), maxReported)] {
			t.Errorf("%s: %s", j.rule, text)
		}
		if len(found) > maxReported {
			t.Errorf("%s: %d violations in all", j.rule, len(found))
		}
	}
	t.Logf("%d requests, responses by status %v; %d evacuation orders, %d route versions, %d configuration reads, %d drained upstreams, %d lock holdings, %d issued numbers",
		len(env.requests), responses, len(env.orders), len(env.versions), len(env.reads), len(env.drainingPeriods), len(env.lockHoldings), len(env.issuedNumbers))
	if t.Failed() {
		logFailureDetails(t, cluster, env.orders)
	}
}

// maxReported is how many violations of a rule are printed.
const maxReported = 3

// runDir returns the directory for the settings, data and logs of a run. Below SOAK_LOGS it is removed only if the
// test passes.
func runDir(t *testing.T, seed uint64) string {
	logs := os.Getenv("SOAK_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	_ = os.RemoveAll(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// logFailureDetails logs the evacuation orders, the faults, and the lines that processes logged about evacuations,
// roles and lost contact.
func logFailureDetails(t *testing.T, cluster *testCluster, orders []*evacuationOrder) {
	for _, order := range orders {
		t.Log(order)
	}
	for _, p := range cluster.processes() {
		for _, period := range p.faults.periods {
			t.Logf("%s %s: fault from %s to %s", p.machine.name, p.role, cluster.logTime(period.began), cluster.logTime(period.ended))
		}
		text, _ := os.ReadFile(cluster.logPath(p))
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "evacuation") || strings.Contains(line, "out of contact") || strings.Contains(line, "duty") {
				t.Logf("%s %s: %s", p.machine.name, p.role, line)
			}
		}
	}
	for _, m := range cluster.machines {
		for _, s := range m.platformProxy.faults.periods {
			t.Logf("%s, path to the platform: fault from %s to %s", m.name, cluster.logTime(s.began), cluster.logTime(s.ended))
		}
	}
	t.Logf("the run began at %s", cluster.startedAt.UTC().Format("15:04:05.000"))
}
