// Package config holds the operator's items: how a call is read and checked
// as a whole, how items are kept with their generations, and the tables that
// requests are looked up in.
package config

import (
	"bytes"
	_ "embed"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"madderwing/internal/antientropy"
	"madderwing/internal/apierror"
	"madderwing/internal/settings"
)

// Key is the key of the control state that holds the catalogue.
const Key = "catalogue"

// EvacuationPrefix begins the keys that hold a zone's evacuation.
const EvacuationPrefix = "evacuation/"

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema { return settings.MustCompile("catalogue.json", schemaText) })

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

// RouteBinding names a route and the shard that serves it.
type RouteBinding struct {
	Route string `cbor:"1,keyasint" json:"route"`
	Shard int    `cbor:"2,keyasint" json:"shard"`
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
	var out []string
	for _, s := range r.Split {
		out = append(out, s.Target)
	}
	return out
}

// Choose picks a service by a number from 0 up to 1.
func (r *Route) Choose(x float64) string {
	if r.Target != "" {
		return r.Target
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Share
	}
	x *= sum
	last := ""
	for _, s := range r.Split {
		if s.Share <= 0 {
			continue
		}
		last = s.Target
		if x < s.Share {
			break
		}
		x -= s.Share
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

// Change is one checked call of an operator.
type Change struct {
	upserts  []Record
	removals []Record
}

// HasService says whether a service stands.
func HasService(have map[string]Record, name string) bool {
	r, ok := have[servicePrefix+name]
	return ok && !r.Dropped
}

func decodeItem(r Record) (it Item) {
	_ = cbor.Unmarshal(r.Data, &it)
	return it
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

type call struct {
	Upsert struct {
		Services []json.RawMessage `json:"services"`
		Tenants  []json.RawMessage `json:"tenants"`
		Limits   json.RawMessage   `json:"limits"`
		Domains  []struct {
			Authority  string            `json:"authority"`
			HostRoutes []json.RawMessage `json:"hostRoutes"`
		} `json:"domains"`
	} `json:"upsert"`
	Remove struct {
		Routes   []removal `json:"routes"`
		Services []removal `json:"services"`
		Tenants  []removal `json:"tenants"`
	} `json:"remove"`
}

type removal struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// inCall finds the places of items in a call that a check has named.
var inCall = regexp.MustCompile(`upsert\.(services|tenants|domains)\.(\d+)(?:\.hostRoutes\.(\d+))?`)

// named puts the names of the items at fault in the place of their numbers.
func named(body []byte, text string) string {
	var c call
	if json.Unmarshal(body, &c) != nil {
		return text
	}
	pick := func(list []json.RawMessage, n string, kind, place string) string {
		var item removal
		if i, err := strconv.Atoi(n); err == nil && i < len(list) {
			_ = json.Unmarshal(list[i], &item)
		}
		if item.Name == "" {
			return place
		}
		return kind + " " + item.Name
	}
	return inCall.ReplaceAllStringFunc(text, func(place string) string {
		m := inCall.FindStringSubmatch(place)
		if m[1] == "services" {
			return pick(c.Upsert.Services, m[2], "service", place)
		}
		if m[1] == "tenants" {
			return pick(c.Upsert.Tenants, m[2], "tenant", place)
		}
		if i, _ := strconv.Atoi(m[2]); m[3] != "" && i < len(c.Upsert.Domains) {
			return pick(c.Upsert.Domains[i].HostRoutes, m[3], "route", place)
		}
		return place
	})
}

func invalid(format string, args ...any) error {
	return apierror.New(apierror.InvalidConfig, format, args...)
}

// Read reads and checks a call by itself. What depends on the items that stand
// is checked by Apply.
func Read(body []byte) (*Change, error) {
	if err := settings.Validate(schema(), body); err != nil {
		return nil, invalid("%s", named(body, err.Error()))
	}
	var c call
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalid("%v", err)
	}
	out := &Change{}
	seen := map[string]bool{}
	add := func(name, host string, raw json.RawMessage) error {
		var head removal
		if err := json.Unmarshal(raw, &head); err != nil {
			return invalid("%s: %v", name, err)
		}
		if name != limitsName { // there is but one, however it may call itself
			name += head.Name
		}
		if seen[name] {
			return invalid("%s: named twice", name)
		}
		seen[name] = true
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return invalid("%s: %v", name, err)
		}
		out.upserts = append(out.upserts, Record{Name: name, Gen: head.Generation,
			Data: encode(Item{Host: host, Raw: compact.Bytes(), Status: Status{Phase: PhaseNew, Shard: -1}})})
		return nil
	}
	for _, raw := range c.Upsert.Services {
		if err := add(servicePrefix, "", raw); err != nil {
			return nil, err
		}
	}
	for _, raw := range c.Upsert.Tenants {
		if err := add(tenantPrefix, "", raw); err != nil {
			return nil, err
		}
	}
	if len(c.Upsert.Limits) > 0 && string(c.Upsert.Limits) != "null" {
		if err := add(limitsName, "", c.Upsert.Limits); err != nil {
			return nil, err
		}
	}
	for _, d := range c.Upsert.Domains {
		for _, raw := range d.HostRoutes {
			if err := add(routePrefix, strings.ToLower(d.Authority), raw); err != nil {
				return nil, err
			}
			var r Route
			if err := json.Unmarshal(raw, &r); err != nil {
				return nil, invalid("route %s: %v", r.Name, err)
			}
			sum := 0.0
			for _, s := range r.Split {
				sum += s.Share
			}
			if r.Target == "" && sum <= 0 {
				return nil, invalid("route %s: split: the shares sum to 0", r.Name)
			}
		}
	}
	drop := func(prefix string, list []removal) error {
		for _, r := range list {
			name := prefix + r.Name
			if seen[name] {
				return invalid("%s: both set and removed", name)
			}
			out.removals = append(out.removals, Record{Name: name, Gen: r.Generation, Dropped: true})
		}
		return nil
	}
	if err := drop(routePrefix, c.Remove.Routes); err != nil {
		return nil, err
	}
	if err := drop(servicePrefix, c.Remove.Services); err != nil {
		return nil, err
	}
	if err := drop(tenantPrefix, c.Remove.Tenants); err != nil {
		return nil, err
	}
	return out, nil
}

// Revokes says whether changes take a key from a tenant that has it in have.
func Revokes(have map[string]Record, changes []Record, x *Reader) bool {
	for _, c := range changes {
		old, ok := have[c.Name]
		if !ok || old.Dropped || !strings.HasPrefix(c.Name, tenantPrefix) {
			continue
		}
		was, err := x.Tenant(old)
		if err != nil {
			return true
		}
		var now Tenant
		if !c.Dropped && json.Unmarshal(decodeItem(c).Raw, &now) != nil {
			return true
		}
		for _, k := range was.APIKeys {
			if !slices.Contains(now.APIKeys, k) {
				return true
			}
		}
	}
	return false
}

// NamesTenants says whether a call sets or removes tenants.
func (c *Change) NamesTenants() bool {
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		if strings.HasPrefix(r.Name, tenantPrefix) {
			return true
		}
	}
	return false
}

