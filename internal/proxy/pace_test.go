package proxy

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Large responses share one rate; a small response is written at once.
func TestLargeResponsesShareOnePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := NewPacer(100 << 10)
		begin := time.Now()
		took := make([]time.Duration, 2)
		var writes sync.WaitGroup
		for i, size := range []int{200 << 10, 100 << 10} {
			writes.Go(func() {
				if err := pacer.write(t.Context(), io.Discard, make([]byte, size), int64(size)); err != nil {
					t.Error(err)
				}
				took[i] = time.Since(begin)
			})
		}
		time.Sleep(100 * time.Millisecond)
		smallStart := time.Now()
		if err := pacer.write(t.Context(), io.Discard, make([]byte, 4<<10), 4<<10); err != nil || time.Since(smallStart) > 0 {
			t.Errorf("a small response waited %v, %v", time.Since(smallStart), err)
		}
		writes.Wait()
		// 300 kB at 100 kB/s; the smaller one is complete when 200 kB have been written, give or take a
		// few chunks, as either may start.
		const tolerance = 4 * 40 * time.Millisecond
		for i, want := range []time.Duration{3 * time.Second, 2 * time.Second} {
			if d := took[i] - want; d > tolerance || d < -tolerance {
				t.Errorf("response %d took %v, want %v", i, took[i], want)
			}
		}
	})
}

// The rate can be raised while a response is being written, as is done when no more short responses are
// expected.
func TestPaceCanBeRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := NewPacer(50 << 10)
		begin := time.Now()
		time.AfterFunc(time.Second, func() { pacer.SetRate(100 << 10) })
		if err := pacer.write(t.Context(), io.Discard, make([]byte, 150<<10), 150<<10); err != nil {
			t.Error(err)
		}
		// 50 kB in the first second, 100 kB in the next, give or take a chunk.
		if took, slack := time.Since(begin), 150*time.Millisecond; took < 2*time.Second-slack || took > 2*time.Second+slack {
			t.Errorf("took %v", took)
		}
		var unlimited *Pacer
		unlimited.SetRate(1)
	})
}
