package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Troubles of processes come for a while and then rest, so that there are times in which the rules bind.
const (
	troubleSpan = 7 * time.Second
	troubleRest = 9 * time.Second
)

// series are troubles that come one after the other until a context ends.
type series func(ctx context.Context, random *rand.Rand, f *fleet)

// allSeries run beside each other.
var allSeries = []series{stops, stops, restarts, reloads, leaves, pathTroubles, readerTroubles}

// troubled says whether troubles may begin now.
func (f *fleet) troubled() bool {
	return time.Since(f.began)%(troubleSpan+troubleRest) <= troubleSpan
}

// untilTrouble waits, and then for the next time at which troubles may begin. It says whether there is one.
func (f *fleet) untilTrouble(ctx context.Context, span time.Duration) bool {
	pause(ctx, span)
	if at := time.Since(f.began) % (troubleSpan + troubleRest); at > troubleSpan {
		pause(ctx, troubleSpan+troubleRest-at)
	}
	return ctx.Err() == nil
}

// untilRest waits for the next time at which the troubles of before are over for contactS.
func (f *fleet) untilRest(ctx context.Context) bool {
	const calmAt = troubleSpan + contactS + 2*time.Second
	at := time.Since(f.began) % (troubleSpan + troubleRest)
	pause(ctx, (calmAt-at+troubleSpan+troubleRest)%(troubleSpan+troubleRest))
	return ctx.Err() == nil
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}

// anyOf draws one of some.
func anyOf[T any](random *rand.Rand, all []T) T { return all[random.IntN(len(all))] }

// stops has one process after the other stand still, control nodes with a disk most often.
func stops(ctx context.Context, random *rand.Rand, f *fleet) {
	for f.untilTrouble(ctx, between(random, 100*time.Millisecond, 2*time.Second)) {
		p := anyOf(random, f.core()).control
		if random.Float64() < 0.2 {
			p = anyOf(random, f.processes())
		}
		p.stop(between(random, 200*time.Millisecond, 5*time.Second))
	}
}

// restarts ends one process after the other by SIGKILL or SIGTERM and starts it again.
func restarts(ctx context.Context, random *rand.Rand, f *fleet) {
	for f.untilTrouble(ctx, between(random, time.Second, 20*time.Second)) {
		s := syscall.SIGKILL
		if random.Float64() < 0.5 {
			s = syscall.SIGTERM
		}
		f.restart(anyOf(random, f.processes()), s, between(random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// leaves ends a gateway by SIGTERM while nothing else happens, and starts it again.
func leaves(ctx context.Context, random *rand.Rand, f *fleet) {
	for f.untilRest(ctx) {
		f.restart(anyOf(random, f.machines).gateway, syscall.SIGTERM, between(random, 100*time.Millisecond, time.Second))
	}
}

// reloads sends SIGHUP to one process after the other.
func reloads(ctx context.Context, random *rand.Rand, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, between(random, time.Second, 6*time.Second))
		p := anyOf(random, f.processes())
		p.mu.Lock()
		p.reloads = append(p.reloads, time.Now())
		p.mu.Unlock()
		p.signal(syscall.SIGHUP)
	}
}

// pathTroubles brings one machine's way to the platform into a bad condition after the other, at any time.
func pathTroubles(ctx context.Context, random *rand.Rand, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, between(random, time.Second, 8*time.Second))
		f.onPath.Lock()
		anyOf(random, f.core()).platform.trouble(ctx, drawCondition(random), between(random, time.Second, 6*time.Second))
		f.onPath.Unlock()
	}
}

// readerTroubles does the same to whichever machine reads the list just then, and to the next reader after it.
func readerTroubles(ctx context.Context, random *rand.Rand, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, between(random, 2*time.Second, 10*time.Second))
		f.onPath.Lock()
		if reader := f.lastReader(); reader != nil {
			reader.platform.trouble(ctx, drawCondition(random), between(random, 2*time.Second, 6*time.Second))
		}
		f.onPath.Unlock()
	}
}

func drawCondition(random *rand.Rand) condition {
	return sound + 1 + condition(random.IntN(int(conditions)-1))
}

// lastReader is the machine that has last called the platform.
func (f *fleet) lastReader() (last *machine) {
	var at time.Time
	for _, m := range f.machines {
		if called := m.platform.lastCall(); called.After(at) {
			last, at = m, called
		}
	}
	return last
}

// drains has the platform's list show one upstream after the other as draining, and as ready again later. In no zone does a
// service lose two at a time.
func (w *world) drains(ctx context.Context, random *rand.Rand, f *fleet) {
	for ctx.Err() == nil {
		id := w.platform.draw(random)
		s := &shown{id: id, from: time.Now()}
		w.platform.setState(id, "draining")
		w.mu.Lock()
		w.draining = append(w.draining, s)
		w.mu.Unlock()
		pause(ctx, between(random, drainS, 3*drainS))
		w.mu.Lock()
		s.to = time.Now()
		w.mu.Unlock()
		w.platform.setState(id, "ready")
		pause(ctx, between(random, 0, 2*time.Second))
	}
}
