package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestSnapshotPassesOnDiffsAndFullLists(t *testing.T) {
	var owner, follower, newcomer ListSnapshot
	steps := [][]Instance{makeInstances(3, "z", 0), makeInstances(4, "z", 0), makeInstances(4, "z", 9000), makeInstances(2, "z", 0), nil}
	for i, step := range steps {
		now := time.Duration(i) * time.Second
		owner.Update(now, 1, 9, step)
		update := owner.UpdateFor(now, follower.Version)
		if update == nil || !follower.Apply(now, *update) {
			t.Fatalf("step %d: no update, or the update was not applied", i)
		}
		if got, want := idsAndWarmups(follower.All(now)), idsAndWarmups(owner.All(now)); got != want {
			t.Fatalf("step %d: list is %s, want %s", i, got, want)
		}
		if i == 2 {
			if update := owner.UpdateFor(now, newcomer.Version); update == nil || !newcomer.Apply(now, *update) || idsAndWarmups(newcomer.All(now)) != idsAndWarmups(owner.All(now)) {
				t.Fatal("a node without a list does not get the complete one")
			}
		}
	}
	if owner.Update(9*time.Second, 1, 9, nil) {
		t.Error("new version of an unchanged list")
	}
}

func TestListVersionsOfTwoOwnersInOneTerm(t *testing.T) {
	for _, c := range []struct {
		known, received ListVersion
		superseded      bool
	}{
		{ListVersion{1, 5, 7}, ListVersion{1, 9, 7}, false}, // the same owner, a newer list
		{ListVersion{1, 1, 7}, ListVersion{1, 9, 8}, true},  // a former owner's list would supersede ours
		{ListVersion{1, 1, 8}, ListVersion{1, 9, 7}, false}, // ours supersedes it
		{ListVersion{1, 1, 8}, ListVersion{2, 1, 7}, true},
		{ListVersion{3, 1, 8}, ListVersion{2, 9, 9}, false},
	} {
		if got := c.known.SupersededBy(c.received); got != c.superseded {
			t.Errorf("version %v compared with %v: superseded is %v", c.known, c.received, got)
		}
	}
}

func idsAndWarmups(instances []Instance) string {
	var out []string
	for _, instance := range instances {
		out = append(out, fmt.Sprint(instance.ID, instance.WarmupMs))
	}
	return strings.Join(out, " ")
}

func TestReadAllRejectsIncompleteLists(t *testing.T) {
	pages := 3
	failingPage := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		number := 0
		_, _ = fmt.Sscanf(r.URL.Query().Get("pageToken"), "p-%d", &number)
		if failingPage > 0 && number+1 == failingPage {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		page := map[string]any{"instances": []any{map[string]any{"id": fmt.Sprint(number), "target": "a", "address": "h:1", "zone": "z",
			"capacity": 3, "state": map[bool]string{true: "draining", false: "ready"}[number == 1], "warmupLeftS": 0.5}}, "nextToken": nil}
		if number+1 < pages {
			page["nextToken"] = fmt.Sprintf("p-%d", number+1)
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, calls, err := ReadAll(context.Background(), srv.Client(), address, PollingPace(40))
	if err != nil || calls != 3 || len(got) != 3 || !got[1].Draining || got[0].Draining || got[2].WarmupMs != 500 {
		t.Fatalf("%v %+v", err, got)
	}
	failingPage = 2
	if got, _, err := ReadAll(context.Background(), srv.Client(), address, PollingPace(40)); err == nil {
		t.Fatalf("an incomplete list was accepted: %+v", got)
	}
}

// PollingPace allows half of the platform's rate limit. TakeoverPace allows no more calls in any second,
// but makes those of the first second at once.
func TestCallPacePauses(t *testing.T) {
	const perSecond = 44
	for name, c := range map[string]struct {
		pace  CallPace
		calls int
		takes time.Duration
	}{
		"polling, a short list": {PollingPace(perSecond), 6, 0},
		"polling, 20 pages":     {PollingPace(perSecond), 20, 14 * time.Second / 22},
		"takeover, 20 pages":    {TakeoverPace(perSecond), 20, 0},
		"takeover, 22 pages":    {TakeoverPace(perSecond), 22, 0},
		"takeover, 44 pages":    {TakeoverPace(perSecond), 44, time.Second + 21*time.Second/22},
		"no limit":              {TakeoverPace(0), 1000, 0},
	} {
		if takes := c.pace.TotalPause(c.calls); takes < c.takes-time.Microsecond || takes > c.takes+time.Microsecond {
			t.Errorf("%s: pauses of %v, want %v", name, takes, c.takes)
		}
	}
	for from := range 100 { // count the calls in the second that starts with each call
		calls := 0
		for at, n := TakeoverPace(perSecond).pauseBefore(from), from; at-TakeoverPace(perSecond).pauseBefore(from) < time.Second-time.Microsecond; n++ {
			calls++
			at += TakeoverPace(perSecond).pauseBefore(n + 1)
		}
		if calls > perSecond/2 {
			t.Errorf("%d calls in the second that starts with the call after %d others", calls, from)
		}
	}
}
