package controlplane

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/placement"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
)

// order is what is asked of the owner of a key; one of the fields is set
// beside Key.
type order struct {
	Key      string            `cbor:"1,keyasint"`
	Patch    []byte            `cbor:"2,keyasint,omitempty"`
	Evacuate *bool             `cbor:"3,keyasint,omitempty"`
	Bind     []placement.Order `cbor:"4,keyasint,omitempty"`
	Retire   string            `cbor:"6,keyasint,omitempty"`
	Plan     []byte            `cbor:"7,keyasint,omitempty"`
	Read     bool              `cbor:"5,keyasint,omitempty"`
	Show     bool              `cbor:"14,keyasint,omitempty"` // all that the owner knows of a rollout
	// ID is one call of an operator's, however often it is passed on, and Age how
	// old that was when it was.
	ID  uint64        `cbor:"8,keyasint,omitempty"`
	Age time.Duration `cbor:"9,keyasint,omitempty"`
	// Rollout begins one, Abort reverses the one of the key; Adopt names versions that
	// stand, each with the generation of the record that the caller saw.
	Rollout *rollout.Ask                `cbor:"10,keyasint,omitempty"`
	Abort   bool                        `cbor:"11,keyasint,omitempty"`
	Adopt   map[string]rollout.Standing `cbor:"12,keyasint,omitempty"`
	Saw     map[string]uint64           `cbor:"13,keyasint,omitempty"`
	// Service asks the owner of the catalogue for one; Stood is what it said stands
	// there, for an order that begins a rollout.
	Service string           `cbor:"15,keyasint,omitempty"`
	Stood   rollout.Standing `cbor:"16,keyasint,omitzero"`
}

