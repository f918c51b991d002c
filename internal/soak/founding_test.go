package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a founding that never ends where the seeds are relays, control nodes without a disk, or some of them, and
// are killed and started again, as first starters, while it goes on.
func TestAFoundingWithRelaysAsSeeds(t *testing.T) {
	binary := build(t)
	for relays := 1; relays <= 3; relays++ {
		for _, after := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d relays, killed after %v", relays, after), func(t *testing.T) {
				t.Parallel()
				foundWithRelays(t, binary, relays, after)
			})
		}
	}
}

func foundWithRelays(t *testing.T, binary string, relays int, after time.Duration) {
	f := newFleet(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), 2*len(zones))
	defer f.end()
	w := newWorld(t, f)
	defer w.end()
	core := len(f.core())
	f.seedMachines = append([]*machine{}, f.machines[core:core+relays]...)
	f.seedMachines = append(f.seedMachines, f.core()[:3-relays]...)
	for _, m := range f.machines[:2*core] {
		f.start(m.control, true)
	}
	time.Sleep(after)
	for _, m := range f.seedMachines[:relays] {
		m.control.signal(syscall.SIGKILL)
		<-m.control.exited
		f.start(m.control, true)
	}
	o := &operators{history: w.history, fleet: f}
	defer o.close()
	founding, cancel := context.WithTimeout(t.Context(), recoveryS)
	defer cancel()
	if !o.first(founding) {
		t.Fatalf("no configuration is taken within %v", recoveryS)
	}
	// There is but one system: each control node that has a disk shows what one of them has taken.
	for _, m := range f.core() {
		for {
			status, text := o.get(m.controlAddress(), "/v1/config")
			if status == http.StatusOK && strings.Contains(text, "trip-lookup") {
				break
			}
			if founding.Err() != nil {
				t.Fatalf("%s shows %d %s", m.name, status, text)
			}
			pause(founding, firstPause)
		}
	}
}
