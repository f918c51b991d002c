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

// records are the records of one partition, by name.
type records = map[string]replication.Record

// task is what the owner of a partition does for one order. Its methods run on the event loop.
type task interface {
	// change computes the change of the partition's records. A replication round then commits it,
	// or confirms that nothing changed; receivedAt is when the owner started on the order. An error
	// refuses the order.
	change(receivedAt time.Duration, have records) ([]replication.Record, error)
	// finish answers the order after the round has succeeded. It may answer later.
	finish(receivedAt, now time.Duration, answer func(orderReply))
}

// task returns the task of an order; via is the control node that received it.
func (c *orderController) task(via string, o order) (task, error) {
	service := strings.TrimPrefix(o.Partition, rollout.Prefix)
	switch {
	case len(o.Plan) > 0:
		change, err := config.ParseRequest(o.Plan)
		return &planTask{orders: c, requested: change}, err
	case len(o.Patch) > 0:
		change, err := config.ParseRequest(o.Patch)
		return &patchTask{orders: c, requested: change}, err
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
		return &readTask{answer: func(have records) []byte { return encodeServiceStanding(have, o.Service) }}, nil
	case o.ShowState:
		return &showTask{rollouts: c.rollouts, service: service}, nil
	case o.Read:
		return &readTask{answer: func(have records) []byte { return render(o.Partition, have) }}, nil
	}
	return confirmTask{}, nil
}

// emptyAnswer is embedded in tasks whose answer has no body.
type emptyAnswer struct{}

func (emptyAnswer) finish(_, _ time.Duration, answer func(orderReply)) { answer(orderReply{}) }

// confirmTask changes nothing: the round confirms that this control node owns the partition.
type confirmTask struct{ emptyAnswer }

func (confirmTask) change(time.Duration, records) ([]replication.Record, error) { return nil, nil }

// readTask answers from the records that the round has confirmed.
type readTask struct {
	answer func(records) []byte
	body   []byte
}

func (t *readTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	t.body = t.answer(have)
	return nil, nil
}

func (t *readTask) finish(_, _ time.Duration, answer func(orderReply)) {
	answer(orderReply{Body: t.body})
}

// planTask reports what a change of the configuration would do.
type planTask struct {
	orders    *orderController
	requested *config.Change
	effects   []config.ItemEffect
}

func (t *planTask) change(_ time.Duration, have records) (_ []replication.Record, err error) {
	t.effects, err = t.requested.Plan(have, &t.orders.configuration.decoder)
	return nil, err
}

func (t *planTask) finish(_, _ time.Duration, answer func(orderReply)) {
	body, _ := json.Marshal(t.effects)
	answer(orderReply{Body: body})
}

// patchTask changes the configuration.
type patchTask struct {
	orders    *orderController
	requested *config.Change
	revokes   bool // it revokes a tenant's key
}

func (t *patchTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	decoder := &t.orders.configuration.decoder
	changes, err := t.requested.Apply(have, decoder)
	if err == nil {
		err = t.orders.diskRoom.admit(have, changes)
	}
	if err != nil {
		return nil, err
	}
	t.revokes = t.orders.revocations != nil && config.RevokesAPIKey(have, changes, decoder)
	return changes, nil
}

func (t *patchTask) finish(_, now time.Duration, answer func(orderReply)) {
	revocations := t.orders.revocations
	if revocations == nil {
		answer(orderReply{})
		return
	}
	if t.revokes {
		revocations.noteRevocation(now)
	}
	if t.requested.ChangesTenants() {
		if remaining := revocations.remainingDelay(t.orders.now()); remaining > 0 {
			t.orders.answerLater(remaining, answer)
			return
		}
	}
	answer(orderReply{})
}

// answerLater answers a call that has been carried out but may not be confirmed yet: at the right
// time if that is soon, otherwise at once with the advice to retry.
func (c *orderController) answerLater(remaining time.Duration, answer func(orderReply)) {
	if remaining > c.settings.HeartbeatInterval()*2/3 {
		answer(orderReply{true, apierror.NotInForceEverywhere, "keys that were taken away may be in use for " + remaining.String(), nil})
		return
	}
	time.AfterFunc(remaining, func() { answer(orderReply{}) })
}

