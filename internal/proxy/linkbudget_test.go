package proxy

import (
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// linkModel simulates a gateway and its outgoing link, which all started responses share equally.
type linkModel struct {
	*rand.Rand
	budget     *LinkBudget
	rate       float64 // bytes per second
	bufferSize int     // bytes of a response that may be written before the link has transferred them

	shuttingDown bool // the gateway has received a SIGTERM
	now          time.Duration

	sharesInbound bool          // responses arrive from the upstreams over a link of the same rate, one after the other
	inboundFreeAt time.Duration // when all responses sent by upstreams so far will have arrived

	active                                     []*modelResponse
	refused, finished, truncated, rejectedLate int
	admittedInShutdown                         int
}

// modelResponse is one response: first its upstream processes the request, then the response is transferred.
type modelResponse struct {
	reservation *Reservation
	startsAt    time.Duration // when its upstream has processed the request, later when its head arrives
	inbound     bool          // it has been sent by its upstream; used with sharesInbound
	started     bool          // its head has arrived
	size        int
	unwritten   int     // bytes
	buffered    float64 // bytes written, but not transferred by the link yet
}

const (
	modelStep     = 10 * time.Millisecond
	modelGrace    = 6 * time.Second
	modelMeanSize = 90_000.
	modelMaxSize  = 540_000
	// modelShortFraction is the fraction of the link that short responses take.
	modelShortFraction = 0.25
	// modelLongFraction is the fraction of the link that the budget assumes for long responses.
	modelLongFraction = 0.7
	modelDeadline     = 8 * time.Second // deadline of the requests
)

// drawResponse returns a random response size and processing time of the upstream.
func (m *linkModel) drawResponse() (size int, processing time.Duration) {
	logNormal := func(mean, s float64) float64 { return mean * math.Exp(s*m.NormFloat64()-s*s/2) }
	processing = time.Duration(min(logNormal(.52, .5), 3.1) * float64(time.Second))
	return int(min(logNormal(modelMeanSize, .6), modelMaxSize)), processing
}

// admitRequest asks the budget to admit a request for a long response.
func (m *linkModel) admitRequest() (admitted bool) {
	r, ok := m.budget.Admit(m.now, ResponseClass{"s", true}, m.now+modelDeadline)
	if !ok {
		m.refused++
		return false
	}
	size, processing := m.drawResponse()
	m.active = append(m.active, &modelResponse{reservation: r, startsAt: m.now + processing, size: size, unwritten: size})
	return true
}

// advance simulates the next modelStep.
func (m *linkModel) advance() {
	m.now += modelStep
	var sending []*modelResponse
	kept := m.active[:0]
	for _, a := range m.active {
		if m.sharesInbound && !a.inbound && m.now >= a.startsAt {
			a.inbound = true
			a.startsAt = max(m.now, m.inboundFreeAt)
			m.inboundFreeAt = a.startsAt + time.Duration(float64(a.size)/m.rate*float64(time.Second))
		}
		if !a.started && m.now >= a.startsAt {
			a.started = true
			fits := a.reservation.Begin(m.now, int64(a.size))
			if !fits && !m.shuttingDown { // after a SIGTERM every response in flight is passed on
				a.reservation.Release()
				m.rejectedLate++
				continue
			}
		}
		if a.started {
			sending = append(sending, a)
		}
		kept = append(kept, a)
	}
	m.active = kept
	bytesEach := m.rate * (1 - modelShortFraction) * modelStep.Seconds() / float64(max(1, len(sending)))
	for _, a := range sending {
		if n := min(a.unwritten, m.bufferSize-int(a.buffered)); n > 0 {
			a.unwritten -= n
			a.buffered += float64(n)
			a.reservation.Wrote(m.now, n)
		}
		a.buffered = max(0, a.buffered-bytesEach)
	}
	kept = m.active[:0]
	for _, a := range m.active {
		if a.started && a.unwritten == 0 && a.buffered == 0 {
			a.reservation.Release()
			m.finished++
			continue
		}
		kept = append(kept, a)
	}
	m.active = kept
}

// simulateShutdown sends requests at a constant rate until some time after a SIGTERM, and counts the
// responses that are not transferred completely at 95 % of the grace.
func simulateShutdown(seed uint64, budget *LinkBudget, rate, requestsPerSecond float64) *linkModel {
	m := &linkModel{Rand: rand.New(rand.NewPCG(seed, 1)), budget: budget, rate: rate, bufferSize: 4096 << (seed % 5)}
	sigterm := time.Duration(5+m.Float64()*10) * time.Second
	acceptUntil := sigterm + time.Duration(m.Float64()*acceptFraction*float64(modelGrace))
	for m.now < sigterm+modelGrace*95/100 {
		if m.now == sigterm {
			m.budget.BeginShutdown(m.now)
			m.shuttingDown = true
		}
		if m.now < acceptUntil && m.Float64() < requestsPerSecond*modelStep.Seconds() && m.admitRequest() && m.now >= sigterm {
			m.admittedInShutdown++
		}
		m.advance()
	}
	m.truncated = len(m.active)
	return m
}

// acceptFraction is the fraction of the grace in which requests may still arrive after a SIGTERM.
const acceptFraction = .45

// Every admitted response is transferred completely before the grace ends, at any load and whenever the
// SIGTERM arrives, without leaving the link idle.
func TestLongResponsesEndWithinGrace(t *testing.T) {
	const rate = 287_500. // 2.3 Mbit/s
	for _, load := range []float64{.3, .8, 1.3, 2.5} {
		requestsPerSecond := load * rate * (1 - modelShortFraction) / modelMeanSize
		var withBudget, withoutBudget linkModel
		for seed := range uint64(100) {
			m := simulateShutdown(seed, NewLinkBudget(modelLongFraction*rate, modelGrace), rate, requestsPerSecond)
			if m.truncated > 0 {
				t.Errorf("load %g, seed %d: %d responses truncated", load, seed, m.truncated)
			}
			withBudget.finished += m.finished
			withBudget.refused += m.refused
			withBudget.rejectedLate += m.rejectedLate
			withBudget.admittedInShutdown += m.admittedInShutdown
			m = simulateShutdown(seed, nil, rate, requestsPerSecond)
			withoutBudget.truncated += m.truncated
			withoutBudget.finished += m.finished
		}
		t.Logf("load %g: %d finished, %d refused, %d rejected after processing, %d admitted after the SIGTERM; without a budget %d finished, %d truncated",
			load, withBudget.finished, withBudget.refused, withBudget.rejectedLate, withBudget.admittedInShutdown, withoutBudget.finished, withoutBudget.truncated)
		if load > 1 && withoutBudget.truncated == 0 {
			t.Errorf("load %g: no response is truncated without a budget, so the model does not test it", load)
		}
		if withBudget.finished < withoutBudget.finished*8/10 {
			t.Errorf("load %g: %d responses finished, %d without a budget", load, withBudget.finished, withoutBudget.finished)
		}
		if withBudget.admittedInShutdown == 0 {
			t.Errorf("load %g: no request admitted after a SIGTERM, though there is time", load)
		}
		if withBudget.rejectedLate*20 > withBudget.finished {
			t.Errorf("load %g: %d responses rejected after their upstream had processed the request, %d finished", load, withBudget.rejectedLate, withBudget.finished)
		}
	}
}

// A burst of requests that arrive before any of their responses starts must not fill the link from the
// upstreams: short responses would queue behind the long ones until the grace of a shutdown ends.
func TestExpectedResponsesAreBounded(t *testing.T) {
	const (
		rate       = 287_500.
		burstRate  = 25
		burst      = 2 * time.Second
		normalRate = 1
		// A request may arrive at acceptFraction of the grace, and its response must be complete by 0.95 of it.
		maxInboundDelay = modelGrace / 2
		// pacedFraction is the fraction of the link that the budget assumes for paced long responses.
		pacedFraction = 0.585
	)
	finished := 0
	for seed := range uint64(100) {
		m := &linkModel{Rand: rand.New(rand.NewPCG(seed, 2)), budget: NewLinkBudget(pacedFraction*rate, modelGrace),
			rate: rate, bufferSize: 4096, sharesInbound: true}
		burstAt := time.Duration(8+m.Float64()*4) * time.Second
		var maxDelay time.Duration
		for m.now < burstAt+2*burst {
			requestsPerSecond := float64(normalRate)
			if m.now >= burstAt && m.now < burstAt+burst {
				requestsPerSecond = burstRate
			}
			if m.Float64() < requestsPerSecond*modelStep.Seconds() {
				m.admitRequest()
			}
			m.advance()
			maxDelay = max(maxDelay, m.inboundFreeAt-m.now)
		}
		if maxDelay > maxInboundDelay {
			t.Errorf("seed %d: a response from an upstream is delayed by %v", seed, maxDelay)
		}
		finished += m.finished
	}
	if minFinished := 100 * 10; finished < minFinished {
		t.Errorf("%d responses finished, want at least %d", finished, minFinished)
	}
	t.Logf("%d finished", finished)
}

// A draining gateway refuses a request whose long response could not be transferred in time, with a short
// Retry-After, since another gateway can serve it at once. Once it has an estimate of the size, it does
// not send such a request to an upstream. Responses to requests already sent, to routes other than
// downloads, and short ones are passed on.
func TestDrainRefusesWhatLinkCannotTransfer(t *testing.T) {
	longBody := strings.Repeat("x", 200<<10)
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		body := "fine"
		if strings.Contains(r.URL.Path, "long") {
			body = longBody
		}
		_, _ = io.WriteString(c, okResponse(r, body))
		return true
	})
	h := newHarness(t, u)
	h.handler.Link = NewLinkBudget(70<<10, 2*time.Second) // the response takes over two seconds
	if res, body, err := h.roundTrip(t, "GET", getRequest("/down/long")); err != nil || res.StatusCode != 200 || body != longBody {
		t.Fatalf("unused link: %v %v", res, err)
	}
	h.handler.Link = NewLinkBudget(70<<10, 2*time.Second) // a new budget, without estimates
	h.handler.Drain()
	for i, c := range []struct {
		method, raw      string
		status, received int
		body             string
	}{
		{"GET", getRequest("/down/long"), 200, 2, longBody}, // the size is known only from the response, which is then passed on
		{"GET", getRequest("/down/long"), 503, 2, ""},
		{"GET", getRequest("/get/long"), 200, 3, longBody},
		{"POST", postRequest("/put/long", "b"), 200, 4, longBody},
		{"GET", getRequest("/get/short"), 200, 5, "fine"},
		{"POST", postRequest("/put/short", "b"), 200, 6, "fine"},
	} {
		res, body, err := h.roundTrip(t, c.method, c.raw)
		if err != nil || res.StatusCode != c.status || c.body != "" && body != c.body {
			t.Fatalf("request %d: %v %v, %d bytes", i, err, res, len(body))
		}
		retryAfter, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if refused := c.status == 503; refused != (retryAfter > 0 && retryAfter < 1) {
			t.Errorf("request %d: Retry-After %q", i, res.Header.Get("Retry-After"))
		}
		if n := len(u.requests()); n != c.received {
			t.Errorf("request %d: upstreams have received %d requests, want %d", i, n, c.received)
		}
	}
	// Without an estimate, a download is assumed to be long.
	for _, serving := range []bool{true, false} {
		b := NewLinkBudget(70<<10, 2*time.Second)
		if !serving {
			b.BeginShutdown(0)
		}
		_, ok := b.Admit(0, ResponseClass{"a", true}, time.Second/2)
		if ok != serving {
			t.Errorf("a first download that takes 0.9 s, draining %v: admitted %v", !serving, ok)
		}
	}
}
