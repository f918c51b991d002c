package upstream

import (
	"maps"
	"time"
)

// ServiceVersions names the versions of a service that get requests.
type ServiceVersions struct {
	Stable    string // the stable version; empty: the inferred version, or if SetByRollout every version but the candidate
	Candidate string // the version that is being rolled out, with a pool of its own; empty: none
	// SetByRollout is set if an operator's rollout order set these versions. Without one, if no
	// upstream of the stable version is listed, the inferred version takes its place.
	SetByRollout bool
}

// SetVersions sets the versions of the services, by service. The stable version of a service
// that is not named is inferred from the list; see inferStableVersions.
func (b *Balancer) SetVersions(now time.Duration, versions map[string]ServiceVersions) {
	if maps.Equal(versions, b.versions) {
		return
	}
	b.versions = versions
	b.assign(now)
	b.dispatchAll(now)
}

// poolOf returns the pool that an upstream belongs to: nil if its version is neither the
// stable version nor the candidate.
func (b *Balancer) poolOf(u *Upstream) *servicePool {
	served, known := b.versions[u.Service]
	if !known || served.Stable == "" && served.Candidate == "" || !served.SetByRollout && b.versionCounts[u.Service][served.Stable] == 0 {
		served.Stable = b.inferredStable[u.Service]
	}
	switch {
	case served.Candidate != "" && u.Version == served.Candidate:
		return b.poolForVersion(u.Service, served.Candidate)
	case served.Stable == "" || u.Version == served.Stable:
		return b.stablePool(u.Service)
	}
	return nil
}

// reconcilePools adapts the pools to the versions: requests queued for a version that is no
// longer the candidate move to the queue of the stable version.
func (b *Balancer) reconcilePools() {
	b.inferStableVersions()
	for key, pool := range b.pools {
		if key == pool.serviceName || pool.key == pool.serviceName+"@"+b.versions[pool.serviceName].Candidate {
			continue
		}
		stable := b.stablePool(pool.serviceName)
		for _, req := range pool.queue {
			req.Version = ""
			stable.queue = append(stable.queue, req)
		}
		pool.queue = nil
	}
}

// inferStableVersions chooses a stable version for each service, for use where none has been
// set: the most frequent one in the first list with upstreams of the service. It stays as
// long as any upstream of that version is listed and not draining; then it is chosen anew.
func (b *Balancer) inferStableVersions() {
	b.versionCounts = map[string]map[string]int{}
	for _, u := range b.upstreams {
		if u.retired {
			continue
		}
		if b.versionCounts[u.Service] == nil {
			b.versionCounts[u.Service] = map[string]int{}
		}
		b.versionCounts[u.Service][u.Version]++
	}
	for service, counts := range b.versionCounts {
		if counts[b.inferredStable[service]] == 0 {
			b.inferredStable[service] = MostFrequent(counts)
		}
	}
}

// MostFrequent returns the version with the highest count, of several the first in string order.
func MostFrequent(counts map[string]int) (version string) {
	most := -1
	for name, n := range counts {
		if n > most || n == most && name < version {
			version, most = name, n
		}
	}
	return version
}

// poolForRequest returns the pool that a request is for. A request for a version that is not
// the candidate is changed to one for the stable version.
func (b *Balancer) poolForRequest(req *AcquireRequest) *servicePool {
	if req.Version != "" && b.versions[req.Service].Candidate != req.Version {
		req.Version = ""
	}
	return b.poolForVersion(req.Service, req.Version)
}
