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

// orderKind is the kind of message that carries an order to the owner of its partition.
const orderKind = "order"

// order is a request to the owner of a partition, as it is sent between control nodes. In addition
// to Partition, one field selects the task that the owner carries out; with none, the owner only
// confirms that it owns the partition. Fields that merely accompany another one are described as
// such.
type order struct {
	Partition string                  `cbor:"1,keyasint"`
	Patch     []byte                  `cbor:"2,keyasint,omitempty"`
	Evacuate  *bool                   `cbor:"3,keyasint,omitempty"`
	Bind      []placement.BindRequest `cbor:"4,keyasint,omitempty"`
	Retire    string                  `cbor:"6,keyasint,omitempty"`
	Plan      []byte                  `cbor:"7,keyasint,omitempty"`
	Read      bool                    `cbor:"5,keyasint,omitempty"`
	ShowState bool                    `cbor:"14,keyasint,omitempty"` // returns all that the owner knows of a rollout
	// ID and Age accompany every order. ID is the same in all attempts of one call, and Age is how
	// old the call was when this attempt was sent.
	ID  uint64        `cbor:"8,keyasint,omitempty"`
	Age time.Duration `cbor:"9,keyasint,omitempty"`
	// Rollout begins a rollout, Abort reverses that of the partition. Adopt records versions that
	// services run without a rollout; SeenGenerations accompanies it and gives the generation of
	// each record as the sender saw it.
	Rollout         *rollout.OrderRequest       `cbor:"10,keyasint,omitempty"`
	Abort           bool                        `cbor:"11,keyasint,omitempty"`
	Adopt           map[string]rollout.Standing `cbor:"12,keyasint,omitempty"`
	SeenGenerations map[string]uint64           `cbor:"13,keyasint,omitempty"`
	// Service asks the owner of the configuration about a service. Current accompanies Rollout: it
	// is the version that the owner reported as current.
	Service string           `cbor:"15,keyasint,omitempty"`
	Current rollout.Standing `cbor:"16,keyasint,omitzero"`
	// Reversal accompanies Abort: it identifies the rollout.
	Reversal rollout.Reversal `cbor:"17,keyasint,omitzero"`
	// Basis accompanies an operator's order: it is the state that the order relies on, as the
	// control node that received it knew it then: the generation of a zone's record, or the number
	// of a service's newest rollout. On another state the order is refused. nil: the order has no
	// basis, or comes from an earlier release.
	Basis *uint64 `cbor:"18,keyasint,omitempty"`
}

// orderReply is the owner's answer to an order.
type orderReply struct {
	Failed bool          `cbor:"1,keyasint,omitempty"`
	Kind   apierror.Kind `cbor:"2,keyasint,omitempty"`
	Detail string        `cbor:"3,keyasint,omitempty"`
	Body   []byte        `cbor:"4,keyasint,omitempty"`
}

// orderController sends orders to the owners of their partitions, and carries out those whose
// partition this control node owns.
type orderController struct {
	*environment
	configuration *configuration
	evacuations   *evacuations
	rollouts      *rolloutController
	revocations   *revocations // nil where the settings don't bound the use of revoked keys
	settler       *callSettler
}

// registerHandlers registers the handler for orders that other control nodes forward.
func (c *orderController) registerHandlers() {
	c.endpoint.HandleAsync(orderKind, func(from string, body []byte) (any, error) {
		var o order
		if err := cbor.Unmarshal(body, &o); err != nil {
			c.endpoint.Undecoded.Add(1)
			return nil, err
		}
		return c.execute(from, o), nil
	})
}

// submitFunc is orderController.submit, for controllers that submit orders.
type submitFunc func(caller context.Context, o order) ([]byte, error)

// newOrderID draws a random ID for an order.
func newOrderID(o order) uint64 {
	if o.Evacuate != nil {
		return config.EvacuationOrderID(rand.Uint64(), *o.Evacuate)
	}
	return rand.Uint64() | 1
}

