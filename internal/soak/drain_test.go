package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// busiestUpstreams returns, for each zone, the upstream that has received the most requests since a time.
func (env *environment) busiestUpstreams(since time.Time) (busiest map[string]string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	requests := map[string]int{}
	busiest = map[string]string{}
	for _, a := range env.arrivals {
		if a.at.Before(since) {
			continue
		}
		requests[a.upstreamID]++
		if busiest[a.zone] == "" || requests[a.upstreamID] > requests[busiest[a.zone]] {
			busiest[a.zone] = a.upstreamID
		}
	}
	return busiest
}

// findListReader returns the machine that reads the platform's list: the only one that calls the platform for
// drainS. It returns nil if the context ends before.
func (tc *testCluster) findListReader(ctx context.Context) *machine {
	for _, m := range tc.machines {
		m.platformProxy.takeNewCalls()
	}
	for ctx.Err() == nil {
		sleep(ctx, drainS)
		var readers []*machine
		for _, m := range tc.machines {
			if m.platformProxy.takeNewCalls() > 0 {
				readers = append(readers, m)
			}
		}
		if len(readers) == 1 {
			return readers[0]
		}
	}
	return nil
}

// Guards against a reader of the platform's list that keeps this role although the list reaches it late or not at
// all, so that the other machines go on sending requests to draining upstreams.
func TestDrainingUpstreamsGetNoRequestsDuringListReaderFaults(t *testing.T) {
	binary := build(t)
	pathFaultCase := func(fault pathFault) func(reader *machine) func() {
		return func(reader *machine) (end func()) {
			reader.platformProxy.setFault(fault)
			return func() { reader.platformProxy.setFault(noPathFault) }
		}
	}
	suspendCase := func(reader *machine) (end func()) {
		go reader.control.suspend(readerFaultTime)
		return func() {}
	}
	cases := map[string]listReaderScenario{
		"reader suspended":                          {multiPageList, suspendCase},
		"no fault, a long list":                     {longList, pathFaultCase(noPathFault)},
		allLost.String() + ", a long list":          {longList, pathFaultCase(allLost)},
		responsesDelayed.String() + ", a long list": {longList, pathFaultCase(responsesDelayed)},
	}
	for fault := allLost; fault < pathFaultCount; fault++ {
		cases[fault.String()] = listReaderScenario{multiPageList, pathFaultCase(fault)}
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drainDuringReaderFault(t, binary, scenario)
		})
	}
}

// listReaderScenario is the size of the platform's list, and the fault of its reader.
type listReaderScenario struct {
	list   listShape
	inject func(reader *machine) (end func())
}

// listShape is the size of the platform's list. A shorter list is extended to the number of upstreams.
type listShape struct {
	upstreams, pageSize int
}

var (
	// multiPageList is a list of seven pages.
	multiPageList = listShape{pageSize: 3}
	// longList is a list that takes long to read, due to the platform's rate limit: 20 pages at 44 calls per second.
	longList = listShape{upstreams: 1000, pageSize: 50}
)

// setShape sets the page size, and extends the list with upstreams of a service that no route has as target.
func (p *platform) setShape(shape listShape) {
	for i := len(p.upstreams); i < shape.upstreams; i++ {
		p.add(fmt.Sprintf("other-%d", i), "other", "127.0.0.1:9", zones[i%len(zones)])
	}
	p.pageSize = shape.pageSize
}

const (
	// readerFaultTime is how long the reader's fault lasts, the time for which the site's machines are cut off.
	readerFaultTime = 5500 * time.Millisecond
	// faultBeforeDraining is the time from the start of the fault until the list shows the upstreams as draining.
	faultBeforeDraining = 100 * time.Millisecond
)

// drainDuringReaderFault drains the busiest upstream of each zone while the reader of the list has a fault.
// Clients send requests to the other machines only.
func drainDuringReaderFault(t *testing.T, binary string, scenario listReaderScenario) {
	cluster := newTestCluster(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), len(zones))
	defer cluster.kill()
	env := newEnvironment(t, cluster)
	defer env.close()
	env.platform.setShape(scenario.list)
	ctx, cancel := context.WithTimeout(t.Context(), 4*recoveryS)
	defer cancel()
	startProcesses(t, cluster, env, cluster.processes())
	sleep(ctx, contactS)
	reader := cluster.findListReader(ctx)
	if reader == nil {
		t.Fatal("did not find a single machine that reads the platform's list")
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	var senders sync.WaitGroup
	for _, m := range cluster.machines {
		for n := range clientsPerGateway {
			if m != reader {
				senders.Go(func() { env.runClient(clientCtx, m, n) })
			}
		}
	}
	sleep(ctx, contactS)
	endFault := scenario.inject(reader)
	sleep(ctx, faultBeforeDraining)
	var drainingPeriods []*drainingPeriod
	for _, id := range env.busiestUpstreams(time.Now().Add(-time.Second)) {
		period := &drainingPeriod{upstreamID: id, began: time.Now()}
		env.platform.setState(id, "draining")
		drainingPeriods = append(drainingPeriods, period)
	}
	sleep(ctx, readerFaultTime-faultBeforeDraining)
	endFault()
	sleep(ctx, contactS)
	stopClients()
	senders.Wait()
	violations := findArrivalsAfterDrain(env.arrivals, drainingPeriods, func(int, time.Time) bool { return true })
	for _, text := range violations {
		t.Error("DRAIN: ", text)
	}
	lastArrival := time.Duration(0)
	for _, s := range drainingPeriods {
		lastArrival = max(lastArrival, env.lastArrivalAt(s.upstreamID).Sub(s.began))
	}
	t.Logf("reader %s, responses by status %v, %d upstreams draining, the last request reached one %.0f ms after the list showed it, DRAIN violations %d", reader.name, env.responsesByStatus(), len(drainingPeriods), milliseconds(lastArrival), len(violations))
	if env.responsesByStatus()[200] == 0 || len(drainingPeriods) == 0 {
		t.Error("no request was served or no upstream was draining")
	}
}

// lastArrivalAt returns when the last request reached an upstream.
func (env *environment) lastArrivalAt(id string) (last time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, a := range env.arrivals {
		if a.upstreamID == id && a.at.After(last) {
			last = a.at
		}
	}
	return last
}
