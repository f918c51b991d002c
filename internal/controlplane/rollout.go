package controlplane

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/membership"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// gate looks at the rollouts under way, takes the steps of those that this control node
// controls as their key's owner, and passes on what it has heard of the others.
func (a *Node) gate(now, beat time.Duration) {
	moves, tell := a.rolls.Look(now, a.versions, rollout.Surroundings{
		Self: a.post.Self(), Fresh: 2 * beat, Fill: a.fill,
		Owner: func(key string) string { return a.member.Owner(now, key) }})
	for service, v := range a.versions {
		if p := v.Active(); p != nil && p.Stage == rollout.Full && a.member.Owner(now, rollout.Key(service)) == a.post.Self() {
			w := a.rolls.View(service)
			if w.Stage > 2*beat && now >= a.waitsAt {
				a.waitsAt = now + 2*beat
				a.log.rollout.Info("waits at full weight", "service", service, "heard", w.Heard, "live", w.Live,
					"unheard", a.unheard(a.rolls.Gathered(service).Nodes), "requestsAtOtherVersion", w.Busy)
			}
		}
	}
	for to, all := range tell {
		a.post.Send(to, delivery.GatherKind, all)
	}
	for _, m := range moves {
		a.member.Propose(now, rollout.Key(m.To.Service), func(have map[string]replication.Record) ([]replication.Record, error) {
			return rollout.Advance(have, m.From.Gen, m.To)
		}, func(err error) {
			a.rolls.Moved(m)
			if err != nil {
				a.log.rollout.Warn("step not taken", "service", m.To.Service, "stage", m.To.Stage.String(), "error", err)
				return
			}
			a.log.rollout.Info("step taken", "service", m.To.Service, "prior", m.To.Prior, "candidate", m.To.Candidate, "stage", m.To.Stage.String(),
				"percent", rollout.Percent(m.To.Weight), "afterS", logSeconds(m.To.Age), "reason", m.To.Reason)
		})
	}
}

// unheard names some of the live gateways that have not told of a rollout.
func (a *Node) unheard(told map[string]int) (names []string) {
	for _, n := range a.reg.List().Live(membership.Data) {
		if _, ok := told[n.Address]; !ok && len(names) < behindMost {
			names = append(names, n.Name)
		}
	}
	return names
}

// fill adds to what a controller looks at what this control node knows of gateways, upstreams
// and loads.
func (a *Node) fill(v *rollout.View, p *rollout.Plan, told map[string]int) {
	for _, n := range a.reg.List().Live(membership.Data) {
		v.Live++
		if busy, ok := told[n.Address]; ok {
			v.Heard++
			v.Busy += busy
		}
	}
	a.list.stand.Each(a.now(), func(i upstream.Instance, left time.Duration) {
		if i.Service != p.Service || i.Draining {
			return
		}
		if i.Version != p.Candidate {
			v.Standing += float64(i.Capacity)
			return
		}
		v.Slots += float64(i.Capacity)
		if left <= 0 {
			v.Warm += float64(i.Capacity)
		}
	})
	for _, services := range a.delivery.loads {
		for name, load := range services {
			if of, _, _ := strings.Cut(name, "@"); of == p.Service {
				v.Load += load
			}
		}
	}
}

// serves is the version that stands as an order comes: by the record of the service's
// last order, by what the owner of the catalogue said, or, where no version was ever
// kept, by the platform's list.
func (a *Node) serves(last replication.Record, o order) string {
	v := rollout.Service{Standing: o.Stood}
	if p, ok := rollout.Read(last); ok {
		v.Plan = p
	}
	if known := v.Serves(); known != "" {
		return known
	}
	return a.list.versions()[o.Rollout.Service].version
}

// adopt has the versions that stand without an order kept with the items: the first
// that a service has, and another where the platform no longer lists any upstream of
// the one that stands and no order is under way.
func (a *Node) adopt(now time.Duration) {
	if a.adopting || !a.member.Voting() {
		return
	}
	known := a.versions
	o := order{Key: config.Key, Adopt: map[string]rollout.Standing{}, Saw: map[string]uint64{}}
	for service, l := range a.list.versions() {
		v := known[service]
		if v.Active() != nil || l.of[v.Serves()] > 0 || !a.configuration.hasService(service) {
			continue
		}
		s := rollout.Standing{Version: l.version}
		if v.Plan != nil {
			s.After = v.Plan.Gen
		}
		o.Adopt[service], o.Saw[service] = s, a.configuration.shown.Records[rollout.StandingPrefix+service].Gen
	}
	if len(o.Adopt) == 0 {
		return
	}
	a.adopting = true
	go func() {
		_, err := a.submit(o)
		a.do(func(time.Duration) {
			a.adopting = false
			if err != nil {
				a.log.rollout.Warn("standing versions not kept", "error", err)
			}
		})
	}()
}

// render lays out the records of a key for the operator.
func render(key string, records map[string]replication.Record) []byte {
	if !strings.HasPrefix(key, rollout.Prefix) {
		return config.Render(records)
	}
	p, ok := rollout.Read(records[key])
	if !ok {
		return nil
	}
	b, _ := json.Marshal(map[string]string{"state": p.State(), "targetVersion": p.Candidate})
	return b
}

