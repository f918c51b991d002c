package controlplane

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/placement"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
)

// records are those of one key, by name.
type records = map[string]replication.Record

// task is what the owner of a key does for one order. Its methods run on the pump's
// goroutine.
type task interface {
	// change works out the change on the key's records, which a round then makes safe or
	// confirms; came is when the order was taken up. An error refuses the order.
	change(came time.Duration, have records) ([]replication.Record, error)
	// finish answers, once the round has ended well. It may answer later.
	finish(came, now time.Duration, answer func(verdict))
}

// task is the one that an order stands for, which another control node or this one took.
func (c *orderController) task(via string, o order) (task, error) {
	service := strings.TrimPrefix(o.Key, rollout.Prefix)
	switch {
	case len(o.Plan) > 0:
		change, err := config.Read(o.Plan)
		return &planTask{orders: c, asked: change}, err
	case len(o.Patch) > 0:
		change, err := config.Read(o.Patch)
		return &patchTask{orders: c, asked: change}, err
	case o.Evacuate != nil:
		return &evacuationTask{orders: c, order: o, via: via}, nil
	case o.Bind != nil:
		return &bindTask{bindings: o.Bind, refused: make([]bool, len(o.Bind))}, nil
	case o.Rollout != nil:
		return beginTask{rollouts: c.rollouts, order: o}, nil
	case o.Abort:
		return abortTask{rollouts: c.rollouts, service: service, order: o}, nil
	case o.Adopt != nil:
		return adoptTask{order: o}, nil
	case o.Service != "":
		return &questionTask{answer: func(have records) []byte { return stood(have, o.Service) }}, nil
	case o.Show:
		return &showTask{rollouts: c.rollouts, service: service}, nil
	case o.Read:
		return &questionTask{answer: func(have records) []byte { return render(o.Key, have) }}, nil
	}
	return confirmTask{}, nil
}

// noBody is part of tasks whose answer says only that they were carried out.
type noBody struct{}

func (noBody) finish(_, _ time.Duration, answer func(verdict)) { answer(verdict{}) }

// confirmTask changes nothing: the round confirms that this control node owns the key.
type confirmTask struct{ noBody }

func (confirmTask) change(time.Duration, records) ([]replication.Record, error) { return nil, nil }

// questionTask answers from the records that the round confirms.
type questionTask struct {
	answer func(records) []byte
	body   []byte
}

func (t *questionTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	t.body = t.answer(have)
	return nil, nil
}

func (t *questionTask) finish(_, _ time.Duration, answer func(verdict)) {
	answer(verdict{Body: t.body})
}

// planTask says what a change of the configuration would do.
type planTask struct {
	orders *orderController
	asked  *config.Change
	steps  []config.Step
}

func (t *planTask) change(_ time.Duration, have records) (_ []replication.Record, err error) {
	t.steps, err = t.asked.Plan(have, &t.orders.configuration.reader)
	return nil, err
}

func (t *planTask) finish(_, _ time.Duration, answer func(verdict)) {
	body, _ := json.Marshal(t.steps)
	answer(verdict{Body: body})
}

// patchTask changes the configuration.
type patchTask struct {
	orders  *orderController
	asked   *config.Change
	revokes bool // it takes a key from a tenant
}

func (t *patchTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	reader := &t.orders.configuration.reader
	changes, err := t.asked.Apply(have, reader)
	if err == nil {
		err = t.orders.room.admit(have, changes)
	}
	if err != nil {
		return nil, err
	}
	t.revokes = t.orders.revocations != nil && config.Revokes(have, changes, reader)
	return changes, nil
}

func (t *patchTask) finish(_, now time.Duration, answer func(verdict)) {
	revocations := t.orders.revocations
	if revocations == nil {
		answer(verdict{})
		return
	}
	if t.revokes {
		revocations.note(now)
	}
	if t.asked.NamesTenants() {
		if left := revocations.held(t.orders.now()); left > 0 {
			t.orders.answerLater(left, answer)
			return
		}
	}
	answer(verdict{})
}