// Apply works out which records a call changes, given those that stand, and
// checks the whole that would result. It runs at the owner of the catalogue. A
// generation that is not above the one that stands changes nothing; one that is known
// to have been taken with another content refuses the call with a Conflict.
func (c *Change) Apply(have map[string]Record, reader *Reader) ([]Record, error) {
	var changes []Record
	at := map[string]int{} // where this call's own changes are
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := have[r.Name]
		if i, again := at[r.Name]; again {
			old, ok = changes[i], true
		}
		if ok && r.Gen <= old.Gen {
			if err := confirms(old, r); err != nil {
				return nil, err
			}
			continue // also a removal that is named twice
		}
		if ok {
			r = succeeds(old, r)
		}
		if ok && !old.Dropped && !r.Dropped && strings.HasPrefix(r.Name, routePrefix) {
			// A route keeps its place when the operator changes it.
			it := decodeItem(r)
			it.Status = decodeItem(old).Status
			r.Data, r.Rev = encode(it), old.Rev
		}
		if ok && r.Dropped && strings.HasPrefix(r.Name, routePrefix) {
			if b, bound := have[bindingPrefix+r.Name[len(routePrefix):]]; bound && !b.Dropped {
				changes = append(changes, Record{Name: b.Name, Gen: b.Gen + 1, Dropped: true})
			}
		}
		at[r.Name] = len(changes)
		changes = append(changes, r)
	}
	if len(changes) == 0 {
		return nil, nil
	}
	if err := check(have, changes, reader); err != nil {
		return nil, err
	}
	return changes, nil
}

// Step is what a call would do to one item.
type Step struct {
	Item   string `json:"item"`
	Effect string `json:"effect"` // add, change, drop, or nothing
	Stands uint64 `json:"stands"` // the generation that stands, 0 for none
	Sent   uint64 `json:"sent"`
}

