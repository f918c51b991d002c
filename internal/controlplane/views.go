package controlplane

import (
	"madderwing/internal/config"
	"madderwing/internal/election"
	"madderwing/internal/quota"
	"madderwing/internal/replication"
	"madderwing/internal/upstream"
)

// Member is a node as the administration API shows it.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Plane       string `json:"plane"`
	State       string `json:"state"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
	Shard       int    `json:"shard"` // -1 on control nodes
	Voter       bool   `json:"seat"`  // it is a voter
}

// PartitionSummary is a partition of the control state as the administration API shows it.
type PartitionSummary struct {
	Partition string `json:"key"`
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	Seq       uint64 `json:"seq"`
	Commit    uint64 `json:"commit"`
	Records   int    `json:"records"`
	// ContactAgeS is how long ago this node heard the owner; at the owner, how long ago a majority
	// confirmed it.
	ContactAgeS float64 `json:"heardAgoS"`
}

// RouteState is a route and its placement.
type RouteState struct {
	Name       string       `json:"name"`
	Host       string       `json:"host"`
	PathPrefix string       `json:"pathPrefix"`
	Targets    []string     `json:"targets"`
	Generation uint64       `json:"generation"`
	Phase      config.Phase `json:"phase"`
	Shard      int          `json:"shard"`
}

// ShardState is a shard and its gateways.
type ShardState struct {
	Label    int      `json:"label"`
	Gateways []string `json:"desks"`
	Zones    int      `json:"zones"`
	Routes   int      `json:"routes"`
}

// Delivery reports whether the newest items are in effect at a gateway.
type Delivery struct {
	Gateway  string `json:"desk"`
	Zone     string `json:"zone"`
	Reported bool   `json:"heard"`   // it reported to a control node recently
	Current  bool   `json:"current"` // has the newest items that the answering control node knows
}

// TenantState is a tenant as the administration API shows it, without its keys.
type TenantState struct {
	Name       string   `json:"name"`
	Keys       int      `json:"keys"`
	Priority   *int     `json:"priority,omitempty"`
	RatePerS   float64  `json:"ratePerS"`
	Burst      float64  `json:"burst"`
	Residency  []string `json:"residency,omitempty"`
	Generation uint64   `json:"generation"`
}

// Quotas names the allocator of tenants' quotas and, at the allocator, describes what is allocated.
type Quotas struct {
	Allocator   string                  `json:"lender"`
	Silent      []string                `json:"silent,omitempty"` // control nodes that have not reported to the allocator
	Allocations []quota.AllocationState `json:"allocations,omitempty"`
}

// Overview is all that the administration API shows.
type Overview struct {
	Node        string                     `json:"node"`
	Voting      bool                       `json:"voting"`
	Contact     Contact                    `json:"contact"`
	VoterSet    replication.VoterSetStatus `json:"roster"`
	Members     []Member                   `json:"members"`
	Partitions  []PartitionSummary         `json:"keys"`
	Roles       []election.State           `json:"duties"`
	Routes      []RouteState               `json:"routes"`
	Shards      []ShardState               `json:"shards"`
	Upstreams   []upstream.Instance        `json:"upstreams"`
	Listing     upstream.ListVersion       `json:"listing"`
	Evacuations []string                   `json:"evacuations"`
	// EvacuationsInDoubt lists the zones in Evacuations all of whose evacuations may have been
	// withdrawn.
	EvacuationsInDoubt []string          `json:"evacuationsInDoubt,omitempty"`
	Delivery           []Delivery        `json:"delivery"`
	Tenants            []TenantState     `json:"tenants,omitempty"`
	Quotas             *Quotas           `json:"quotas,omitempty"`
	Rollouts           []RolloutState    `json:"rollouts"`
	Counters           map[string]uint64 `json:"counters"`
}