// rollouts serves the calls for rollouts.
func (a *Node) rollouts(r *http.Request, service string) ([]byte, error) {
	wrong := apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	if service == "" {
		if r.Method != http.MethodPost {
			return nil, wrong
		}
		body, err := readCall(r)
		if err != nil {
			return nil, err
		}
		ask, err := rollout.ReadAsk(body)
		if err != nil {
			a.log.control.Warn("rollout refused", "error", err)
			return nil, err
		}
		stood, err := a.service(ask.Service)
		if err != nil {
			return nil, err
		}
		if _, err := a.submit(order{Key: rollout.Key(ask.Service), Rollout: &ask, Stood: stood}); err != nil {
			a.log.control.Warn("rollout not taken", "service", ask.Service, "version", ask.Version, "error", err)
			return nil, err
		}
		a.log.control.Info("rollout taken", "service", ask.Service, "version", ask.Version)
		return []byte("{}\n"), nil
	}
	if err := a.hasService(service); err != nil {
		return nil, err
	}
	switch r.Method {
	case http.MethodGet:
		body, err := a.submit(order{Key: rollout.Key(service), Read: true})
		if err == nil && body == nil {
			err = apierror.New(apierror.NoRollout, "%s", service)
		}
		return body, err
	case http.MethodDelete:
		_, err := a.submit(order{Key: rollout.Key(service), Abort: true})
		return []byte("{}\n"), err
	}
	return nil, wrong
}

// hasService says whether a service stands; a control node that does not know it asks the
// owner of the catalogue before it says no.
func (a *Node) hasService(name string) error {
	has := make(chan bool, 1)
	a.do(func(time.Duration) { has <- a.configuration.hasService(name) })
	if <-has {
		return nil
	}
	_, err := a.service(name)
	return err
}

// standing is what the owner of the catalogue says of a service.
type standing struct {
	Has   bool             `cbor:"1,keyasint,omitempty"`
	Stood rollout.Standing `cbor:"2,keyasint,omitzero"`
}

func stood(have map[string]replication.Record, service string) []byte {
	s := standing{Has: config.HasService(have, service)}
	s.Stood, _ = rollout.ReadStanding(have[rollout.StandingPrefix+service])
	b, err := cbor.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// service asks the owner of the catalogue for a service, and for its version that
// stands there.
func (a *Node) service(name string) (rollout.Standing, error) {
	body, err := a.submit(order{Key: config.Key, Service: name})
	if err != nil {
		return rollout.Standing{}, err
	}
	var s standing
	if err := cbor.Unmarshal(body, &s); err != nil {
		return rollout.Standing{}, err
	}
	if !s.Has {
		return rollout.Standing{}, apierror.New(apierror.UnknownService, "%q", name)
	}
	return s.Stood, nil
}

// ArmState is one arm of a rollout as the administration API shows it.
type ArmState struct {
	Version  string  `json:"version"`
	Answers  uint64  `json:"answers"` // scored, at the present weight
	Failed   uint64  `json:"failed"`
	P99AtMs  float64 `json:"p99AtMostMs"` // 0: too few answers
	MeanTime float64 `json:"meanTimeScore"`
}

// RolloutState is a rollout as the administration API shows it.
type RolloutState struct {
	Service    string     `json:"service"`
	State      string     `json:"state"`
	Stage      string     `json:"stage"`
	Weight     float64    `json:"weight"`
	Controller string     `json:"controller"`
	AgeS       float64    `json:"ageS"`
	WithinS    float64    `json:"withinS"`
	Reason     string     `json:"reason,omitempty"`
	Heard      int        `json:"heard"` // nodes with this weight in force
	Braked     int        `json:"braked"`
	Arms       []ArmState `json:"arms"`
}

// rolloutStates shows all rollouts; figures of the arms are known at the controller.
func (a *Node) rolloutStates(now time.Duration) (out []RolloutState) {
	out = []RolloutState{}
	for service, v := range a.versions {
		p := v.Plan
		if p == nil {
			continue
		}
		sums := a.rolls.Gathered(service)
		s := RolloutState{Service: service, State: p.State(), Stage: p.Stage.String(), Weight: p.Weight, AgeS: p.Age.Seconds(),
			Controller: a.member.Owner(now, rollout.Key(service)), WithinS: p.Within.Seconds(), Reason: p.Reason,
			Heard: len(sums.Nodes), Braked: sums.Braked}
		if !p.Final() {
			s.AgeS = a.rolls.Age(now, service).Seconds()
		}
		all := sums.Sums.All()
		for arm, version := range []string{p.Prior, p.Candidate} {
			s.Arms = append(s.Arms, armState(version, all[arm]))
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// rolloutAtController shows a rollout as its controller knows it.
func (a *Node) rolloutAtController(service string) ([]byte, error) {
	if err := a.hasService(service); err != nil {
		return nil, err
	}
	body, err := a.submit(order{Key: rollout.Key(service), Show: true})
	if err == nil && body == nil {
		err = apierror.New(apierror.NoRollout, "%s", service)
	}
	return body, err
}

func (a *Node) showRollout(now time.Duration, service string) []byte {
	for _, s := range a.rolloutStates(now) {
		if s.Service == service {
			b, _ := json.MarshalIndent(s, "", "  ")
			return append(b, '\n')
		}
	}
	return nil
}

func armState(version string, c rollout.Cell) ArmState {
	s := ArmState{Version: version, Answers: c.Ended, Failed: c.Failed()}
	if c.N > 0 {
		s.MeanTime = c.Sum / float64(c.N)
		s.P99AtMs = float64(c.Tail()) / float64(time.Millisecond)
	}
	return s
}
