package controlplane

import (
	"sync"
	"time"
)

// recentPicks gives calls of applications the control node that was picked a moment ago for
// their partition, and picks anew in the background. Any control node answers any of these
// calls, and there are many more of them than of operators' calls, so a relay does not ask
// for each: its link may be narrow and full.
type recentPicks struct {
	pick    func(key string) string
	fresh   time.Duration // for which a pick is used
	refresh time.Duration // after which it is made anew in the background

	mu    sync.Mutex
	picks map[string]recentPick
}

type recentPick struct {
	to     string
	at     time.Time
	asking bool // it is being made anew
}

// How long a pick is used, and when it is made anew, in beats.
const (
	recentFresh   = 2.0
	recentRefresh = 0.25
)

func newRecentPicks(pick func(string) string, beat time.Duration) *recentPicks {
	return &recentPicks{pick: pick, picks: map[string]recentPick{},
		fresh: time.Duration(recentFresh * float64(beat)), refresh: time.Duration(recentRefresh * float64(beat))}
}

// to names the control node for a call that concerns a key; empty: none answers.
func (r *recentPicks) to(key string) string {
	to, renew := r.recent(key)
	if renew {
		go r.renew(key)
	}
	if to == "" {
		to = r.pick(key)
		r.note(key, to)
	}
	return to
}

// recent is a fresh pick, and whether the one for the key is to be made anew.
func (r *recentPicks) recent(key string) (to string, renew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.picks[key]
	if to = known.to; time.Since(known.at) > r.fresh {
		to = r.newest()
	}
	if renew = to != "" && !known.asking && time.Since(known.at) > r.refresh; renew {
		known.asking = true
		r.picks[key] = known
	}
	return to, renew
}

// newest is the newest pick for any key, if it is fresh. The lock is held.
func (r *recentPicks) newest() string {
	var best recentPick
	for _, p := range r.picks {
		if p.to != "" && p.at.After(best.at) {
			best = p
		}
	}
	if best.to == "" || time.Since(best.at) > r.fresh {
		return ""
	}
	return best.to
}

// renew picks anew for a key.
func (r *recentPicks) renew(key string) {
	to := r.pick(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picks[key] = recentPick{to: to, at: time.Now()}
}

// note takes over a pick.
func (r *recentPicks) note(key, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picks[key] = recentPick{to: to, at: time.Now(), asking: r.picks[key].asking}
}
