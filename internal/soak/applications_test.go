package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// application takes locks and numbers at the control nodes, as the operators' protocol says.
type application struct {
	*history
	owner     string
	addresses []string
	client    http.Client
}

const (
	lockHold     = 2 * time.Second
	locksAll     = 2 // names for which all applications contend
	numbersAll   = 2
	renewalsMost = 3
)

func newApplication(h *history, f *fleet, number int) *application {
	return &application{history: h, owner: fmt.Sprintf("app-%d", number), addresses: f.controlAddresses(),
		client: http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run takes a lock, renews it, gives it back or lets it lapse, and draws numbers meanwhile.
func (a *application) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		a.draw(random)
		if h := a.acquire(random); h != nil {
			a.use(ctx, random, h)
		}
		pause(ctx, between(random, 0, time.Second))
	}
}

// lockAnswer is the answer to a lock's call, numberAnswer that to a number's.
type lockAnswer struct{ Fence uint64 }
type numberAnswer struct{ Value uint64 }

// call sends one call to any node. Status 0: there was no answer.
func (a *application) call(random *rand.Rand, method, path, body string, answer any) int {
	req, err := http.NewRequest(method, "http://"+anyOf(random, a.addresses)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := a.client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode == http.StatusOK && answer != nil && json.Unmarshal(text, answer) != nil {
		return 0
	}
	return res.StatusCode
}

// acquire asks for a lock once.
func (a *application) acquire(random *rand.Rand) *hold {
	h := &hold{lock: fmt.Sprintf("l%d", random.IntN(locksAll)), owner: a.owner, asked: time.Now()}
	var answer lockAnswer
	body := fmt.Sprintf(`{"owner":%q,"holdS":%g}`, a.owner, lockHold.Seconds())
	if a.call(random, http.MethodPost, "/v1/locks/"+h.lock, body, &answer) != http.StatusOK {
		return nil
	}
	h.from, h.to, h.fence = time.Now(), h.asked.Add(lockHold), answer.Fence
	if !h.from.Before(h.to) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holds = append(a.holds, h)
	return h
}

// use renews a lock some times while it is held; then the application gives it back, or dies with it.
func (a *application) use(ctx context.Context, random *rand.Rand, h *hold) {
	for range random.IntN(renewalsMost + 1) {
		pause(ctx, between(random, 100*time.Millisecond, lockHold/2))
		sent := time.Now()
		body := fmt.Sprintf(`{"owner":%q,"fence":%d,"holdS":%g}`, a.owner, h.fence, lockHold.Seconds())
		renewed := a.call(random, http.MethodPut, "/v1/locks/"+h.lock, body, nil) == http.StatusOK
		if !time.Now().Before(h.to) {
			return // "a renewal after the caller's time has run out counts for nothing"
		}
		if renewed {
			a.mu.Lock()
			h.to = sent.Add(lockHold)
			a.mu.Unlock()
		}
	}
	if random.Float64() < 0.3 {
		pause(ctx, lockHold)
		return
	}
	a.mu.Lock()
	if now := time.Now(); now.Before(h.to) {
		h.to = now
	}
	a.mu.Unlock()
	a.call(random, http.MethodDelete, "/v1/locks/"+h.lock, fmt.Sprintf(`{"owner":%q,"fence":%d}`, a.owner, h.fence), nil)
}

// draw draws a number.
func (a *application) draw(random *rand.Rand) {
	n := drawnNumber{name: fmt.Sprintf("n%d", random.IntN(numbersAll)), sent: time.Now()}
	var answer numberAnswer
	if a.call(random, http.MethodPost, "/v1/numbers/"+n.name, "{}", &answer) != http.StatusOK {
		return
	}
	n.answered, n.value = time.Now(), answer.Value
	a.mu.Lock()
	defer a.mu.Unlock()
	a.numbers = append(a.numbers, n)
}
