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

// Directory answers from the last view that it was given.
type Directory struct {
	ttl  time.Duration
	view atomic.Pointer[view]
	// InContact, where it is set, says whether the view may still be told.
	InContact func() bool
	Answered  atomic.Uint64
	Refused   atomic.Uint64
	residency func(host string) []string
}

type view struct {
	gateways []Gateway
	mu       sync.Mutex
	ready    map[string][]byte // answers by asker
}

// readyMax bounds the answers that are kept; askers name what they like.
const readyMax = 1024

// NewDirectory makes a directory whose answers hold for ttl. residency tells the
// regions of a host.
func NewDirectory(ttl time.Duration, residency func(host string) []string) *Directory {
	d := &Directory{ttl: ttl, residency: residency}
	d.view.Store(&view{})
	return d
}

// SetGateways gives the directory another view. One that knows no gateway is not
// taken over from one that does: while there is contact an old answer beats none.
func (d *Directory) SetGateways(gateways []Gateway) {
	if len(gateways) > 0 || len(d.view.Load().gateways) == 0 {
		d.view.Store(&view{gateways: gateways, ready: map[string][]byte{}})
	}
}

// Ask answers one asker.
func (d *Directory) Ask(name, region, zone string) ([]byte, error) {
	if name == "" {
		return nil, apierror.New(apierror.BadQuestion, "name: missing")
	}
	if region == "" && zone == "" {
		return nil, apierror.New(apierror.BadQuestion, "region and zone: missing")
	}
	v := d.view.Load()
	if len(v.gateways) == 0 {
		return nil, apierror.Later(apierror.NoQuorum, d.ttl, "no node known yet")
	}
	if d.InContact != nil && !d.InContact() {
		return nil, apierror.Later(apierror.NoQuorum, d.ttl, "out of contact")
	}
	a := Asker{Zone: zone, Region: region, Residency: d.residency(name)}
	key := strings.Join(append([]string{zone, region}, a.Residency...), "\x00")
	v.mu.Lock()
	defer v.mu.Unlock()
	if b, ok := v.ready[key]; ok {
		return b, nil
	}
	b, err := json.Marshal(struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}{Resolve(v.gateways, a), math.Round(d.ttl.Seconds()*1000) / 1000})
	if err == nil && len(v.ready) < readyMax {
		v.ready[key] = b
	}
	return b, err
}

// ServeHTTP serves GET /v1/resolve.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	var body []byte
	switch {
	case r.URL.Path != "/v1/resolve":
		err = apierror.New(apierror.UnknownPage, "%s", r.URL.Path)
	case r.Method != http.MethodGet:
		err = apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	default:
		q := r.URL.Query()
		body, err = d.Ask(q.Get("name"), q.Get("region"), q.Get("zone"))
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
