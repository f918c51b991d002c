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

// seedsAll is how many seeds the settings name.
const seedsAll = 3

// relaySeeds is a founding some of whose seeds are relays, control nodes without a disk, that are killed and started again.
type relaySeeds struct {
	relays    int
	after     time.Duration // for which they have run when they are killed
	bootstrap bool          // as their settings have it at the second start
}

func (r relaySeeds) String() string {
	return fmt.Sprintf("%d relays, killed after %v, bootstrap %v then", r.relays, r.after, r.bootstrap)
}

// playRelaySeeds plays foundings with so many relays among the seeds.
func playRelaySeeds(t *testing.T, relays ...int) {
	binary := build(t)
	for _, n := range relays {
		for _, after := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second} {
			for _, bootstrap := range []bool{true, false} {
				r := relaySeeds{n, after, bootstrap}
				t.Run(r.String(), func(t *testing.T) {
					t.Parallel()
					r.play(t, binary)
				})
			}
		}
	}
}

// Guards against a founding that never ends where some seeds are relays that are killed while it goes on.
func TestAFoundingWithRelaysAmongTheSeeds(t *testing.T) {
	playRelaySeeds(t, 1, seedsAll-1)
}

// Guards against the same where all seeds are relays, and against two systems in the place of one. KNOWN-RED.txt has it.
func TestAFoundingWithRelaysAsAllSeeds(t *testing.T) {
	playRelaySeeds(t, seedsAll)
}

func (r relaySeeds) play(t *testing.T, binary string) {
	f := newFleet(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), 2*len(zones))
	defer f.end()
	w := newWorld(t, f)
	defer w.end()
	core := len(f.core())
	f.seedMachines = append([]*machine{}, f.machines[core:core+r.relays]...)
	f.seedMachines = append(f.seedMachines, f.core()[:seedsAll-r.relays]...)
	for _, m := range f.machines[:2*core] {
		f.start(m.control, true)
	}
	time.Sleep(r.after)
	for _, m := range f.seedMachines[:r.relays] {
		m.control.signal(syscall.SIGKILL)
		<-m.control.exited
		f.start(m.control, r.bootstrap)
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
