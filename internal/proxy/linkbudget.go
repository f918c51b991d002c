package proxy

import (
	"math"
	"sync"
	"time"
)

// A process that is told to shut down has the time graceS (a setting) to finish, in which its link can
// transfer a limited number of bytes. If more are outstanding, responses are truncated: all of them, if
// they share the link evenly. The outstanding bytes are therefore limited at all times, since a SIGTERM may
// arrive at any moment.

const (
	// graceFraction is the fraction of graceS in which all long responses should be transferred.
	graceFraction = 0.8
	// queueFraction is the fraction of graceS for which long responses, including expected ones, may occupy
	// the link before further ones are refused, while the process is not shutting down.
	queueFraction = 0.5
	// longResponse is the size in bytes above which a response is long. Shorter ones are never refused.
	longResponse = 16 << 10
	// defaultDownloadSize is the expected size in bytes of a download of a class without an estimate.
	defaultDownloadSize = 64 << 10
	// estimateGain is the weight of the latest response in an estimate.
	estimateGain = 1. / 16
	// maxEstimates is the number of estimates at which all are discarded before another is added.
	maxEstimates = 4096
)

// ResponseClass identifies requests whose responses are of similar size.
type ResponseClass struct {
	Service  string
	Download bool
}

// responseEstimate is the estimate for the next response of a class, as moving averages.
type responseEstimate struct {
	bytes, deviation float64       // size, and its mean deviation
	delay            time.Duration // from admission to the head of the response
}

// LinkBudget limits the outstanding bytes of long responses to what the gateway's link can transfer in
// the time available. All times are on the caller's clock. A nil budget admits everything.
type LinkBudget struct {
	mu             sync.Mutex
	bytesPerSecond float64
	grace          time.Duration
	shuttingDown   bool
	finishBy       time.Duration // when all responses must have been transferred; valid while shuttingDown

	expected   float64 // expected bytes of responses that have not started
	started    float64 // unwritten bytes of responses that have started
	buffered   float64 // bytes written to connections but not transferred yet, as of bufferedAt
	bufferedAt time.Duration
	estimates  map[ResponseClass]responseEstimate
}

// NewLinkBudget returns the budget of a link that transfers bytesPerSecond of long responses beside all
// short ones, for a process that has the time grace to finish once it is told to shut down.
func NewLinkBudget(bytesPerSecond float64, grace time.Duration) *LinkBudget {
	return &LinkBudget{bytesPerSecond: bytesPerSecond, grace: grace, estimates: map[ResponseClass]responseEstimate{}}
}

// Reservation is the part of the budget that one response takes. A nil one is for a response without a limit.
// Its methods must not be called concurrently.
type Reservation struct {
	budget    *LinkBudget
	class     ResponseClass
	admitted  time.Duration
	remaining float64 // bytes not written yet
	started   bool
	released  bool
}

// BeginShutdown notes that the process was told to shut down.
func (b *LinkBudget) BeginShutdown(now time.Duration) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.shuttingDown {
		b.shuttingDown, b.finishBy = true, now+time.Duration(float64(b.grace)*graceFraction)
	}
}

// Admit reserves room for the response to a request with the given deadline. ok is false if the request
// is a download whose response could not be transferred in time; it must then not be sent. Whether the
// response to another request is long is known only once it starts; see Begin.
func (b *LinkBudget) Admit(now time.Duration, class ResponseClass, deadline time.Duration) (reservation *Reservation, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	estimate, known := b.estimates[class]
	size := estimate.bytes + estimate.deviation
	if !known && class.Download {
		size = defaultDownloadSize
	}
	if class.Download && size > longResponse && !b.fits(now, size, estimate.delay, deadline) {
		return nil, false
	}
	b.expected += size
	return &Reservation{budget: b, class: class, admitted: now, remaining: size}, true
}

// fits reports whether a long response that has the given size and starts after delay can be transferred
// in time.
func (b *LinkBudget) fits(now time.Duration, size float64, delay, deadline time.Duration) bool {
	if b.shuttingDown {
		finishBy := min(b.finishBy, deadline)
		return now+b.transferTime(b.untransferred(now)+b.expected+size) <= finishBy && now+delay+b.transferTime(size) <= finishBy
	}
	queued := b.untransferred(now)
	if queued == 0 && b.expected < size {
		return true // admitted at any size, as it will have most of the link to itself
	}
	// Expected bytes count too: responses that queue on their way from the upstreams start only once the
	// link has transferred them, and without this all of them would have been admitted by then.
	return b.transferTime(queued+b.expected+size) <= min(time.Duration(float64(b.grace)*queueFraction), deadline-now)
}

// transferTime returns the time that the link needs for so many bytes.
func (b *LinkBudget) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / b.bytesPerSecond * float64(time.Second))
}

// untransferred returns the bytes of started responses that the link has not transferred yet.
func (b *LinkBudget) untransferred(now time.Duration) float64 {
	return b.started + b.bufferedBytes(now)
}

// bufferedBytes returns the written bytes that are still in buffers, assuming that they drain at the
// link's rate.
func (b *LinkBudget) bufferedBytes(now time.Duration) float64 {
	return max(0, b.buffered-(now-b.bufferedAt).Seconds()*b.bytesPerSecond)
}

// Begin notes that the response has started, with the size that its upstream announces (negative if
// unknown). fits reports whether it can be transferred before the process may have to end. The caller
// still passes on one that does not fit if it must not replace it by an error: the request may run only
// once, or the process is shutting down, when no request that was sent to an upstream is abandoned.
func (r *Reservation) Begin(now time.Duration, size int64) (fits bool) {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.started || r.released {
		return true
	}
	b.expected = max(0, b.expected-r.remaining)
	if size >= 0 {
		r.remaining = float64(size)
		b.updateEstimate(r.class, r.remaining, now-r.admitted)
	}
	queued := b.untransferred(now)
	finishBy := now + time.Duration(float64(b.grace)*graceFraction)
	if b.shuttingDown {
		finishBy = b.finishBy
	}
	fits = r.remaining <= longResponse || now+b.transferTime(queued+r.remaining) <= finishBy || queued == 0 && !b.shuttingDown
	b.started += r.remaining
	r.started = true
	return fits
}

// updateEstimate updates the estimate of a class with the size and delay of a response.
func (b *LinkBudget) updateEstimate(class ResponseClass, size float64, delay time.Duration) {
	estimate, known := b.estimates[class]
	if !known {
		if len(b.estimates) >= maxEstimates {
			clear(b.estimates)
		}
		estimate = responseEstimate{bytes: size, delay: delay}
	}
	estimate.deviation += (math.Abs(size-estimate.bytes) - estimate.deviation) * estimateGain
	estimate.bytes += (size - estimate.bytes) * estimateGain
	estimate.delay += time.Duration(float64(delay-estimate.delay) * estimateGain)
	b.estimates[class] = estimate
}

// Wrote notes that n bytes of the response have been written to the client's connection.
func (r *Reservation) Wrote(now time.Duration, n int) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered, b.bufferedAt = b.bufferedBytes(now)+float64(n), now
	if r.started {
		used := min(r.remaining, float64(n))
		r.remaining -= used
		b.started = max(0, b.started-used)
	}
}

// Release returns the unused part of the reservation to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	if r.started {
		b.started = max(0, b.started-r.remaining)
	} else {
		b.expected = max(0, b.expected-r.remaining)
	}
}
