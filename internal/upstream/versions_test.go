package upstream

import (
	"strings"
	"testing"
	"time"
)

func instancesOfVersion(version string, n int) []Instance {
	out := makeInstances(n, "z", 0)
	for i := range out {
		out[i].ID, out[i].Version = version+"-"+out[i].ID, version
	}
	return out
}

// versionsReached acquires many upstreams for a version and counts the versions of those granted.
func versionsReached(balancer *Balancer, now time.Duration, version string) (counts map[string]int) {
	counts = map[string]int{}
	var leases []SlotLease
	for range 60 {
		req := &AcquireRequest{Version: version}
		lease, decided := acquire(balancer, now, req)
		switch {
		case !decided:
			balancer.Cancel(req)
		case lease.Refusal == Granted:
			counts[strings.SplitN(lease.ID, "-", 2)[0]]++
			leases = append(leases, lease)
		}
	}
	for _, lease := range leases {
		balancer.Release(now, lease, nil, NotSent)
	}
	return counts
}

func TestVersionThatReceivesRequests(t *testing.T) {
	v1, v2, v3 := instancesOfVersion("v1", 6), instancesOfVersion("v2", 6), instancesOfVersion("v3", 9)
	both := append(append([]Instance(nil), v1...), v2...)
	stable := map[string]ServiceVersions{"a": {Stable: "v1"}}
	rollingOut := map[string]ServiceVersions{"a": {Stable: "v1", Candidate: "v2", SetByRollout: true}}
	for _, c := range []struct {
		name      string
		steps     func(balancer *Balancer)
		requested string
		want      string // the only version that may be granted; empty: none
	}{
		{"first list", func(balancer *Balancer) { balancer.SetList(0, v1) }, "", "v1"},
		{"another version is listed later, no versions set", func(balancer *Balancer) { balancer.SetList(0, v1); balancer.SetList(0, append(both, v3...)) }, "", "v1"},
		{"all upstreams are replaced, no versions set", func(balancer *Balancer) { balancer.SetList(0, v1); balancer.SetList(0, v2) }, "", "v2"},
		{"versions before a list of several", func(balancer *Balancer) { balancer.SetVersions(0, stable); balancer.SetList(0, append(both, v3...)) }, "", "v1"},
		{"versions after a list of several", func(balancer *Balancer) { balancer.SetList(0, append(both, v3...)); balancer.SetVersions(0, stable) }, "", "v1"},
		{"request for the stable version beside a candidate", func(balancer *Balancer) { balancer.SetVersions(0, rollingOut); balancer.SetList(0, both) }, "", "v1"},
		{"request for the candidate", func(balancer *Balancer) { balancer.SetVersions(0, rollingOut); balancer.SetList(0, both) }, "v2", "v2"},
		{"request for a candidate that is not listed", func(balancer *Balancer) { balancer.SetList(0, v1); balancer.SetVersions(0, rollingOut) }, "v2", ""},
		{"a third version beside the candidate", func(balancer *Balancer) {
			balancer.SetVersions(0, rollingOut)
			balancer.SetList(0, append(both, v3...))
		}, "", "v1"},
		{"stable version is gone, without an order", func(balancer *Balancer) { balancer.SetVersions(0, stable); balancer.SetList(0, v2) }, "", "v2"},
		{"stable version set by an order is gone", func(balancer *Balancer) {
			balancer.SetVersions(0, map[string]ServiceVersions{"a": {Stable: "v1", SetByRollout: true}})
			balancer.SetList(0, v2)
		}, "", ""},
		{"candidate is reverted", func(balancer *Balancer) {
			balancer.SetVersions(0, rollingOut)
			balancer.SetList(0, both)
			balancer.SetVersions(0, stable)
		}, "v2", "v1"},
		{"candidate becomes stable", func(balancer *Balancer) {
			balancer.SetVersions(0, rollingOut)
			balancer.SetList(0, both)
			balancer.SetVersions(0, map[string]ServiceVersions{"a": {Stable: "v2", SetByRollout: true}})
		}, "", "v2"},
		{"candidate is set, stable version is not", func(balancer *Balancer) {
			balancer.SetVersions(0, map[string]ServiceVersions{"a": {Candidate: "v2"}})
			balancer.SetList(0, both)
		}, "", "v1"},
		{"upstreams without a version", func(balancer *Balancer) { balancer.SetList(0, instancesOfVersion("", 4)) }, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			nodes, shards := makeGateways("z")
			balancer := newReadyBalancer("z-gateway-0", "z", nil, nodes[:1], shards, nil)
			balancer.hasList = false
			c.steps(balancer)
			completeTrials(balancer, 0)
			counts := versionsReached(balancer, 0, c.requested)
			if c.name == "upstreams without a version" {
				if counts[""] == 0 {
					t.Errorf("no request granted: %v", counts)
				}
				return
			}
			for v, n := range counts {
				if v != c.want {
					t.Errorf("%d requests to version %s", n, v)
				}
			}
			if c.want != "" && counts[c.want] == 0 {
				t.Errorf("no request to version %s: %v", c.want, counts)
			}
		})
	}
}

