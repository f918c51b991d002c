package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"time"
)

// electionPrefix begins the names of the lock and of the key that an election uses.
const electionPrefix = "election-"

// resignNoticeTimeout bounds the notice of a resignation, which nobody depends on.
const resignNoticeTimeout = 2 * time.Second

// Election chooses one leader among candidates. It is a lock that the leader holds for as
// long as it leads, and a key that tells others who that is.
type Election struct {
	client *Client
	name   string
	hold   time.Duration
}

// Election returns the election of a name. Hold is how long a leader that dies keeps the
// next one waiting; all candidates should use the same.
func (c *Client) Election(name string, hold time.Duration) *Election {
	return &Election{client: c, name: name, hold: hold}
}

func (e *Election) lockName() string { return electionPrefix + e.name }

func (e *Election) group() string { return group(e.leaderKey()) }

func (e *Election) leaderKey() string { return electionPrefix + e.name + ".leader" }

// Leadership is the time for which a candidate leads.
type Leadership struct {
	election  *Election
	lease     *Lease
	candidate string
	announced chan struct{} // closed when the announcement has ended
}

// Campaign waits until this candidate leads. Candidate is the name that others see.
func (e *Election) Campaign(ctx context.Context, candidate string) (*Leadership, error) {
	lease, err := e.client.Acquire(ctx, e.lockName(), "", e.hold)
	if err != nil {
		return nil, err
	}
	l := &Leadership{election: e, lease: lease, candidate: candidate, announced: make(chan struct{})}
	go func() {
		defer close(l.announced)
		// Observers learn of the leader a little later if this fails; leading doesn't need it.
		_ = e.announce(lease.Context(), Leader{Candidate: candidate, Token: lease.Token()})
	}()
	return l, nil
}

// Context ends when the leadership does; see Lease.Context.
func (l *Leadership) Context() context.Context { return l.lease.Context() }

// Token is the leadership's fencing token; see Lease.Token.
func (l *Leadership) Token() uint64 { return l.lease.Token() }

// Resign ends the leadership, so that the next candidate need not wait for the hold time.
func (l *Leadership) Resign(ctx context.Context) error {
	err := l.lease.Release(ctx)
	<-l.announced
	ctx, cancel := context.WithTimeout(ctx, resignNoticeTimeout)
	defer cancel()
	_ = l.election.announce(ctx, Leader{Candidate: l.candidate, Token: l.Token(), Resigned: true})
	return err
}

// Leader is who announced itself last. It may have died since, or lost its leadership: only
// the leader itself knows that it leads.
type Leader struct {
	Candidate string `json:"candidate"`
	Token     uint64 `json:"token"`
	Resigned  bool   `json:"resigned,omitempty"`
}

// olderThan says that an announcement is older than another one.
func (l Leader) olderThan(other Leader) bool {
	return l.Token < other.Token || l.Token == other.Token && !l.Resigned && other.Resigned
}

// Leader reads who announced itself last; ErrNotFound says that nobody has.
func (e *Election) Leader(ctx context.Context) (Leader, error) {
	leader, _, err := e.read(ctx)
	return leader, err
}

// Observe follows the announcements, beginning with the last one if there is one. The
// sequence ends with an error, as that of Client.Watch does. It passes over what was
// announced and overtaken while the observer was away.
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

// observe reads the leader and watches from there. It returns nil once the caller wants no
// more.
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
		// The key is read anew: an event of an empty group has no content.
		if goOn, err := e.yieldIfNewer(ctx, seen, yield); err != nil || !goOn {
			return err
		}
	}
	return nil
}

// yieldIfNewer yields the leader if it is a newer one than was seen.
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

// read returns the last announcement and its revision.
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

// announce writes who leads, unless something newer stands there.
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