// submit sends an order to the current owner of its partition, and retries for a short time while
// there is none. It is not sent again once the context of the caller has ended: an order that took
// effect then could undo one that its operator has given since. An attempt in progress is completed.
func (c *orderController) submit(caller context.Context, o order) ([]byte, error) {
	begin := time.Now()
	deadline := begin.Add(settings.Seconds(c.settings.Bounds.AckS * 0.17))
	o.ID = newOrderID(o)
	pause := c.settings.HeartbeatInterval() / 10
	var reply orderReply
	for {
		owner := make(chan string, 1)
		c.enqueue(func(now time.Duration) {
			owner <- cmp.Or(c.replica.Owner(now, o.Partition), c.replica.InitialOwner(now, o.Partition))
		})
		to := <-owner
		o.Age = time.Since(begin)
		switch {
		case caller.Err() != nil:
			return nil, apierror.New(apierror.ClientLeftBeforeSend, "order on %s", o.Partition)
		case to == "":
			reply = orderReply{true, apierror.NoQuorum, "no owner for " + o.Partition, nil}
		case to == c.endpoint.Address():
			reply = c.execute(to, o)
		default:
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			if err := c.endpoint.Call(ctx, to, orderKind, o, &reply); err != nil {
				reply = failedReply(err)
			}
			cancel()
		}
		if !reply.Failed {
			return reply.Body, nil
		}
		if reply.Kind != apierror.NoQuorum || time.Now().Add(pause).After(deadline) || !pauseFor(caller, pause) {
			return nil, apierror.NewRetryAfter(reply.Kind, retryAfter(reply.Kind, c.settings), "%s", reply.Detail)
		}
		pause *= 2
	}
}

// maxOrderWait is how long an order may have been on this machine before it is processed.
const maxOrderWait = callerTimeout / 5

// orderBasis returns the state that an operator's order relies on, which read gives on the event
// loop. An order that has waited on this machine, as it does while the process is frozen, is
// refused: its operator may have turned to another node since, and given further orders.
func (e *environment) orderBasis(arrived arrival, read func() uint64) (*uint64, error) {
	states := make(chan uint64, 1)
	e.enqueue(func(time.Duration) { states <- read() })
	state := <-states
	if age := arrived.age(); age > maxOrderWait || e.stalls.stalled() {
		e.log.control.Warn("order refused: it waited too long on this machine", "ageMs", age.Milliseconds())
		return nil, apierror.NewRetryAfter(apierror.OutdatedOrder, retryAfter(apierror.OutdatedOrder, e.settings), "it has waited for %v", age)
	}
	return &state, nil
}

// execute carries out, as the owner of its partition, an order that this control node or another
// received.
func (c *orderController) execute(via string, o order) orderReply {
	t, err := c.task(via, o)
	if err != nil {
		return failedReply(err)
	}
	done := make(chan orderReply, 1)
	if o.Retire != "" {
		c.enqueue(func(now time.Duration) {
			c.replica.Retire(now, o.Retire, func(err error) { done <- retireReply(err) })
		})
		return <-done
	}
	c.enqueue(func(now time.Duration) {
		c.replica.Propose(now, o.Partition, func(have map[string]replication.Record) ([]replication.Record, error) {
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

// retireReply converts the result of retiring a node.
func retireReply(err error) orderReply {
	switch {
	case err == nil:
		return orderReply{}
	case errors.Is(err, replication.ErrUnknown):
		return failedReply(apierror.New(apierror.UnknownNode, "it has no seat"))
	case errors.Is(err, replication.ErrAlive), errors.Is(err, replication.ErrTooFew):
		return failedReply(apierror.New(apierror.StateForbids, "%v", err))
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
	case apierror.NoQuorum, apierror.NotInForceEverywhere, apierror.PossibleDuplicate, apierror.OutdatedOrder:
		return cfg.HeartbeatInterval()
	}
	return 0
}
