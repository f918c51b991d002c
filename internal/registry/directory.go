package registry

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
)

// Directory answers queries for gateway addresses from the last list of gateways that it was given.
type Directory struct {
	ttl    time.Duration
	latest atomic.Pointer[snapshot]
	// InContact, if set, reports whether the list of gateways is recent enough to be served.
	InContact func() bool
	Answered  atomic.Uint64
	Refused   atomic.Uint64
	residency func(host string) []string
}

type snapshot struct {
	gateways []Gateway
	mu       sync.Mutex
	answers  map[string][]byte // by zone, region and residency
}

// maxCachedAnswers bounds the cache, since clients may send any zone and region.
const maxCachedAnswers = 1024

// NewDirectory returns a directory whose answers are valid for ttl. residency returns the regions
// in which a host is served.
func NewDirectory(ttl time.Duration, residency func(host string) []string) *Directory {
	d := &Directory{ttl: ttl, residency: residency}
	d.latest.Store(&snapshot{})
	return d
}

// SetGateways replaces the list of gateways. An empty list doesn't replace one with gateways: an old
// answer is better than none while InContact holds.
func (d *Directory) SetGateways(gateways []Gateway) {
	if len(gateways) > 0 || len(d.latest.Load().gateways) == 0 {
		d.latest.Store(&snapshot{gateways: gateways, answers: map[string][]byte{}})
	}
}

// Answer returns the JSON answer to the query for a host name from a client in a region and zone.
func (d *Directory) Answer(name, region, zone string) ([]byte, error) {
	if name == "" {
		return nil, apierror.New(apierror.BadQuery, "name: missing")
	}
	if region == "" && zone == "" {
		return nil, apierror.New(apierror.BadQuery, "region and zone: missing")
	}
	current := d.latest.Load()
	if len(current.gateways) == 0 {
		return nil, apierror.NewRetryAfter(apierror.NoQuorum, d.ttl, "no node known yet")
	}
	if d.InContact != nil && !d.InContact() {
		return nil, apierror.NewRetryAfter(apierror.NoQuorum, d.ttl, "out of contact")
	}
	client := Query{Zone: zone, Region: region, Residency: d.residency(name)}
	key := strings.Join(append([]string{zone, region}, client.Residency...), "\x00")
	current.mu.Lock()
	defer current.mu.Unlock()
	if body, ok := current.answers[key]; ok {
		return body, nil
	}
	body, err := json.Marshal(struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}{Resolve(current.gateways, client), math.Round(d.ttl.Seconds()*1000) / 1000})
	if err == nil && len(current.answers) < maxCachedAnswers {
		current.answers[key] = body
	}
	return body, err
}

// ServeHTTP answers GET /v1/resolve.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	var body []byte
	switch {
	case r.URL.Path != "/v1/resolve":
		err = apierror.New(apierror.UnknownPath, "%s", r.URL.Path)
	case r.Method != http.MethodGet:
		err = apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	default:
		query := r.URL.Query()
		body, err = d.Answer(query.Get("name"), query.Get("region"), query.Get("zone"))
	}
	if err != nil {
		d.Refused.Add(1)
		apierror.Write(w, err)
		return
	}
	d.Answered.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
