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

// application is the stand-in for an application that takes locks and numbers from the control nodes.
type application struct {
	*history
	owner     string
	addresses []string
	client    http.Client
}

const (
	lockHoldTime = 2 * time.Second
	lockCount    = 2 // locks for which all applications contend
	numberCount  = 2
	maxRenewals  = 3
)

func newApplication(hist *history, cluster *testCluster, index int) *application {
	return &application{history: hist, owner: fmt.Sprintf("app-%d", index), addresses: cluster.controlAddresses(),
		client: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run requests numbers and takes locks, which it renews and then releases or lets expire.
func (a *application) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		a.requestNumber(random)
		if h := a.acquireLock(random); h != nil {
			a.holdLock(ctx, random, h)
		}
		sleep(ctx, randomDuration(random, 0, time.Second))
	}
}

// lockResponse is the response to a call that acquires a lock.
type lockResponse struct{ Fence uint64 }

// numberResponse is the response to a call that takes a number.
type numberResponse struct{ Value uint64 }

// call sends a call to a random control node and decodes a 200 response into the value that into points to. It returns
// status 0 if there is no usable response.
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

// acquireLock asks for a lock once. It returns nil if the lock was not acquired or the holding time is already over.
func (a *application) acquireLock(random *rand.Rand) *lockHolding {
	acquired := &lockHolding{lock: fmt.Sprintf("l%d", random.IntN(lockCount)), owner: a.owner, acquireSent: time.Now()}
	var response lockResponse
	body := fmt.Sprintf(`{"owner":%q,"holdS":%g}`, a.owner, lockHoldTime.Seconds())
	if a.call(random, http.MethodPost, "/v1/locks/"+acquired.lock, body, &response) != http.StatusOK {
		return nil
	}
	acquired.heldFrom, acquired.heldUntil, acquired.fencingToken = time.Now(), acquired.acquireSent.Add(lockHoldTime), response.Fence
	if !acquired.heldFrom.Before(acquired.heldUntil) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lockHoldings = append(a.lockHoldings, acquired)
	return acquired
}

// holdLock renews a lock a few times. Then it releases the lock, or lets it expire as an application that died would.
func (a *application) holdLock(ctx context.Context, random *rand.Rand, held *lockHolding) {
	for range random.IntN(maxRenewals + 1) {
		sleep(ctx, randomDuration(random, 100*time.Millisecond, lockHoldTime/2))
		sent := time.Now()
		body := fmt.Sprintf(`{"owner":%q,"fence":%d,"holdS":%g}`, a.owner, held.fencingToken, lockHoldTime.Seconds())
		renewed := a.call(random, http.MethodPut, "/v1/locks/"+held.lock, body, nil) == http.StatusOK
		if !time.Now().Before(held.heldUntil) {
			return // a renewal that arrives after the holding time is over does not count
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
	a.call(random, http.MethodDelete, "/v1/locks/"+held.lock, fmt.Sprintf(`{"owner":%q,"fence":%d}`, a.owner, held.fencingToken), nil)
}

// requestNumber takes a number and records it.
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
