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
	lockHoldTime = 2 * time.Second
	lockCount    = 2 // names for which all applications contend
	numberCount  = 2
	maxRenewals  = 3
)

func newApplication(hist *history, cluster *testCluster, index int) *application {
	return &application{history: hist, owner: fmt.Sprintf("app-%d", index), addresses: cluster.controlAddresses(),
		client: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run takes a lock, renews it, gives it back or lets it lapse, and draws numbers meanwhile.
func (a *application) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		a.requestNumber(random)
		if h := a.acquireLock(random); h != nil {
			a.holdLock(ctx, random, h)
		}
		sleep(ctx, randomDuration(random, 0, time.Second))
	}
}

// lockResponse is the answer to a lock's call, numberAnswer that to a number's.
type lockResponse struct{ Fence uint64 }
type numberResponse struct{ Value uint64 }

// call sends one call to any node. Status 0: there was no answer.
func (a *application) call(random *rand.Rand, method, path, body string, into any) int {
	req, err := http.NewRequest(method, "http://"+randomElement(random, a.addresses)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := a.client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode == http.StatusOK && into != nil && json.Unmarshal(content, into) != nil {
		return 0
	}
	return res.StatusCode
}

// acquireLock asks for a lock once.
func (a *application) acquireLock(random *rand.Rand) *lockHolding {
	acquired := &lockHolding{lock: fmt.Sprintf("l%d", random.IntN(lockCount)), owner: a.owner, firstSent: time.Now()}
	var response lockResponse
	body := fmt.Sprintf(`{"owner":%q,"holdS":%g}`, a.owner, lockHoldTime.Seconds())
	if a.call(random, http.MethodPost, "/v1/locks/"+acquired.lock, body, &response) != http.StatusOK {
		return nil
	}
	acquired.heldFrom, acquired.heldUntil, acquired.fence = time.Now(), acquired.firstSent.Add(lockHoldTime), response.Fence
	if !acquired.heldFrom.Before(acquired.heldUntil) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lockHoldings = append(a.lockHoldings, acquired)
	return acquired
}

// holdLock renews a lock some times while it is held; then the application gives it back, or dies with it.
func (a *application) holdLock(ctx context.Context, random *rand.Rand, held *lockHolding) {
	for range random.IntN(maxRenewals + 1) {
		sleep(ctx, randomDuration(random, 100*time.Millisecond, lockHoldTime/2))
		sent := time.Now()
		body := fmt.Sprintf(`{"owner":%q,"fence":%d,"holdS":%g}`, a.owner, held.fence, lockHoldTime.Seconds())
		renewed := a.call(random, http.MethodPut, "/v1/locks/"+held.lock, body, nil) == http.StatusOK
		if !time.Now().Before(held.heldUntil) {
			return // "a renewal after the caller's time has run out counts for nothing"
		}
		if renewed {
			a.mu.Lock()
			held.heldUntil = sent.Add(lockHoldTime)
			a.mu.Unlock()
		}
	}
	if random.Float64() < 0.3 {
		sleep(ctx, lockHoldTime)
		return
	}
	a.mu.Lock()
	if now := time.Now(); now.Before(held.heldUntil) {
		held.heldUntil = now
	}
	a.mu.Unlock()
	a.call(random, http.MethodDelete, "/v1/locks/"+held.lock, fmt.Sprintf(`{"owner":%q,"fence":%d}`, a.owner, held.fence), nil)
}

// requestNumber draws a number.
func (a *application) requestNumber(random *rand.Rand) {
	issued := issuedNumber{name: fmt.Sprintf("n%d", random.IntN(numberCount)), sent: time.Now()}
	var response numberResponse
	if a.call(random, http.MethodPost, "/v1/numbers/"+issued.name, "{}", &response) != http.StatusOK {
		return
	}
	issued.answered, issued.value = time.Now(), response.Value
	a.mu.Lock()
	defer a.mu.Unlock()
	a.issuedNumbers = append(a.issuedNumbers, issued)
}
