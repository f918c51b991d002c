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

// Each kind of order keeps the encoding that earlier releases read, and becomes one kind of task at
// the owner.
func TestOrdersOnTheWire(t *testing.T) {
	on := true
	const items = `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":1}]}}`
	for name, test := range map[string]struct {
		order order
		wire  string // after the encoded key; empty: not checked
		task  task
	}{
		"a change":          {order{Patch: []byte(items)}, "025842" + hex.EncodeToString([]byte(items)), &patchTask{}},
		"an evacuation":     {order{Evacuate: &on, ID: 9}, "03f50809", &evacuationTask{}},
		"bindings":          {order{Bind: []placement.BindRequest{{}}}, "", &bindTask{}},
		"a read":            {order{Read: true}, "05f5", &readTask{}},
		"a plan":            {order{Plan: []byte(items)}, "075842" + hex.EncodeToString([]byte(items)), &planTask{}},
		"a rollout":         {order{Rollout: &rollout.OrderRequest{}}, "", beginTask{}},
		"a reversal":        {order{Abort: true}, "0bf5", abortTask{}},
		"current versions":  {order{Adopt: map[string]rollout.Standing{"a": {}}, SeenGenerations: map[string]uint64{"a": 2}}, "", adoptTask{}},
		"a rollout's state": {order{ShowState: true}, "0ef5", &showTask{}},
		"a service":         {order{Service: "a"}, "0f6161", &readTask{}},
		"a confirmation":    {order{}, "", confirmTask{}},
		"an empty plan":     {order{Plan: []byte{}}, "", confirmTask{}}, // omitted in the encoding
	} {
		test.order.Partition = "k"
		wire, err := cbor.Marshal(test.order)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(wire); test.wire != "" && got[2:] != "01616b"+test.wire {
			t.Errorf("%s: %s on the wire", name, got)
		}
		var decoded order
		if err := cbor.Unmarshal(wire, &decoded); err != nil {
			t.Fatal(err)
		}
		for _, received := range []order{test.order, decoded} {
			task, err := (&orderController{}).task("n", received)
			if err != nil || reflect.TypeOf(task) != reflect.TypeOf(test.task) {
				t.Errorf("%s: %T, %v", name, task, err)
			}
		}
	}
	if _, err := (&orderController{}).task("n", order{Patch: []byte("{")}); err == nil {
		t.Error("a malformed change is accepted")
	}
}

// An order is not sent again after its caller's context ended, and not started for such a caller.
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
		_, err = orders.submit(caller, order{Partition: "k"})
		if took := time.Since(begin); err == nil || took != time.Second || attempts < 2 {
			t.Errorf("%v after %v and %d searches for an owner", err, took, attempts)
		}
		if _, err = orders.submit(caller, order{Partition: "k"}); apierror.KindOf(err) != apierror.ClientLeftBeforeSend {
			t.Errorf("for a caller that has left: %v", err)
		}
	})
}

// The answer to a change that names tenants is held until the leases of revoked API keys have
// expired. Other changes are answered at once.
func TestChangeThatRevokesKeysIsHeld(t *testing.T) {
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	const now = 10 * time.Second
	env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 5, RevokeS: 1, RevocationGlobal: true}}, replica: replica, startedAt: time.Now().Add(-now)}
	for name, test := range map[string]struct {
		text            string
		revokes         bool
		sinceRevocation time.Duration // since the last API key was revoked; 0: none was
		bounded         bool          // whether the use of revoked API keys is bounded
		held            bool
	}{
		"a key is revoked":       {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, true, 0, true, true},
		"a tenant is added":      {`{"upsert":{"tenants":[{"name":"u","generation":1,"apiKeys":["k-0123456789abcdef"]}]}}`, false, 0, true, false},
		"no tenant is named":     {`{"upsert":{"services":[{"name":"a","generation":1,"maxConns":1}]}}`, false, time.Second, true, false},
		"no bound configured":    {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, true, 0, false, false},
		"a key revoked before":   {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, false, time.Second, true, true},
		"a key revoked long ago": {`{"remove":{"tenants":[{"name":"t","generation":2}]}}`, false, 3 * time.Second, true, false},
	} {
		requested, err := config.ParseRequest([]byte(test.text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		orders := &orderController{environment: env}
		if test.bounded {
			orders.revocations = &revocations{environment: env}
			if test.sinceRevocation > 0 {
				orders.revocations.noteRevocation(now - test.sinceRevocation)
			}
		}
		var answers []orderReply
		task := &patchTask{orders: orders, requested: requested, revokes: test.revokes}
		task.finish(0, env.now(), func(v orderReply) { answers = append(answers, v) })
		if len(answers) != 1 || answers[0].Failed != test.held {
			t.Errorf("%s: %+v", name, answers)
		}
	}
}
