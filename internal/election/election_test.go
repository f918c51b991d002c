package election

import (
	"fmt"
	"testing"
	"time"
)

const lease = 1200 * time.Millisecond

// voteCluster is a simulated cluster of electors; messages between those that are up take no time.
type voteCluster struct {
	now      time.Duration
	electors map[string]*Elector
	down     map[string]bool
	ids      []string
}

func newVoteCluster(size int) *voteCluster {
	c := &voteCluster{electors: map[string]*Elector{}, down: map[string]bool{}}
	var ids []string
	for i := 0; i < size; i++ {
		ids = append(ids, fmt.Sprintf("a%d", i))
	}
	c.ids = ids
	for _, id := range ids {
		c.electors[id] = New(Config{Self: id, Roles: []string{"list"}, Lease: lease,
			Voters: func() []string { return ids }, Alive: func(o string) bool { return !c.down[o] }})
	}
	return c
}

// run fails the test if two nodes hold the role at the same time.
func (c *voteCluster) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for end := c.now + duration; c.now < end; c.now += 50 * time.Millisecond {
		for _, id := range c.ids {
			if !c.down[id] {
				c.electors[id].Tick(c.now)
			}
		}
		for pending := true; pending; {
			pending = false
			for _, id := range c.ids {
				messages, _ := c.electors[id].Take()
				for _, envelope := range messages {
					if !c.down[id] && !c.down[envelope.To] {
						pending = true
						c.electors[envelope.To].Handle(c.now, id, envelope.Msg)
					}
				}
			}
		}
		if len(c.holders()) > 1 {
			t.Fatalf("two holders at %v: %v", c.now, c.holders())
		}
	}
}

func (c *voteCluster) holders() (out []string) {
	for id, elector := range c.electors {
		if _, ok := elector.Holds(c.now, "list"); ok {
			out = append(out, id)
		}
	}
	return out
}

func TestRoleMovesWhenHolderIsDown(t *testing.T) {
	c := newVoteCluster(4)
	c.run(t, 2*time.Second)
	for i := 0; i < 3; i++ {
		first := c.holders()
		if len(first) != 1 {
			t.Fatalf("holders %v", first)
		}
		term, _ := c.electors[first[0]].Holds(c.now, "list")
		c.down[first[0]] = true
		c.run(t, 3*time.Second)
		next := c.holders()
		if len(next) != 1 || next[0] == first[0] {
			t.Fatalf("after %v: %v", first, next)
		}
		if later, _ := c.electors[next[0]].Holds(c.now, "list"); later <= term {
			t.Fatalf("term %d after %d", later, term)
		}
		c.down[first[0]] = false
		c.run(t, time.Second)
	}
}

func TestCampaignCountsVotersThatStartLate(t *testing.T) {
	c := newVoteCluster(4)
	c.down["a2"], c.down["a3"] = true, true
	c.run(t, 400*time.Millisecond)
	c.down["a2"] = false
	c.run(t, 2*lease/3)
	if got := c.holders(); len(got) != 1 {
		t.Fatalf("holders %v soon after a majority is up", got)
	}
}

func TestNoHolderWithoutMajority(t *testing.T) {
	c := newVoteCluster(4)
	c.down["a0"], c.down["a1"] = true, true
	c.run(t, 5*time.Second)
	if got := c.holders(); len(got) != 0 {
		t.Fatalf("holders %v", got)
	}
}

func TestResignationAndRaisedTerm(t *testing.T) {
	c := newVoteCluster(4)
	c.run(t, 2*time.Second)
	first := c.holders()[0]
	c.electors[first].Leave(c.now)
	c.run(t, lease)
	next := c.holders()
	if len(next) != 1 || next[0] == first {
		t.Fatalf("after the resignation of %s: %v", first, next)
	}
	// Control nodes other than the holder learn of a term that was used before a restart.
	for id, elector := range c.electors {
		if id != next[0] && id != first {
			elector.RaiseUsedTerm("list", 100)
		}
	}
	c.run(t, lease)
	if term, ok := c.electors[next[0]].Holds(c.now, "list"); !ok || term <= 100 {
		t.Fatalf("term %d after terms up to 100 were reported as used", term)
	}
}

// A candidate that a nearby voter refuses abandons its campaign before the votes of distant voters
// arrive. These must be released as well: if they stayed bound for a whole lease after each campaign,
// no candidate would win.
func TestAbandonedCampaignReleasesDistantVotes(t *testing.T) {
	ids := []string{"a", "near", "far"}
	elector := func(self string) *Elector {
		return New(Config{Self: self, Roles: []string{"list"}, Lease: lease,
			Voters: func() []string { return ids }, Alive: func(string) bool { return true }})
	}
	candidate, distant := elector("a"), elector("far")
	candidate.Tick(0)
	candidate.Tick(lease)
	var toDistant []Message
	collect := func() {
		messages, _ := candidate.Take()
		for _, envelope := range messages {
			if envelope.To == "far" {
				toDistant = append(toDistant, envelope.Msg)
			}
		}
	}
	collect()
	if len(toDistant) == 0 {
		t.Fatal("no vote was requested")
	}
	candidate.Handle(lease, "near", Message{Role: "list", Term: toDistant[0].Term, Reply: true}) // refused
	collect()
	for _, message := range toDistant {
		distant.Handle(lease, "a", message)
	}
	if votedFor, _, _ := distant.Holder(lease, "list"); votedFor != "" {
		t.Errorf("the distant voter's vote is still bound to %s", votedFor)
	}
}
