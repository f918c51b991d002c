// Package config holds the operator's items: how a call is read and checked
// as a whole, how items are kept with their generations, and the tables that
// requests are looked up in.
package config

import (
	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

// Key is the key of the control state that holds the catalogue.
const Key = "catalogue"

// Record is the form in which items are kept and copied.
type Record = antientropy.Record

// Phase tells how far the placement of a route has come.
type Phase string

// The phases.
const (
	PhaseNew       Phase = "new"
	PhaseScheduled Phase = "scheduled"
)

// Status is the part of a route that only the binding's create path writes.
type Status struct {
	Phase Phase `cbor:"1,keyasint" json:"phase"`
	Shard int   `cbor:"2,keyasint" json:"shard"`
}

// Item is the content of a route's, a tenant's, a service's or the limits' record.
// Raw is the item as the operator sent it. Taken is the memory of what was taken
// before under lower generations, the newest first: for each of a few, the generation
// as a varint and eight bytes of digest; empty in records of earlier releases.
type Item struct {
	Host   string `cbor:"1,keyasint,omitempty"`
	Raw    []byte `cbor:"2,keyasint,omitempty"`
	Status Status `cbor:"3,keyasint"`
	Taken  []byte `cbor:"4,keyasint,omitempty"`
}

// The prefixes of the records' names.
const (
	routePrefix   = "route/"
	tenantPrefix  = "tenant/"
	servicePrefix = "service/"
	bindingPrefix = "binding/"
	limitsName    = "limits"
)

// Share is one service of a split route.
type Share struct {
	Target string  `json:"target"`
	Share  float64 `json:"share"`
}

// Route is a route as read from its item.
type Route struct {
	Name           string  `json:"name"`
	Host           string  `json:"-"`
	PathPrefix     string  `json:"pathPrefix"`
	RouteKind      string  `json:"routeKind"`
	DeadlineS      float64 `json:"deadlineS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	MaxTries       int     `json:"maxTries"`
	Target         string  `json:"target"`
	Split          []Share `json:"split"`
	Public         bool    `json:"public"`
	// Residency lists the regions in which the route may be served; empty: all.
	Residency  []string `json:"residency"`
	Generation uint64   `json:"generation"`
	Status     Status   `json:"-"`
	Rev        uint64   `json:"-"`
}

// Repeatable says whether a request on the route may run more than once.
func (r *Route) Repeatable() bool { return r.RouteKind != "mutating" }

// Targets lists the services that the route may go to.
func (r *Route) Targets() []string {
	if r.Target != "" {
		return []string{r.Target}
	}
	var targets []string
	for _, share := range r.Split {
		targets = append(targets, share.Target)
	}
	return targets
}

// Choose picks a service by a number from 0 up to 1.
func (r *Route) Choose(point float64) string {
	if r.Target != "" {
		return r.Target
	}
	shareSum := 0.0
	for _, share := range r.Split {
		shareSum += share.Share
	}
	point *= shareSum
	last := ""
	for _, share := range r.Split {
		if share.Share <= 0 {
			continue
		}
		last = share.Target
		if point < share.Share {
			break
		}
		point -= share.Share
	}
	return last
}

// Tenant is a tenant as read from its item.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Priority goes before that of the route, where it is given.
	Priority   *int     `json:"priority"`
	RatePerS   float64  `json:"ratePerS"` // 0: no limit
	Burst      float64  `json:"burst"`
	Residency  []string `json:"residency"`
	Generation uint64   `json:"generation"`
}

// Service is a service as read from its item.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

// Limits are the limits on what clients may send.
type Limits struct {
	MaxHeaderBytes int     `json:"maxHeaderBytes"`
	MaxBodyBytes   int64   `json:"maxBodyBytes"`
	HeaderTimeoutS float64 `json:"headerTimeoutS"`
	IdleTimeoutS   float64 `json:"idleTimeoutS"`
}

// HasService says whether a service stands.
func HasService(records map[string]Record, name string) bool {
	record, ok := records[servicePrefix+name]
	return ok && !record.Dropped
}

func decodeItem(record Record) (item Item) {
	_ = cbor.Unmarshal(record.Data, &item)
	return item
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
