package upstream

import (
	"maps"
	"time"
)

// Versions says which versions of a service are served.
type Versions struct {
	Stands    string // the version that stands; empty: whatever is not the candidate
	Candidate string // has a pool of its own; empty: none
	// Ordered says that an order is behind this. Where none is, and no upstream of the
	// version that stands is listed, the most frequent of the others stands.
	Ordered bool
}

// SetVersions takes the versions of the services, by service. Of a service that is not
// named, the version that most upstreams have when the first are listed stands.
func (s *Balancer) SetVersions(now time.Duration, versions map[string]Versions) {
	if maps.Equal(versions, s.versions) {
		return
	}
	s.versions = versions
	s.assign(now)
	s.serveAll(now)
}

// poolFor is the pool that an upstream belongs to: nil for one whose version nobody has
// given a weight.
func (s *Balancer) poolFor(u *Upstream) *service {
	v, named := s.versions[u.Service]
	if !named || v.Stands == "" && v.Candidate == "" || !v.Ordered && s.listed[u.Service][v.Stands] == 0 {
		v.Stands = s.first[u.Service]
	}
	switch {
	case v.Candidate != "" && u.Version == v.Candidate:
		return s.poolOf(u.Service, v.Candidate)
	case v.Stands == "" || u.Version == v.Stands:
		return s.service(u.Service)
	}
	return nil
}

// pools brings the pools in line with the versions: what waits for a candidate that is
// one no longer waits for the version that stands.
func (s *Balancer) pools() {
	s.firstVersions()
	for name, v := range s.services {
		if name == v.of || v.name == v.of+"@"+s.versions[v.of].Candidate {
			continue
		}
		all := s.service(v.of)
		for _, c := range v.waiting {
			c.Version = ""
			all.waiting = append(all.waiting, c)
		}
		v.waiting = nil
	}
}

// firstVersions settles, for services of which nobody has said what stands, which
// version does: the most frequent one when the first upstreams are listed, for as long
// as there are any of it.
func (s *Balancer) firstVersions() {
	s.listed = map[string]map[string]int{}
	for _, u := range s.ups {
		if u.gone {
			continue
		}
		if s.listed[u.Service] == nil {
			s.listed[u.Service] = map[string]int{}
		}
		s.listed[u.Service][u.Version]++
	}
	for service, of := range s.listed {
		if of[s.first[service]] == 0 {
			s.first[service] = MostFrequent(of)
		}
	}
}

// MostFrequent is the version with the highest count, of several the first by name.
func MostFrequent(counts map[string]int) (version string) {
	most := -1
	for v, n := range counts {
		if n > most || n == most && v < version {
			version, most = v, n
		}
	}
	return version
}

// claimed is the pool that a claim is for.
func (s *Balancer) claimed(c *AcquireRequest) *service {
	if c.Version != "" && s.versions[c.Service].Candidate != c.Version {
		c.Version = ""
	}
	return s.poolOf(c.Service, c.Version)
}
