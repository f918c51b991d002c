package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Faults of processes begin only during faultWindow, followed by faultFreeWindow, since most rules bind only when
// there has been no fault for a while.
const (
	faultWindow     = 7 * time.Second
	faultFreeWindow = 9 * time.Second
)

// faultGenerator injects one fault after another until the context ends.
type faultGenerator func(ctx context.Context, random *rand.Rand, cluster *testCluster)

// faultGenerators run concurrently.
var faultGenerators = []faultGenerator{suspendProcesses, suspendProcesses, restartProcesses, reloadProcesses, shutDownGateways, injectPathFaults, injectListReaderFaults}

// inFaultWindow reports whether faults of processes may begin now.
func (tc *testCluster) inFaultWindow() bool {
	return time.Since(tc.startedAt)%(faultWindow+faultFreeWindow) <= faultWindow
}

// waitForFaultWindow waits for delay and then until faults may begin. It returns false if the context has ended.
func (tc *testCluster) waitForFaultWindow(ctx context.Context, delay time.Duration) bool {
	sleep(ctx, delay)
	if elapsed := time.Since(tc.startedAt) % (faultWindow + faultFreeWindow); elapsed > faultWindow {
		sleep(ctx, faultWindow+faultFreeWindow-elapsed)
	}
	return ctx.Err() == nil
}

// waitForFaultFreeTime waits until contactS + 2 s after the end of a fault window, when most faults of processes have
// been over for contactS. It returns false if the context has ended.
func (tc *testCluster) waitForFaultFreeTime(ctx context.Context) bool {
	const faultFreeAt = faultWindow + contactS + 2*time.Second
	elapsed := time.Since(tc.startedAt) % (faultWindow + faultFreeWindow)
	sleep(ctx, (faultFreeAt-elapsed+faultWindow+faultFreeWindow)%(faultWindow+faultFreeWindow))
	return ctx.Err() == nil
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}

func randomElement[T any](random *rand.Rand, elements []T) T {
	return elements[random.IntN(len(elements))]
}

// suspendProcesses suspends one process after another, mostly control nodes of core machines.
func suspendProcesses(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultWindow(ctx, randomDuration(random, 100*time.Millisecond, 2*time.Second)) {
		p := randomElement(random, cluster.coreMachines()).control
		if random.Float64() < 0.2 {
			p = randomElement(random, cluster.processes())
		}
		p.suspend(randomDuration(random, 200*time.Millisecond, 5*time.Second))
	}
}

// restartProcesses ends one process after another by SIGKILL or SIGTERM and starts it again.
func restartProcesses(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultWindow(ctx, randomDuration(random, time.Second, 20*time.Second)) {
		sig := syscall.SIGKILL
		if random.Float64() < 0.5 {
			sig = syscall.SIGTERM
		}
		cluster.restart(randomElement(random, cluster.processes()), sig, randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// shutDownGateways ends gateways by SIGTERM, outside the fault windows, and starts them again.
func shutDownGateways(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultFreeTime(ctx) {
		cluster.restart(randomElement(random, cluster.machines).gateway, syscall.SIGTERM, randomDuration(random, 100*time.Millisecond, time.Second))
	}
}

// reloadProcesses sends SIGHUP to one process after another.
func reloadProcesses(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(random, time.Second, 6*time.Second))
		p := randomElement(random, cluster.processes())
		p.mu.Lock()
		p.sighups = append(p.sighups, time.Now())
		p.mu.Unlock()
		p.signal(syscall.SIGHUP)
	}
}

// injectPathFaults injects a fault into the path from one core machine after another to the platform, at any time.
func injectPathFaults(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(random, time.Second, 8*time.Second))
		cluster.pathFaultMu.Lock()
		randomElement(random, cluster.coreMachines()).platformProxy.injectFault(ctx, randomPathFault(random), randomDuration(random, time.Second, 6*time.Second))
		cluster.pathFaultMu.Unlock()
	}
}

// injectListReaderFaults injects faults into the path of whichever machine reads the platform's list at that time. The
// next fault may hit the machine that took over as reader.
func injectListReaderFaults(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(random, 2*time.Second, 10*time.Second))
		cluster.pathFaultMu.Lock()
		if reader := cluster.lastListReader(); reader != nil {
			reader.platformProxy.injectFault(ctx, randomPathFault(random), randomDuration(random, 2*time.Second, 6*time.Second))
		}
		cluster.pathFaultMu.Unlock()
	}
}

// randomPathFault draws any path fault but noPathFault.
func randomPathFault(random *rand.Rand) pathFault {
	return noPathFault + 1 + pathFault(random.IntN(int(pathFaultCount)-1))
}

// lastListReader returns the machine that called the platform last, nil if none has.
func (tc *testCluster) lastListReader() (last *machine) {
	var at time.Time
	for _, m := range tc.machines {
		if called := m.platformProxy.lastCall(); called.After(at) {
			last, at = m, called
		}
	}
	return last
}

// drainUpstreams has the platform's list show one upstream after another as draining, and later as ready again. Only
// one upstream drains at a time, so that no service loses two upstreams of a zone at a time.
func (env *environment) drainUpstreams(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		id := env.platform.randomUpstream(random)
		period := &drainingPeriod{upstreamID: id, began: time.Now()}
		env.platform.setState(id, "draining")
		env.mu.Lock()
		env.drainingPeriods = append(env.drainingPeriods, period)
		env.mu.Unlock()
		sleep(ctx, randomDuration(random, drainS, 3*drainS))
		env.mu.Lock()
		period.ended = time.Now()
		env.mu.Unlock()
		env.platform.setState(id, "ready")
		sleep(ctx, randomDuration(random, 0, 2*time.Second))
	}
}
