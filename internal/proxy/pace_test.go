package proxy

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Large answers together keep to the pace and share it; a small one passes at once.
func TestLargeAnswersShareOnePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPace(100 << 10)
		begin := time.Now()
		took := make([]time.Duration, 2)
		var all sync.WaitGroup
		for i, size := range []int{200 << 10, 100 << 10} {
			all.Go(func() {
				if err := p.write(t.Context(), io.Discard, make([]byte, size), int64(size)); err != nil {
					t.Error(err)
				}
				took[i] = time.Since(begin)
			})
		}
		time.Sleep(100 * time.Millisecond)
		small := time.Now()
		if err := p.write(t.Context(), io.Discard, make([]byte, 4<<10), 4<<10); err != nil || time.Since(small) > 0 {
			t.Errorf("a small answer waited %v, %v", time.Since(small), err)
		}
		all.Wait()
		// 300 kB at 100 kB/s; the smaller one is done when 200 kB are through, but for a
		// few parts, as either may begin.
		const parts = 4 * 40 * time.Millisecond
		for i, want := range []time.Duration{3 * time.Second, 2 * time.Second} {
			if d := took[i] - want; d > parts || d < -parts {
				t.Errorf("answer %d took %v, not %v", i, took[i], want)
			}
		}
	})
}

// A pace may be raised while answers are under way, as when short ones come no more.
func TestPaceMayBeRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPace(50 << 10)
		begin := time.Now()
		time.AfterFunc(time.Second, func() { p.SetRate(100 << 10) })
		if err := p.write(t.Context(), io.Discard, make([]byte, 150<<10), 150<<10); err != nil {
			t.Error(err)
		}
		// 50 kB in the first second, 100 kB in the next, but for a part.
		if took, slack := time.Since(begin), 150*time.Millisecond; took < 2*time.Second-slack || took > 2*time.Second+slack {
			t.Errorf("took %v", took)
		}
		var none *Pace
		none.SetRate(1)
	})
}