// Plan works out what a call would do, item by item, without doing it.
func (c *Change) Plan(have map[string]Record, reader *Reader) ([]Step, error) {
	changes, err := c.Apply(have, reader)
	if err != nil {
		return nil, err
	}
	taken := map[string]bool{}
	for _, r := range changes {
		taken[r.Name] = true
	}
	steps := []Step{}
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := have[r.Name]
		s := Step{r.Name, "nothing", old.Gen, r.Gen}
		switch {
		case !taken[r.Name] || r.Dropped && (!ok || old.Dropped):
		case r.Dropped:
			s.Effect = "drop"
		case !ok || old.Dropped:
			s.Effect = "add"
		default:
			s.Effect = "change"
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// MaxBytes is how large a catalogue may grow; it has to fit into one message
// between control nodes.
const MaxBytes = 12 << 20

// recordBytes is about what a record takes in a message beside its name and
// data.
const recordBytes = 64

// check checks the whole that results from changes. Of several faults it names
// the first by name.
func check(have map[string]Record, changes []Record, reader *Reader) error {
	changed := make(map[string]Record, len(changes))
	for _, r := range changes {
		changed[r.Name] = r
	}
	stands := func(name string) bool {
		r, ok := changed[name]
		if !ok {
			r, ok = have[name]
		}
		return ok && !r.Dropped
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	holders := map[string]string{} // key -> tenant
	size := 0
	var first error
	fault := func(format string, args ...any) {
		if err := invalid(format, args...); first == nil || err.Error() < first.Error() {
			first = err
		}
	}
	look := func(rec Record) {
		size += len(rec.Data) + len(rec.Name) + recordBytes
		if !rec.Dropped && strings.HasPrefix(rec.Name, tenantPrefix) {
			t, err := reader.Tenant(rec)
			if err != nil {
				fault("%s: %v", rec.Name, err)
				return
			}
			for _, k := range t.APIKeys {
				if other, ok := holders[k]; ok && other != t.Name {
					fault("tenants %s and %s: apiKeys: they share a key", min(other, t.Name), max(other, t.Name))
				}
				holders[k] = t.Name
			}
		}
		if rec.Dropped || !strings.HasPrefix(rec.Name, routePrefix) {
			return
		}
		r, err := reader.Route(rec)
		if err != nil {
			fault("%s: %v", rec.Name, err)
			return
		}
		for _, t := range r.Targets() {
			if !stands(servicePrefix + t) {
				fault("route %s: target: unknown service %q", r.Name, t)
			}
		}
		at := place{r.Host, r.PathPrefix}
		if other, ok := places[at]; ok {
			fault("routes %s and %s: pathPrefix: same host and prefix", min(other, r.Name), max(other, r.Name))
		}
		places[at] = r.Name
	}
	for name, rec := range have {
		if _, ok := changed[name]; !ok {
			look(rec)
		}
	}
	for _, rec := range changes {
		look(rec)
	}
	if first == nil && size > MaxBytes {
		return apierror.New(apierror.BodyTooLarge, "the configuration would hold %d bytes, more than %d", size, MaxBytes)
	}
	return first
}

// ReadRoute reads a route from its record.
func ReadRoute(rec Record) (*Route, error) {
	it := decodeItem(rec)
	r := &Route{}
	if err := json.Unmarshal(it.Raw, r); err != nil {
		return nil, err
	}
	r.Host, r.Status, r.Rev = it.Host, it.Status, rec.Rev
	return r, nil
}

// Reader reads each version of a route or a tenant once. One goroutine owns it.
type Reader struct {
	routes  map[string]read
	tenants map[string]readTenant
}

type readTenant struct {
	data   []byte
	tenant *Tenant
}

// Tenant gives the tenant of a record.
func (x *Reader) Tenant(rec Record) (*Tenant, error) {
	if r, ok := x.tenants[rec.Name]; ok && bytes.Equal(r.data, rec.Data) {
		return r.tenant, nil
	}
	t := &Tenant{}
	if err := json.Unmarshal(decodeItem(rec).Raw, t); err != nil {
		return nil, err
	}
	if x.tenants == nil {
		x.tenants = map[string]readTenant{}
	}
	x.tenants[rec.Name] = readTenant{rec.Data, t}
	return t, nil
}

type read struct {
	data  []byte
	route *Route
}

// Route gives the route of a record.
func (x *Reader) Route(rec Record) (*Route, error) {
	// Generations do not do as a mark: what was refused may have carried the
	// same one.
	if r, ok := x.routes[rec.Name]; ok && bytes.Equal(r.data, rec.Data) && r.route.Rev == rec.Rev {
		return r.route, nil
	}
	r, err := ReadRoute(rec)
	if err != nil {
		return nil, err
	}
	if x.routes == nil {
		x.routes = map[string]read{}
	}
	x.routes[rec.Name] = read{rec.Data, r}
	return r, nil
}

// List lists the routes that stand, by name, and forgets the others.
func (x *Reader) List(have map[string]Record) (out []*Route) {
	for n, rec := range have {
		if rec.Dropped {
			delete(x.routes, n)
		} else if strings.HasPrefix(n, routePrefix) {
			if r, err := x.Route(rec); err == nil {
				out = append(out, r)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Bind is the create path of a RouteBinding, the only writer of a route's
// status. It is refused if the route's status is not the one that the caller
// saw, so that two schedulers cannot bind one route twice. A binding that comes again
// after it was made is acknowledged, and changes nothing, as long as it stands.
func Bind(have map[string]Record, b RouteBinding, sawRev uint64) ([]Record, error) {
	rec, ok := have[routePrefix+b.Route]
	if !ok || rec.Dropped {
		return nil, apierror.New(apierror.Conflict, "route %s is gone", b.Route)
	}
	it := decodeItem(rec)
	bound := Status{PhaseScheduled, b.Shard}
	if rec.Rev == sawRev+1 && it.Status == bound {
		return nil, nil
	}
	if rec.Rev != sawRev {
		return nil, apierror.New(apierror.Conflict, "route %s is at revision %d, not %d", b.Route, rec.Rev, sawRev)
	}
	it.Status = bound
	rec.Rev++
	rec.Data = encode(it)
	binding := Record{Name: bindingPrefix + b.Route, Gen: have[bindingPrefix+b.Route].Gen + 1, Data: encode(b)}
	return []Record{binding, rec}, nil
}

// Render lays out the items that stand as the operator's first call did.
func Render(have map[string]Record) []byte {
	names := make([]string, 0, len(have))
	for n, r := range have {
		if !r.Dropped {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var services, tenants []json.RawMessage
	var limits json.RawMessage
	hosts := map[string][]json.RawMessage{}
	var order []string
	for _, n := range names {
		it := decodeItem(have[n])
		switch {
		case strings.HasPrefix(n, servicePrefix):
			services = append(services, it.Raw)
		case strings.HasPrefix(n, tenantPrefix):
			tenants = append(tenants, it.Raw)
		case n == limitsName:
			limits = it.Raw
		case strings.HasPrefix(n, routePrefix):
			if _, ok := hosts[it.Host]; !ok {
				order = append(order, it.Host)
			}
			hosts[it.Host] = append(hosts[it.Host], it.Raw)
		}
	}
	type domain struct {
		Authority  string            `json:"authority"`
		HostRoutes []json.RawMessage `json:"hostRoutes"`
	}
	out := struct {
		Tenants  []json.RawMessage `json:"tenants,omitempty"`
		Services []json.RawMessage `json:"services"`
		Limits   json.RawMessage   `json:"limits,omitempty"`
		Domains  []domain          `json:"domains"`
	}{Tenants: tenants, Services: services, Limits: limits, Domains: []domain{}}
	if services == nil {
		out.Services = []json.RawMessage{}
	}
	for _, h := range order {
		out.Domains = append(out.Domains, domain{h, hosts[h]})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return []byte(fmt.Sprintf("{%q:%q}", "error", err))
	}
	return b
}

// askOrders is how many of the newest orders an evacuation record names: as many as may
// be under way at once.
const askOrders = 8

// Evacuation works out the change of a zone's evacuation record. An evacuation
// may be asked for more than once, and each withdrawal takes back one ask. id names
// the order, however often and by whom it is passed on: one that the record names
// has been carried out. repeat says that the order may be an earlier one that its
// operator sends again; it then counts only if the zone is not yet as it asks.
func Evacuation(have map[string]Record, zone string, on bool, id uint64, repeat bool) ([]Record, error) {
	name := EvacuationPrefix + zone
	old := have[name]
	asks, orders := readAsks(old)
	if slices.Contains(orders, id) {
		return nil, nil
	}
	switch {
	case on && (asks == 0 || !repeat):
		asks++
	case !on && asks > 0 && !repeat:
		asks--
	default:
		return nil, nil
	}
	orders = append(orders, id)
	orders = orders[max(0, len(orders)-askOrders):]
	r := Record{Name: name, Gen: old.Gen + 1, Dropped: asks == 0, Data: binary.AppendUvarint(nil, asks)}
	for _, o := range orders {
		r.Data = binary.LittleEndian.AppendUint64(r.Data, o)
	}
	return []Record{r}, nil
}

// readAsks reads an evacuation record: how many asks stand, and the newest orders,
// the last one last.
func readAsks(r Record) (asks uint64, orders []uint64) {
	asks, size := binary.Uvarint(r.Data)
	if size <= 0 {
		if r.Gen > 0 && !r.Dropped {
			asks = 1
		}
		return asks, nil
	}
	for rest := r.Data[size:]; len(rest) >= 8; rest = rest[8:] {
		orders = append(orders, binary.LittleEndian.Uint64(rest))
	}
	return asks, orders
}

// LastOrder is the newest order that an evacuation record names; 0: none.
func LastOrder(r Record) uint64 {
	if _, orders := readAsks(r); len(orders) > 0 {
		return orders[len(orders)-1]
	}
	return 0
}
