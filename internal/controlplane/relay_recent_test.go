package controlplane

import (
	"testing"
	"testing/synctest"
	"time"
)

// Calls of applications wait for no question of the relay while it knows a control node.
func TestRecentPicksAreUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beat = time.Second
		at, questions := "a:1", 0
		r := newRecentPicks(func(string) string {
			questions++
			to := at
			time.Sleep(100 * time.Millisecond)
			return to
		}, beat)
		expect := func(key, want string, within time.Duration) {
			t.Helper()
			begin := time.Now()
			if got := r.to(key); got != want || time.Since(begin) > within {
				t.Errorf("%q after %v, want %q within %v", got, time.Since(begin), want, within)
			}
		}
		expect("x", "a:1", 100*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		asked := questions
		for range 5 {
			expect("x", "a:1", 0)
		}
		if questions != asked {
			t.Errorf("%d questions for calls that came at once", questions-asked)
		}
		expect("y", "a:1", 0) // any control node answers
		at = "b:1"
		time.Sleep(beat)
		expect("x", "a:1", 0)
		time.Sleep(200 * time.Millisecond)
		expect("x", "b:1", 0) // made anew meanwhile
		at = ""
		time.Sleep(beat)
		expect("x", "b:1", 0)
		time.Sleep(200 * time.Millisecond)
		expect("x", "", 200*time.Millisecond) // none answers
		time.Sleep(time.Minute)
		at = "c:1"
		expect("y", "c:1", 100*time.Millisecond) // too old to be used
		time.Sleep(time.Second)
	})
}
