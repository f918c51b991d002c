package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"time"
)

// electionPrefix is the prefix of the names of an election's lock and key.
const electionPrefix = "election-"

// resignNoticeTimeout limits the time for announcing a resignation. The announcement is
// optional: the next leader does not need it.
const resignNoticeTimeout = 2 * time.Second

// Election elects one leader among candidates. It consists of a lock, which the leader holds
// for as long as it leads, and a key that holds the leader's name for observers.
type Election struct {
	client *Client
	name   string
	hold   time.Duration
}

// Election returns the election with the given name. If a leader dies, the lock stays
// taken for the rest of the hold time; all candidates should use the same hold time.
func (c *Client) Election(name string, hold time.Duration) *Election {
	return &Election{client: c, name: name, hold: hold}
}

func (e *Election) lockName() string { return electionPrefix + e.name }

func (e *Election) group() string { return group(e.leaderKey()) }

func (e *Election) leaderKey() string { return electionPrefix + e.name + ".leader" }

// Leadership is one term of a candidate as leader.
type Leadership struct {
	election  *Election
	lease     *Lease
	candidate string
	announced chan struct{} // closed when announcing the leadership has succeeded or failed
}

// Campaign waits until this candidate is the leader. Candidate is the name that observers see.
func (e *Election) Campaign(ctx context.Context, candidate string) (*Leadership, error) {
	lease, err := e.client.Acquire(ctx, e.lockName(), "", e.hold)
	if err != nil {
		return nil, err
	}
	l := &Leadership{election: e, lease: lease, candidate: candidate, announced: make(chan struct{})}
	go func() {
		defer close(l.announced)
		// If this fails, observers do not learn of the leader; the leadership is valid without it.
		_ = e.announce(lease.Context(), Leader{Candidate: candidate, Token: lease.Token()})
	}()
	return l, nil
}

// Context ends when the leadership does; see Lease.Context.
func (l *Leadership) Context() context.Context { return l.lease.Context() }

// Token is the leadership's fencing token; see Lease.Token.
func (l *Leadership) Token() uint64 { return l.lease.Token() }

// Resign ends the leadership, so that the next candidate does not have to wait for the hold time.
func (l *Leadership) Resign(ctx context.Context) error {
	err := l.lease.Release(ctx)
	<-l.announced
	ctx, cancel := context.WithTimeout(ctx, resignNoticeTimeout)
	defer cancel()
	_ = l.election.announce(ctx, Leader{Candidate: l.candidate, Token: l.Token(), Resigned: true})
	return err
}

// Leader is the latest announced leader. It may have died or lost its leadership since: only
// the leader itself knows whether it still leads.
type Leader struct {
	Candidate string `json:"candidate"`
	Token     uint64 `json:"token"`
	Resigned  bool   `json:"resigned,omitempty"`
}

// olderThan reports whether an announcement is older than another one.
func (l Leader) olderThan(other Leader) bool {
	return l.Token < other.Token || l.Token == other.Token && !l.Resigned && other.Resigned
}

// Leader reads the latest announcement; it returns ErrNotFound if there is none.
func (e *Election) Leader(ctx context.Context) (Leader, error) {
	leader, _, err := e.read(ctx)
	return leader, err
}

// Observe returns the announcements, starting with the latest one if there is one. The
// sequence ends with an error, as that of Client.Watch does. An announcement that is replaced
// before the observer reads it is skipped.
func (e *Election) Observe(ctx context.Context) iter.Seq2[Leader, error] {
	return func(yield func(Leader, error) bool) {
		var seen Leader
		for {
			err := e.observe(ctx, &seen, yield)
			if !errors.Is(err, ErrCompacted) {
				if err != nil {
					yield(Leader{}, err)
				}
				return
			}
		}
	}
}

// observe reads the leader and then watches for changes. It returns nil when the caller stops
// the iteration.
func (e *Election) observe(ctx context.Context, seen *Leader, yield func(Leader, error) bool) error {
	revision, err := e.client.Revision(ctx, e.group())
	if err != nil {
		return err
	}
	wantsMore, err := e.yieldIfNewer(ctx, seen, yield)
	if err != nil || !wantsMore {
		return err
	}
	for _, err := range e.client.Watch(ctx, e.group(), revision) {
		if err != nil {
			return err
		}
		// Read the key, because the event for the first put of a group has no content.
		if wantsMore, err := e.yieldIfNewer(ctx, seen, yield); err != nil || !wantsMore {
			return err
		}
	}
	return nil
}

// yieldIfNewer yields the current leader if it is newer than the last one seen.
func (e *Election) yieldIfNewer(ctx context.Context, seen *Leader, yield func(Leader, error) bool) (wantsMore bool, err error) {
	leader, _, err := e.read(ctx)
	switch {
	case errors.Is(err, ErrNotFound):
		return true, nil
	case err != nil:
		return false, err
	case !seen.olderThan(leader):
		return true, nil
	}
	*seen = leader
	return yield(leader, nil), nil
}

// read returns the latest announcement and its revision.
func (e *Election) read(ctx context.Context) (Leader, uint64, error) {
	entry, err := e.client.Get(ctx, e.leaderKey())
	if err != nil {
		return Leader{}, 0, err
	}
	var leader Leader
	if err := json.Unmarshal([]byte(entry.Value), &leader); err != nil {
		return Leader{}, 0, fmt.Errorf("key %s: %w", entry.Key, err)
	}
	return leader, entry.Revision, nil
}

// announce writes the leader to the key, unless the key holds a newer announcement.
func (e *Election) announce(ctx context.Context, leader Leader) error {
	value, err := json.Marshal(leader)
	if err != nil {
		return err
	}
	for {
		current, revision, err := e.read(ctx)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return err
		}
		if err == nil && !current.olderThan(leader) {
			return nil
		}
		_, err = e.client.PutIf(ctx, e.leaderKey(), string(value), revision)
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnclear) || ctx.Err() != nil {
			return err
		}
	}
}
