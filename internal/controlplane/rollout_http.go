package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
)

// serve answers the operators' calls on rollouts.
func (c *rolloutController) serve(r *http.Request, service string) ([]byte, error) {
	arrived := arrivalOf(r)
	wrongMethod := apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	if service == "" {
		if r.Method != http.MethodPost {
			return nil, wrongMethod
		}
		body, err := readCall(r)
		if err != nil {
			return nil, err
		}
		request, err := rollout.ParseOrderRequest(body)
		if err != nil {
			c.log.control.Warn("rollout refused", "error", err)
			return nil, err
		}
		basis, err := c.newestBasis(arrived, request.Service)
		if err != nil {
			return nil, err
		}
		current, err := c.askService(r.Context(), request.Service)
		if err != nil {
			return nil, err
		}
		if _, err := c.submit(r.Context(), order{Partition: rollout.PartitionOf(request.Service), Rollout: &request, Current: current, Basis: basis}); err != nil {
			c.log.control.Warn("rollout not taken", "service", request.Service, "version", request.Version, "error", err)
			return nil, err
		}
		c.log.control.Info("rollout taken", "service", request.Service, "version", request.Version)
		return []byte("{}\n"), nil
	}
	if err := c.hasService(r.Context(), service); err != nil {
		return nil, err
	}
	switch r.Method {
	case http.MethodGet:
		body, err := c.submit(r.Context(), order{Partition: rollout.PartitionOf(service), Read: true})
		if err == nil && body == nil {
			err = apierror.New(apierror.NoRollout, "%s", service)
		}
		return body, err
	case http.MethodDelete:
		basis, err := c.newestBasis(arrived, service)
		if err != nil {
			return nil, err
		}
		return []byte("{}\n"), c.reverse(r.Context(), service, r.URL.Query().Get("targetVersion"), basis)
	}
	return nil, wrongMethod
}

// newestBasis is the basis of an order on a service's rollout: the number of the service's newest
// rollout as this control node knows it.
func (c *rolloutController) newestBasis(arrived arrival, service string) (*uint64, error) {
	return c.orderBasis(arrived, func() uint64 {
		plan, ok := rollout.DecodePlan(c.configuration.published.Records[rollout.PartitionOf(service)])
		if !ok {
			return 0
		}
		return plan.Order
	})
}

// reverse reverses a service's rollout: that to the given version, or, if the operator names none,
// the one that a majority confirms now. So a delayed order can't affect a later rollout.
func (c *rolloutController) reverse(caller context.Context, service, version string, basis *uint64) error {
	reversal := rollout.Reversal{Version: version, Named: version != ""}
	if !reversal.Named {
		text, err := c.submit(caller, order{Partition: rollout.PartitionOf(service), Read: true})
		if err != nil {
			return err
		}
		var confirmed rolloutView
		if text == nil || json.Unmarshal(text, &confirmed) != nil {
			return apierror.New(apierror.NoRollout, "%s", service)
		}
		reversal.Version = confirmed.TargetVersion
	}
	_, err := c.submit(caller, order{Partition: rollout.PartitionOf(service), Abort: true, Reversal: reversal, Basis: basis})
	return err
}

// hasService returns an error if a service doesn't exist. A control node that doesn't know the
// service asks the owner of the configuration first.
func (c *rolloutController) hasService(caller context.Context, name string) error {
	known := make(chan bool, 1)
	c.enqueue(func(time.Duration) { known <- c.configuration.hasService(name) })
	if <-known {
		return nil
	}
	_, err := c.askService(caller, name)
	return err
}

// askService asks the owner of the configuration about a service, and returns the version that is
// recorded as current there.
func (c *rolloutController) askService(caller context.Context, name string) (rollout.Standing, error) {
	body, err := c.submit(caller, order{Partition: config.Partition, Service: name})
	if err != nil {
		return rollout.Standing{}, err
	}
	var standing serviceStanding
	if err := cbor.Unmarshal(body, &standing); err != nil {
		return rollout.Standing{}, err
	}
	if !standing.Exists {
		return rollout.Standing{}, apierror.New(apierror.UnknownService, "%q", name)
	}
	return standing.Current, nil
}

// serviceStanding is what the owner of the configuration reports of a service.
type serviceStanding struct {
	Exists  bool             `cbor:"1,keyasint,omitempty"`
	Current rollout.Standing `cbor:"2,keyasint,omitzero"`
}

func encodeServiceStanding(have map[string]replication.Record, service string) []byte {
	standing := serviceStanding{Exists: config.HasService(have, service)}
	standing.Current, _ = rollout.DecodeStanding(have[rollout.StandingPrefix+service])
	b, err := cbor.Marshal(standing)
	if err != nil {
		panic(err)
	}
	return b
}

// render returns the records of a partition as the operators' API shows them.
func render(partition string, records map[string]replication.Record) []byte {
	if !strings.HasPrefix(partition, rollout.Prefix) {
		return config.Render(records)
	}
	plan, ok := rollout.DecodePlan(records[partition])
	if !ok {
		return nil
	}
	b, _ := json.Marshal(rolloutView{State: plan.State(), TargetVersion: plan.Candidate})
	return b
}

// rolloutView is a rollout as the operators' API shows it.
type rolloutView struct {
	State         string `json:"state"`
	TargetVersion string `json:"targetVersion"`
}
