package controlplane

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/placement"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
)

// orderKind is the kind of message in which an order goes to the owner of its key.
const orderKind = "order"

// order is what is asked of the owner of a key, as it goes between control nodes; one of the
// fields is set beside Key. The owner carries out the task that it stands for.
type order struct {
	Key       string            `cbor:"1,keyasint"`
	Patch     []byte            `cbor:"2,keyasint,omitempty"`
	Evacuate  *bool             `cbor:"3,keyasint,omitempty"`
	Bind      []placement.Order `cbor:"4,keyasint,omitempty"`
	Retire    string            `cbor:"6,keyasint,omitempty"`
	Plan      []byte            `cbor:"7,keyasint,omitempty"`
	Read      bool              `cbor:"5,keyasint,omitempty"`
	ShowState bool              `cbor:"14,keyasint,omitempty"` // all that the owner knows of a rollout
	// ID is one call of an operator's, however often it is passed on, and Age how
	// old that was when it was.
	ID  uint64        `cbor:"8,keyasint,omitempty"`
	Age time.Duration `cbor:"9,keyasint,omitempty"`
	// Rollout begins one, Abort reverses the one of the key; Adopt names versions that
	// stand, each with the generation of the record that the caller saw.
	Rollout         *rollout.Ask                `cbor:"10,keyasint,omitempty"`
	Abort           bool                        `cbor:"11,keyasint,omitempty"`
	Adopt           map[string]rollout.Standing `cbor:"12,keyasint,omitempty"`
	SeenGenerations map[string]uint64           `cbor:"13,keyasint,omitempty"`
	// Service asks the owner of the configuration for one; Stood is what it said stands
	// there, for an order that begins a rollout.
	Service string           `cbor:"15,keyasint,omitempty"`
	Current rollout.Standing `cbor:"16,keyasint,omitzero"`
	// Reversal says which rollout Abort is for.
	Reversal rollout.Reversal `cbor:"17,keyasint,omitzero"`
	// Basis is the state on which an order of an operator's rests, as the control node that took
	// it knew it then: the generation of a zone's record, or the number of a service's newest rollout. On
	// another state the order is not carried out. nil: it comes from an earlier release.
	Basis *uint64 `cbor:"18,keyasint,omitempty"`
}