// answerLater answers a call that has been carried out but may not be confirmed
// yet: at the right time, if that is soon, or with the advice to ask again.
func (c *orderController) answerLater(left time.Duration, answer func(verdict)) {
	if left > c.set.Beat()*2/3 {
		answer(verdict{true, apierror.NotYet, "keys that were taken away may be in use for " + left.String(), nil})
		return
	}
	time.AfterFunc(left, func() { answer(verdict{}) })
}

// evacuationTask orders or withdraws the evacuation of a zone.
type evacuationTask struct {
	orders *orderController
	order  order
	via    string // the control node that took the order

	before, after uint64 // generations of the zone's record
}

func (t *evacuationTask) change(came time.Duration, have records) ([]replication.Record, error) {
	o := t.order
	t.before = have[o.Key].Gen
	t.after = t.before
	changes, err := config.Evacuation(have, config.EvacuationOrder{Zone: strings.TrimPrefix(o.Key, config.EvacuationPrefix),
		Evacuate: *o.Evacuate, ID: o.ID, Basis: o.Basis, Recent: t.orders.evacuations.recent(came)})
	if len(changes) > 0 {
		t.after = changes[0].Gen
	}
	return changes, err
}

func (t *evacuationTask) finish(came, now time.Duration, answer func(verdict)) {
	t.orders.log.control.Info("evacuation order carried out", "zone", strings.TrimPrefix(t.order.Key, config.EvacuationPrefix),
		"evacuate", *t.order.Evacuate, "order", orderName(t.order.ID), "via", t.via, "ageMs", (t.order.Age + now - came).Milliseconds(),
		"generationBefore", t.before, "generation", t.after)
	answer(verdict{})
}

// orderName is the number of an order as logs show it.
func orderName(id uint64) string { return strconv.FormatUint(id, 16) }

// bindTask creates bindings of routes to shards, and says of each whether it was refused.
type bindTask struct {
	bindings []placement.Order
	refused  []bool
}

func (t *bindTask) change(_ time.Duration, have records) (all []replication.Record, _ error) {
	for i, b := range t.bindings {
		changes, err := config.Bind(have, b.Binding, b.SawRev)
		t.refused[i] = err != nil
		all = append(all, changes...)
	}
	return all, nil
}

func (t *bindTask) finish(_, _ time.Duration, answer func(verdict)) {
	body, _ := cbor.Marshal(t.refused)
	answer(verdict{Body: body})
}

// beginTask begins a rollout.
type beginTask struct {
	noBody
	rollouts *rolloutController
	order    order
}

func (t beginTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	call := t.rollouts.call(t.order.Rollout.Service, t.order)
	return rollout.Begin(have, *t.order.Rollout, t.rollouts.serves(have[t.order.Key], t.order), call)
}

// abortTask has a rollout reversed.
type abortTask struct {
	noBody
	rollouts *rolloutController
	service  string
	order    order
}

func (t abortTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	age := t.rollouts.controller.Age(t.rollouts.now(), t.service)
	return rollout.Abort(have, t.service, t.order.Reversal, age, t.rollouts.call(t.service, t.order))
}

// adoptTask keeps the versions that stand without an order.
type adoptTask struct {
	noBody
	order order
}

func (t adoptTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	return rollout.Adopt(have, t.order.Adopt, t.order.Saw), nil
}

// showTask shows all that the owner knows of a rollout.
type showTask struct {
	rollouts *rolloutController
	service  string
	ordered  bool // there is a rollout
}

func (t *showTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	_, t.ordered = rollout.Read(have[rollout.Key(t.service)])
	return nil, nil
}

func (t *showTask) finish(_, now time.Duration, answer func(verdict)) {
	body := t.rollouts.shownState(now, t.service)
	if t.ordered && body == nil { // taken over a moment ago, and not shown yet
		answer(fault(replication.ErrNoQuorum))
		return
	}
	answer(verdict{Body: body})
}
