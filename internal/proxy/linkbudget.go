package proxy

import (
	"math"
	"sync"
	"time"
)

// A process that is told to leave has graceS to finish, and its link carries only so many bytes
// in that time. Answers that were taken on beyond that are cut off in the middle, and when a link
// is shared fairly, all of them are. The bytes that are taken on are therefore bounded at all
// times: a SIGTERM may come at any moment.

const (
	// graceShare is the part of graceS after which all long answers should be out.
	graceShare = 0.8
	// queueShare is the part of graceS for which long answers, those still expected among them, may
	// occupy the link before more are refused, while the process stays.
	queueShare = 0.5
	// longAnswer is the size above which an answer is long. Shorter ones are passed on always.
	longAnswer = 16 << 10
	// unknownDownload is taken as the size of a download while none has been seen.
	unknownDownload = 64 << 10
	// estimateGain is the weight of the newest answer in an estimate.
	estimateGain = 1. / 16
	// maxEstimates bounds the estimates that are kept; above it all are learnt anew.
	maxEstimates = 4096
)

// AnswerClass names requests whose answers are alike in size.
type AnswerClass struct {
	Service  string
	Download bool
}

// answerEstimate is what is expected of the next answer of a class.
type answerEstimate struct {
	bytes, deviation float64
	delay            time.Duration // from admission to the head of the answer
}

// LinkBudget bounds the bytes of long answers that a gateway has taken on by what its link can
// carry in the time that it has. All instants are on the clock of the caller. A nil budget
// admits everything.
type LinkBudget struct {
	mu        sync.Mutex
	bytesPerS float64
	grace     time.Duration
	leaving   bool
	leaveBy   time.Duration // when all answers have to be out; only if leaving

	waiting   float64 // bytes expected of requests whose answers have not begun
	begun     float64 // bytes of answers that have begun and are not written yet
	written   float64 // bytes that are written and still on their way at writtenAt
	writtenAt time.Duration
	estimates map[AnswerClass]answerEstimate
}

// NewLinkBudget makes the budget of a link that carries so many bytes of long answers a second,
// beside all that is short, for a process that has the given time to finish once it is told to
// leave.
func NewLinkBudget(bytesPerS float64, grace time.Duration) *LinkBudget {
	return &LinkBudget{bytesPerS: bytesPerS, grace: grace, estimates: map[AnswerClass]answerEstimate{}}
}

// Reservation is the place of one answer in the budget. A nil one stands for an answer that is
// not bounded. Its methods are called from one goroutine at a time.
type Reservation struct {
	budget   *LinkBudget
	class    AnswerClass
	admitted time.Duration
	left     float64 // bytes still to be written
	begun    bool
	released bool
}

// Leave says that the process was told to leave.
func (b *LinkBudget) Leave(now time.Duration) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leaving {
		b.leaving, b.leaveBy = true, now+time.Duration(float64(b.grace)*graceShare)
	}
}

// Admit reserves room for the answer to a request that has to be answered by its deadline.
// It is not ok if the request is a download whose answer could not be out in time; then it must
// not be sent on. Of other requests only the answer tells that it is long; see Begin.
func (b *LinkBudget) Admit(now time.Duration, class AnswerClass, deadline time.Duration) (r *Reservation, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.estimates[class]
	size := e.bytes + e.deviation
	if !known && class.Download {
		size = unknownDownload
	}
	if class.Download && size > longAnswer && !b.admits(now, size, e.delay, deadline) {
		return nil, false
	}
	b.waiting += size
	return &Reservation{budget: b, class: class, admitted: now, left: size}, true
}

// admits says whether a long answer of the given size, that begins after the given delay, can be
// out in time.
func (b *LinkBudget) admits(now time.Duration, size float64, delay, deadline time.Duration) bool {
	if b.leaving {
		by := min(b.leaveBy, deadline)
		return now+b.carry(b.outstanding(now)+b.waiting+size) <= by && now+delay+b.carry(size) <= by
	}
	queue := b.outstanding(now)
	if queue == 0 && b.waiting < size {
		return true // whatever its size: it will have most of the link to itself
	}
	// What is expected counts too: answers that wait on their way in begin only once the link has
	// carried them, and would all have been admitted by then.
	return b.carry(queue+b.waiting+size) <= min(time.Duration(float64(b.grace)*queueShare), deadline-now)
}

// carry is the time in which the link carries so many bytes.
func (b *LinkBudget) carry(bytes float64) time.Duration {
	return time.Duration(bytes / b.bytesPerS * float64(time.Second))
}

// outstanding is the bytes of the answers that have begun and that the link has not carried yet.
// What is written may still lie in buffers, and is taken to leave at the link's rate.
func (b *LinkBudget) outstanding(now time.Duration) float64 {
	return b.begun + b.inBuffers(now)
}

func (b *LinkBudget) inBuffers(now time.Duration) float64 {
	return max(0, b.written-(now-b.writtenAt).Seconds()*b.bytesPerS)
}

// Begin takes the size of the answer as its upstream tells it; negative: it does not. It says
// whether the answer can be out before the process may have to end. One that is not is still
// passed on if its request must not be answered otherwise: it may run once only, or the process was
// told to leave, after which no request is given up that an upstream is at work on.
func (r *Reservation) Begin(now time.Duration, size int64) (fits bool) {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.begun || r.released {
		return true
	}
	b.waiting = max(0, b.waiting-r.left)
	if size >= 0 {
		r.left = float64(size)
		b.learn(r.class, r.left, now-r.admitted)
	}
	queue := b.outstanding(now)
	by := now + time.Duration(float64(b.grace)*graceShare)
	if b.leaving {
		by = b.leaveBy
	}
	fits = r.left <= longAnswer || now+b.carry(queue+r.left) <= by || queue == 0 && !b.leaving
	b.begun += r.left
	r.begun = true
	return fits
}

// learn takes an answer into the estimate of its class.
func (b *LinkBudget) learn(class AnswerClass, size float64, delay time.Duration) {
	e, known := b.estimates[class]
	if !known {
		if len(b.estimates) >= maxEstimates {
			clear(b.estimates)
		}
		e = answerEstimate{bytes: size, delay: delay}
	}
	e.deviation += (math.Abs(size-e.bytes) - e.deviation) * estimateGain
	e.bytes += (size - e.bytes) * estimateGain
	e.delay += time.Duration(float64(delay-e.delay) * estimateGain)
	b.estimates[class] = e
}

// Wrote says that so many bytes of the answer have been written to the client's connection.
func (r *Reservation) Wrote(now time.Duration, n int) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.written, b.writtenAt = b.inBuffers(now)+float64(n), now
	if r.begun {
		done := min(r.left, float64(n))
		r.left -= done
		b.begun = max(0, b.begun-done)
	}
}

// Release gives back what the answer has not used.
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
	if r.begun {
		b.begun = max(0, b.begun-r.left)
	} else {
		b.waiting = max(0, b.waiting-r.left)
	}
}
