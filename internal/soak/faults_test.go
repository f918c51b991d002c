package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Troubles of processes come for a while and then rest, so that there are times in which the rules bind.
const (
	faultWindow = 7 * time.Second
	faultPause  = 9 * time.Second
)

// faultGenerator are troubles that come one after the other until a context ends.
type faultGenerator func(ctx context.Context, random *rand.Rand, f *testCluster)

// faultGenerators run beside each other.
var faultGenerators = []faultGenerator{suspendProcesses, suspendProcesses, restartProcesses, reloadProcesses, shutDownGateways, injectPathFaults, injectListReaderFaults}

// inFaultWindow says whether troubles may begin now.
func (tc *testCluster) inFaultWindow() bool {
	return time.Since(tc.startedAt)%(faultWindow+faultPause) <= faultWindow
}

// waitForFaultWindow waits, and then for the next time at which troubles may begin. It says whether there is one.
func (tc *testCluster) waitForFaultWindow(ctx context.Context, delay time.Duration) bool {
	sleep(ctx, delay)
	if at := time.Since(tc.startedAt) % (faultWindow + faultPause); at > faultWindow {
		sleep(ctx, faultWindow+faultPause-at)
	}
	return ctx.Err() == nil
}

// waitForFaultFreeTime waits for the next time at which the troubles of before are over for contactS.
func (tc *testCluster) waitForFaultFreeTime(ctx context.Context) bool {
	const calmAt = faultWindow + contactS + 2*time.Second
	at := time.Since(tc.startedAt) % (faultWindow + faultPause)
	sleep(ctx, (calmAt-at+faultWindow+faultPause)%(faultWindow+faultPause))
	return ctx.Err() == nil
}

// randomDuration draws a time.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}

// randomElement draws one of some.
func randomElement[T any](random *rand.Rand, elements []T) T {
	return elements[random.IntN(len(elements))]
}

// suspendProcesses has one process after the other stand still, control nodes with a disk most often.
func suspendProcesses(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultWindow(ctx, randomDuration(random, 100*time.Millisecond, 2*time.Second)) {
		p := randomElement(random, cluster.coreMachines()).control
		if random.Float64() < 0.2 {
			p = randomElement(random, cluster.processes())
		}
		p.suspend(randomDuration(random, 200*time.Millisecond, 5*time.Second))
	}
}

// restartProcesses ends one process after the other by SIGKILL or SIGTERM and starts it again.
func restartProcesses(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultWindow(ctx, randomDuration(random, time.Second, 20*time.Second)) {
		sig := syscall.SIGKILL
		if random.Float64() < 0.5 {
			sig = syscall.SIGTERM
		}
		cluster.restart(randomElement(random, cluster.processes()), sig, randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// shutDownGateways ends a gateway by SIGTERM while nothing else happens, and starts it again.
func shutDownGateways(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for cluster.waitForFaultFreeTime(ctx) {
		cluster.restart(randomElement(random, cluster.machines).gateway, syscall.SIGTERM, randomDuration(random, 100*time.Millisecond, time.Second))
	}
}

// reloadProcesses sends SIGHUP to one process after the other.
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

// injectPathFaults brings one machine's way to the platform into a bad condition after the other, at any time.
func injectPathFaults(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(random, time.Second, 8*time.Second))
		cluster.pathFaultMu.Lock()
		randomElement(random, cluster.coreMachines()).platformProxy.injectFault(ctx, randomPathFault(random), randomDuration(random, time.Second, 6*time.Second))
		cluster.pathFaultMu.Unlock()
	}
}

// injectListReaderFaults does the same to whichever machine reads the list just then, and to the next reader after it.
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

func randomPathFault(random *rand.Rand) pathFault {
	return noPathFault + 1 + pathFault(random.IntN(int(pathFaultCount)-1))
}

// lastListReader is the machine that has last called the platform.
func (tc *testCluster) lastListReader() (last *machine) {
	var at time.Time
	for _, m := range tc.machines {
		if called := m.platformProxy.lastCall(); called.After(at) {
			last, at = m, called
		}
	}
	return last
}

// drainUpstreams has the platform's list show one upstream after the other as draining, and as ready again later. In no zone does a
// service lose two at a time.
func (env *environment) drainUpstreams(ctx context.Context, random *rand.Rand, cluster *testCluster) {
	for ctx.Err() == nil {
		id := env.platform.randomUpstream(random)
		period := &drainingPeriod{upstreamID: id, from: time.Now()}
		env.platform.setState(id, "draining")
		env.mu.Lock()
		env.drainingPeriods = append(env.drainingPeriods, period)
		env.mu.Unlock()
		sleep(ctx, randomDuration(random, drainS, 3*drainS))
		env.mu.Lock()
		period.to = time.Now()
		env.mu.Unlock()
		env.platform.setState(id, "ready")
		sleep(ctx, randomDuration(random, 0, 2*time.Second))
	}
}