// verdict is the owner's answer.
type verdict struct {
	Fault  bool          `cbor:"1,keyasint,omitempty"`
	Kind   apierror.Kind `cbor:"2,keyasint,omitempty"`
	Detail string        `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
}

// maxCall bounds the body of a call to control.
const maxCall = 16 << 20

// own carries an order out at this control node as the owner of its key.
func (a *Node) own(o order) verdict {
	var change *config.Change
	if text := append(o.Patch, o.Plan...); text != nil {
		var err error
		if change, err = config.Read(text); err != nil {
			return fault(err)
		}
	}
	refused := make([]bool, len(o.Bind))
	var body []byte // as of the records that the round confirms
	ordered := false
	var steps []config.Step
	revokes := false
	done := make(chan verdict, 1)
	if o.Retire != "" {
		a.do(func(now time.Duration) {
			a.member.Retire(now, o.Retire, func(err error) { done <- outcome(err) })
		})
		return <-done
	}
	a.do(func(now time.Duration) {
		a.member.Propose(now, o.Key, func(have map[string]replication.Record) ([]replication.Record, error) {
			switch {
			case o.Plan != nil:
				var err error
				steps, err = change.Plan(have, &a.configuration.routes)
				return nil, err
			case change != nil:
				changes, err := change.Apply(have, &a.configuration.routes)
				revokes = err == nil && a.quotas != nil && config.Revokes(have, changes, &a.configuration.routes)
				return changes, err
			case o.Evacuate != nil:
				a.asks.begins(o)
				return config.Evacuation(have, strings.TrimPrefix(o.Key, config.EvacuationPrefix), *o.Evacuate, o.ID, a.asks.repeats(now, o))
			case o.Bind != nil:
				var all []replication.Record
				for i, b := range o.Bind {
					changes, err := config.Bind(have, b.Binding, b.SawRev)
					refused[i] = err != nil
					all = append(all, changes...)
				}
				return all, nil
			case o.Rollout != nil:
				return rollout.Begin(have, *o.Rollout, a.serves(have[o.Key], o))
			case o.Abort:
				return rollout.Abort(have, strings.TrimPrefix(o.Key, rollout.Prefix), a.rolls.Age(a.now(), strings.TrimPrefix(o.Key, rollout.Prefix)))
			case o.Adopt != nil:
				return rollout.Adopt(have, o.Adopt, o.Saw), nil
			case o.Service != "":
				body = stood(have, o.Service)
			case o.Show:
				_, ordered = rollout.Read(have[o.Key])
			case o.Read:
				body = render(o.Key, have)
			}
			return nil, nil
		}, func(err error) {
			if err != nil {
				done <- fault(err)
				return
			}
			if o.Evacuate != nil {
				a.asks.carriedOut(now, a.now(), o)
			}
			if revokes {
				a.quotas.revokedAt = a.now()
			}
			if change != nil && o.Plan == nil && a.quotas != nil && change.NamesTenants() {
				if left := a.quotas.held(a.now()); left > 0 {
					a.answerLater(left, done)
					return
				}
			}
			v := verdict{Body: body}
			if o.Plan != nil {
				v.Body, _ = json.Marshal(steps)
			}
			if o.Bind != nil {
				v.Body, _ = cbor.Marshal(refused)
			}
			if o.Show {
				v.Body = a.showRollout(a.now(), strings.TrimPrefix(o.Key, rollout.Prefix))
				if ordered && v.Body == nil { // taken over a moment ago, and not shown yet
					v = fault(replication.ErrNoQuorum)
				}
			}
			done <- v
		})
	})
	return <-done
}

// answerLater answers a call that has been carried out but may not be confirmed
// yet: at the right time, if that is soon, or with the advice to ask again.
func (a *Node) answerLater(left time.Duration, done chan<- verdict) {
	if left > a.set.Beat()*2/3 {
		done <- verdict{true, apierror.NotYet, "keys that were taken away may be in use for " + left.String(), nil}
		return
	}
	time.AfterFunc(left, func() { done <- verdict{} })
}

// outcome is the verdict on an order that brings nothing back.
func outcome(err error) verdict {
	switch {
	case err == nil:
		return verdict{}
	case errors.Is(err, replication.ErrUnknown):
		return fault(apierror.New(apierror.UnknownNode, "it has no seat"))
	case errors.Is(err, replication.ErrAlive), errors.Is(err, replication.ErrTooFew):
		return fault(apierror.New(apierror.NotNow, "%v", err))
	}
	return fault(err)
}

func fault(err error) verdict {
	var e *apierror.Error
	if errors.As(err, &e) {
		return verdict{true, e.Kind, e.Detail, nil}
	}
	return verdict{true, apierror.NoQuorum, err.Error(), nil}
}

// submit brings an order to the owner of its key, wherever that is now, and
// waits a little where there is none.
func (a *Node) submit(o order) ([]byte, error) {
	begin := time.Now()
	limit := begin.Add(settings.Seconds(a.set.Bounds.AckS * 0.17))
	o.ID = rand.Uint64() | 1
	pause := a.set.Beat() / 10
	var v verdict
	for {
		owner := make(chan string, 1)
		a.do(func(now time.Duration) {
			owner <- cmp.Or(a.member.Owner(now, o.Key), a.member.Founder(now, o.Key))
		})
		to := <-owner
		o.Age = time.Since(begin)
		switch {
		case to == a.post.Self():
			v = a.own(o)
		case to != "":
			ctx, cancel := context.WithDeadline(context.Background(), limit)
			if err := a.post.Call(ctx, to, orderKind, o, &v); err != nil {
				v = fault(err)
			}
			cancel()
		default:
			v = verdict{true, apierror.NoQuorum, "no owner for " + o.Key, nil}
		}
		if !v.Fault {
			return v.Body, nil
		}
		if v.Kind != apierror.NoQuorum || time.Now().Add(pause).After(limit) {
			return nil, apierror.Later(v.Kind, retryAfter(v.Kind, a.set), "%s", v.Detail)
		}
		time.Sleep(pause)
		pause *= 2
	}
}

func retryAfter(kind apierror.Kind, set *settings.Settings) time.Duration {
	if kind == apierror.NoQuorum || kind == apierror.NotYet {
		return set.Beat()
	}
	return 0
}

// control serves the operator's calls.
func (a *Node) control(zones []string) http.Handler {
	known := map[string]bool{}
	for _, z := range zones {
		known[z] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCoordination(r.URL.Path) {
			a.coordination.ServeHTTP(w, r)
			return
		}
		a.stats.Orders.Add(1)
		body, err := a.serve(r, known)
		if err != nil {
			a.stats.Refused.Add(1)
			if apierror.KindOf(err) == apierror.NoQuorum {
				a.stats.NoQuorum.Add(1)
			}
			apierror.Write(w, err)
			return
		}
		if r.URL.Path != "/metrics" {
			w.Header().Set("Content-Type", "application/json")
		}
		if view(r) {
			a.contact.stamp(a.now(), w.Header())
		}
		_, _ = w.Write(body)
	})
}

// view says whether a call is answered from what this control node holds, however old: the
// views for operators. All others wait for a majority's word.
func view(r *http.Request) bool {
	page, admin := strings.CutPrefix(r.URL.Path, "/v1/admin/")
	return r.URL.Path == "/metrics" || admin && r.Method == http.MethodGet && !strings.HasPrefix(page, "rollouts/")
}

func readCall(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxCall))
	if err != nil {
		if large := apierror.TooLarge(err); large != nil {
			return nil, large
		}
		return nil, apierror.New(apierror.BadRequest, "body not read: %v", err)
	}
	return body, nil
}

func (a *Node) serve(r *http.Request, zones map[string]bool) ([]byte, error) {
	ok := []byte("{}\n")
	switch path := r.URL.Path; {
	case path == "/v1/config":
		switch r.Method {
		case http.MethodGet:
			return a.submit(order{Key: config.Key, Read: true})
		case http.MethodPatch:
			body, err := readCall(r)
			if err != nil {
				return nil, err
			}
			if _, err := config.Read(body); err != nil {
				a.log.control.Warn("configuration refused", "error", err)
				return nil, err
			}
			if _, err := a.submit(order{Key: config.Key, Patch: body}); err != nil {
				a.log.control.Warn("configuration not taken", "error", err)
				return nil, err
			}
			return ok, nil
		}
		return nil, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, path)
	case strings.HasPrefix(path, "/v1/evacuation/"):
		zone := strings.TrimPrefix(path, "/v1/evacuation/")
		on := r.Method == http.MethodPost
		if !on && r.Method != http.MethodDelete {
			return nil, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, path)
		}
		if !zones[zone] {
			// A no rests on a majority's word as a yes does.
			if _, err := a.submit(order{Key: config.Key}); err != nil {
				return nil, err
			}
			return nil, apierror.New(apierror.UnknownZone, "%q", zone)
		}
		if _, err := a.submit(order{Key: config.EvacuationPrefix + zone, Evacuate: &on}); err != nil {
			return nil, err
		}
		a.log.control.Info("evacuation ordered", "zone", zone, "on", on)
		return ok, nil
	case path == "/v1/rollouts" || strings.HasPrefix(path, "/v1/rollouts/"):
		return a.rollouts(r, strings.TrimPrefix(strings.TrimPrefix(path, "/v1/rollouts"), "/"))
	case path == "/metrics" && r.Method == http.MethodGet:
		return a.metrics(), nil
	case path == coordinationAdminPage && r.Method == http.MethodGet:
		return a.coordinationState().page()
	case path == "/v1/admin/plan" && r.Method == http.MethodPost:
		body, err := readCall(r)
		if err != nil {
			return nil, err
		}
		return a.submit(order{Key: config.Key, Plan: body})
	case strings.HasPrefix(path, "/v1/admin/rollouts/") && r.Method == http.MethodGet:
		return a.rolloutAtController(strings.TrimPrefix(path, "/v1/admin/rollouts/"))
	case strings.HasPrefix(path, "/v1/admin/members/") && r.Method == http.MethodDelete:
		return ok, a.retire(strings.TrimPrefix(path, "/v1/admin/members/"))
	case path == "/v1/admin/resolve" && a.registry != nil && r.Method == http.MethodGet:
		q := r.URL.Query()
		return a.registry.directory.Ask(q.Get("name"), q.Get("region"), q.Get("zone"))
	case strings.HasPrefix(path, "/v1/admin/"):
		if r.Method != http.MethodGet {
			return nil, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, path)
		}
		return a.admin(strings.TrimPrefix(path, "/v1/admin/"), r.URL.Query())
	}
	return nil, apierror.New(apierror.UnknownPage, "%s", r.URL.Path)
}