// When a candidate is reverted, the requests queued for it go to the stable version, and
// connections to its upstreams are closed.
func TestRevertedCandidateReleasesQueueAndConnections(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", nil, nodes[:1], shards, nil)
	balancer.SetVersions(0, map[string]ServiceVersions{"a": {Stable: "v1", Candidate: "v2", SetByRollout: true}})
	balancer.SetList(0, append(instancesOfVersion("v1", 3), instancesOfVersion("v2", 1)...))
	completeTrials(balancer, 0)
	var leases []SlotLease
	for { // use the full capacity of the candidate
		req := &AcquireRequest{Version: "v2"}
		lease, decided := acquire(balancer, 0, req)
		if !decided {
			balancer.Cancel(req)
			break
		}
		leases = append(leases, lease)
	}
	queued := &AcquireRequest{Version: "v2"}
	var granted *SlotLease
	queued.Service, queued.OnResult = "a", func(lease SlotLease) { granted = &lease }
	balancer.Acquire(0, queued)
	if granted != nil {
		t.Fatal("a candidate at its capacity was granted again")
	}
	balancer.SetVersions(0, map[string]ServiceVersions{"a": {Stable: "v1", SetByRollout: true}})
	if granted == nil || !strings.HasPrefix(granted.ID, "v1") {
		t.Fatalf("the queued request got %+v", granted)
	}
	closed := len(balancer.ConnsToClose)
	balancer.Release(0, leases[0], &Conn{Expires: time.Hour}, Served)
	if len(balancer.ConnsToClose) != closed+1 {
		t.Error("a connection to a reverted version is kept")
	}
	if counts := versionsReached(balancer, 0, "v2"); counts["v2"] > 0 {
		t.Errorf("a reverted version gets requests: %v", counts)
	}
}

// Retries of all versions of a service are charged to one budget.
func TestVersionsShareOneRetryBudget(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", nil, nodes[:1], shards, nil)
	balancer.SetVersions(0, map[string]ServiceVersions{"a": {Stable: "v1", Candidate: "v2", SetByRollout: true}})
	balancer.SetList(0, append(instancesOfVersion("v1", 6), instancesOfVersion("v2", 6)...))
	completeTrials(balancer, 0)
	for range 11 {
		balancer.RecordRequest("a") // earns a little over 2 in all
	}
	granted := 0
	for i := range 20 {
		version := ""
		if i%2 == 0 {
			version = "v2"
		}
		if lease, ok := acquire(balancer, 0, &AcquireRequest{Version: version, Retry: true}); ok && lease.Refusal == Granted {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d retries on a budget of 2", granted)
	}
}
