package controlplane

import (
	"context"
	"encoding/hex"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/placement"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
)

// Each order goes over the wire in the form that earlier releases read, and stands for one
// task at the owner.
func TestOrdersOnTheWire(t *testing.T) {
	on := true
	const items = `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":1}]}}`
	for name, c := range map[string]struct {
		order order
		wire  string // without the key
		task  task
	}{
		"a change":          {order{Patch: []byte(items)}, "025842" + hex.EncodeToString([]byte(items)), &patchTask{}},
		"an evacuation":     {order{Evacuate: &on, ID: 9}, "03f50809", &evacuationTask{}},
		"bindings":          {order{Bind: []placement.Order{{}}}, "", &bindTask{}},
		"a read":            {order{Read: true}, "05f5", &readTask{}},
		"a plan":            {order{Plan: []byte(items)}, "075842" + hex.EncodeToString([]byte(items)), &planTask{}},
		"a rollout":         {order{Rollout: &rollout.Ask{}}, "", beginTask{}},
		"a reversal":        {order{Abort: true}, "0bf5", abortTask{}},
		"standing versions": {order{Adopt: map[string]rollout.Standing{"a": {}}, SeenGenerations: map[string]uint64{"a": 2}}, "", adoptTask{}},
		"all of a rollout":  {order{ShowState: true}, "0ef5", &showTask{}},
		"a service":         {order{Service: "a"}, "0f6161", &readTask{}},
		"a confirmation":    {order{}, "", confirmTask{}},
		"an empty plan":     {order{Plan: []byte{}}, "", confirmTask{}}, // is not sent
	} {
		c.order.Key = "k"
		wire, err := cbor.Marshal(c.order)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(wire); c.wire != "" && got[2:] != "01616b"+c.wire {
			t.Errorf("%s: %s on the wire", name, got)
		}
		var o order
		if err := cbor.Unmarshal(wire, &o); err != nil {
			t.Fatal(err)
		}
		for _, at := range []order{c.order, o} {
			task, err := (&orderController{}).task("n", at)
			if err != nil || reflect.TypeOf(task) != reflect.TypeOf(c.task) {
				t.Errorf("%s: %T, %v", name, task, err)
			}
		}
	}
	if _, err := (&orderController{}).task("n", order{Patch: []byte("{")}); err == nil {
		t.Error("a change that cannot be read is taken")
	}
}

// An order is not sent again once its caller has left, nor begun for one that has.
func TestOrderIsNotRetriedWithoutItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 10}}, replica: replica, startedAt: time.Now(), queue: make(chan func(time.Duration))}
		attempts := 0
		go func() {
			for fn := range env.queue {
				attempts++
				fn(env.now())
			}
		}()
		defer close(env.queue)
		orders := &orderController{environment: env}
		caller, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		_, err = orders.submit(caller, order{Key: "k"})
		if took := time.Since(begin); err == nil || took != time.Second || attempts < 2 {
			t.Errorf("%v after %v and %d looks for an owner", err, took, attempts)
		}
		if _, err = orders.submit(caller, order{Key: "k"}); apierror.KindOf(err) != apierror.ClientGone {
			t.Errorf("for a caller that has left: %v", err)
		}
	})
}

// Only a change that names tenants waits for the leases of keys that were taken away.
func TestChangeThatRevokesKeysIsHeld(t *testing.T) {
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	const now = 10 * time.Second
	env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 5, RevokeS: 1, RevocationGlobal: true}}, replica: replica, startedAt: time.Now().Add(-now)}
	for name, c := range map[string]struct {
		text    string
		revokes bool
		sinceRevocation     time.Duration // since the last key was taken; 0: none was
		bounded bool          // the use of keys that were taken away
		held    bool
	}{
		"a key is taken":         {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, true, 0, true, true},
		"a tenant is added":      {`{"upsert":{"tenants":[{"name":"u","generation":1,"apiKeys":["k-0123456789abcdef"]}]}}`, false, 0, true, false},
		"no tenant is named":     {`{"upsert":{"services":[{"name":"a","generation":1,"maxConns":1}]}}`, false, time.Second, true, false},
		"nothing bounds it":      {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, true, 0, false, false},
		"a key went before":      {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, false, time.Second, true, true},
		"a key went long before": {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, false, 3 * time.Second, true, false},
	} {
		requested, err := config.Read([]byte(c.text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		orders := &orderController{environment: env}
		if c.bounded {
			orders.revocations = &revocations{environment: env}
			if c.sinceRevocation > 0 {
				orders.revocations.noteRevocation(now - c.sinceRevocation)
			}
		}
		var answers []orderReply
		task := &patchTask{orders: orders, requested: requested, revokes: c.revokes}
		task.finish(0, env.now(), func(v orderReply) { answers = append(answers, v) })
		if len(answers) != 1 || answers[0].Failed != c.held {
			t.Errorf("%s: %+v", name, answers)
		}
	}
}