// evacuationTask starts or withdraws the evacuation of a zone.
type evacuationTask struct {
	orders *orderController
	order  order
	via    string // the control node that received the order

	generationBefore, generationAfter uint64 // generations of the zone's record
}

func (t *evacuationTask) change(receivedAt time.Duration, have records) ([]replication.Record, error) {
	o := t.order
	t.generationBefore = have[o.Partition].Gen
	t.generationAfter = t.generationBefore
	changes, err := config.ApplyEvacuationOrder(have, config.EvacuationOrder{Zone: strings.TrimPrefix(o.Partition, config.EvacuationPrefix),
		Evacuate: *o.Evacuate, ID: o.ID, BaseGeneration: o.Basis, Recent: t.orders.evacuations.recent(receivedAt, o.Partition)})
	if len(changes) > 0 {
		t.generationAfter = changes[0].Gen
	}
	return changes, err
}

func (t *evacuationTask) finish(receivedAt, now time.Duration, answer func(orderReply)) {
	t.orders.log.control.Info("evacuation order carried out", "zone", strings.TrimPrefix(t.order.Partition, config.EvacuationPrefix),
		"evacuate", *t.order.Evacuate, "order", orderName(t.order.ID), "via", t.via, "ageMs", (t.order.Age + now - receivedAt).Milliseconds(),
		"generationBefore", t.generationBefore, "generation", t.generationAfter)
	answer(orderReply{})
}

// orderName formats the ID of an order for the log.
func orderName(id uint64) string { return strconv.FormatUint(id, 16) }

// bindTask creates bindings of routes to shards, and returns for each whether it was refused.
type bindTask struct {
	bindings []placement.BindRequest
	refused  []bool
}

func (t *bindTask) change(_ time.Duration, have records) (all []replication.Record, _ error) {
	for i, b := range t.bindings {
		changes, err := config.Bind(have, b.Binding, b.ExpectedRev)
		t.refused[i] = err != nil
		all = append(all, changes...)
	}
	return all, nil
}

func (t *bindTask) finish(_, _ time.Duration, answer func(orderReply)) {
	body, _ := cbor.Marshal(t.refused)
	answer(orderReply{Body: body})
}

// beginTask begins a rollout.
type beginTask struct {
	emptyAnswer
	rollouts *rolloutController
	order    order
}

func (t beginTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	call := t.rollouts.call(t.order.Rollout.Service, t.order)
	return rollout.Begin(have, *t.order.Rollout, t.rollouts.currentVersion(have[t.order.Partition], t.order), call)
}

// abortTask reverses a rollout.
type abortTask struct {
	emptyAnswer
	rollouts *rolloutController
	service  string
	order    order
}

func (t abortTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	age := t.rollouts.controller.Age(t.rollouts.now(), t.service)
	return rollout.Abort(have, t.service, t.order.Reversal, age, t.rollouts.call(t.service, t.order))
}

// adoptTask records the versions that services run without a rollout.
type adoptTask struct {
	emptyAnswer
	order order
}

func (t adoptTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	return rollout.StoreStanding(have, t.order.Adopt, t.order.SeenGenerations), nil
}

// showTask returns all that the owner knows of a rollout.
type showTask struct {
	rollouts *rolloutController
	service  string
	exists   bool // the service has a rollout
}

func (t *showTask) change(_ time.Duration, have records) ([]replication.Record, error) {
	_, t.exists = rollout.DecodePlan(have[rollout.PartitionOf(t.service)])
	return nil, nil
}

func (t *showTask) finish(_, now time.Duration, answer func(orderReply)) {
	body := t.rollouts.stateJSON(now, t.service)
	if t.exists && body == nil { // this node has just become the owner and has not published the rollout yet
		answer(failedReply(replication.ErrNoQuorum))
		return
	}
	answer(orderReply{Body: body})
}