// orderReply is the owner's answer.
type orderReply struct {
	Failed bool          `cbor:"1,keyasint,omitempty"`
	Kind   apierror.Kind `cbor:"2,keyasint,omitempty"`
	Detail string        `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
}

// orderController brings orders to the owners of their keys, and carries out those whose key
// this control node owns.
type orderController struct {
	*environment
	configuration *configuration
	evacuations   *evacuations
	rollouts      *rolloutController
	revocations   *revocations // nil where nothing bounds the use of keys that were taken away
}

// handle takes the orders that other control nodes pass on.
func (c *orderController) handle() {
	c.endpoint.HandleSlow(orderKind, func(from string, body []byte) (any, error) {
		var o order
		if err := cbor.Unmarshal(body, &o); err != nil {
			c.endpoint.Undecoded.Add(1)
			return nil, err
		}
		return c.execute(from, o), nil
	})
}

// submitFunc is orderController.submit, for controllers that give orders.
type submitFunc func(caller context.Context, o order) ([]byte, error)

// newOrderID draws the number of an order.
func newOrderID(o order) uint64 {
	if o.Evacuate != nil {
		return config.EvacuationOrderID(rand.Uint64(), *o.Evacuate)
	}
	return rand.Uint64() | 1
}

// submit brings an order to the owner of its key, wherever that is now, and
// waits a little where there is none. Once the caller has left, which caller says, it is not sent
// again: an order that came into force then could undo one that its operator gave since. An
// attempt that has been begun goes on.
func (c *orderController) submit(caller context.Context, o order) ([]byte, error) {
	begin := time.Now()
	limit := begin.Add(settings.Seconds(c.settings.Bounds.AckS * 0.17))
	o.ID = newOrderID(o)
	pause := c.settings.Beat() / 10
	var v orderReply
	for {
		owner := make(chan string, 1)
		c.enqueue(func(now time.Duration) {
			owner <- cmp.Or(c.member.Owner(now, o.Key), c.member.Founder(now, o.Key))
		})
		to := <-owner
		o.Age = time.Since(begin)
		switch {
		case caller.Err() != nil:
			return nil, apierror.New(apierror.ClientGone, "order on %s", o.Key)
		case to == "":
			v = orderReply{true, apierror.NoQuorum, "no owner for " + o.Key, nil}
		case to == c.endpoint.Self():
			v = c.execute(to, o)
		default:
			ctx, cancel := context.WithDeadline(context.Background(), limit)
			if err := c.endpoint.Call(ctx, to, orderKind, o, &v); err != nil {
				v = failedReply(err)
			}
			cancel()
		}
		if !v.Failed {
			return v.Body, nil
		}
		if v.Kind != apierror.NoQuorum || time.Now().Add(pause).After(limit) || !pauseFor(caller, pause) {
			return nil, apierror.Later(v.Kind, retryAfter(v.Kind, c.settings), "%s", v.Detail)
		}
		pause *= 2
	}
}

// maxOrderWait is how long an order may have been at this machine before it is taken up.
const maxOrderWait = callerTimeout / 5

// orderBasis is the state on which an order of an operator's rests, as read gives it here on the pump's
// goroutine. An order that has waited at this machine, as one does while the process stands still, is
// refused: its operator may have gone on to another node since, and given further orders.
func (e *environment) orderBasis(arrived arrival, read func() uint64) (*uint64, error) {
	known := make(chan uint64, 1)
	e.enqueue(func(time.Duration) { known <- read() })
	state := <-known
	if age := arrived.age(); age > maxOrderWait || e.stalls.stalled() {
		e.log.control.Warn("order refused that has waited", "ageMs", age.Milliseconds())
		return nil, apierror.Later(apierror.Outdated, retryAfter(apierror.Outdated, e.settings), "it has waited for %v", age)
	}
	return &state, nil
}

// execute carries out, as the owner of its key, an order that this control node or another took.
func (c *orderController) execute(via string, o order) orderReply {
	t, err := c.task(via, o)
	if err != nil {
		return failedReply(err)
	}
	done := make(chan orderReply, 1)
	if o.Retire != "" {
		c.enqueue(func(now time.Duration) {
			c.member.Retire(now, o.Retire, func(err error) { done <- retireReply(err) })
		})
		return <-done
	}
	c.enqueue(func(now time.Duration) {
		c.member.Propose(now, o.Key, func(have map[string]replication.Record) ([]replication.Record, error) {
			return t.change(now, have)
		}, func(err error) {
			if err != nil {
				done <- failedReply(err)
				return
			}
			t.finish(now, c.now(), func(v orderReply) { done <- v })
		})
	})
	return <-done
}

// retireReply is the verdict on an order that brings nothing back.
func retireReply(err error) orderReply {
	switch {
	case err == nil:
		return orderReply{}
	case errors.Is(err, replication.ErrUnknown):
		return failedReply(apierror.New(apierror.UnknownNode, "it has no seat"))
	case errors.Is(err, replication.ErrAlive), errors.Is(err, replication.ErrTooFew):
		return failedReply(apierror.New(apierror.NotNow, "%v", err))
	}
	return failedReply(err)
}

func failedReply(err error) orderReply {
	var e *apierror.Error
	if errors.As(err, &e) {
		return orderReply{true, e.Kind, e.Detail, nil}
	}
	return orderReply{true, apierror.NoQuorum, err.Error(), nil}
}

func retryAfter(kind apierror.Kind, cfg *settings.Settings) time.Duration {
	switch kind {
	case apierror.NoQuorum, apierror.NotYet, apierror.MaybeRepeated, apierror.Outdated:
		return cfg.Beat()
	}
	return 0
}
