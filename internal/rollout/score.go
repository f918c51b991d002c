package rollout

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is how one sending of a request went, as scores see it.
type Outcome int

// The outcomes. Unscored is what says nothing of the version: the request was not
// sent, was turned away without running, or its client left.
const (
	Passed  Outcome = iota
	Errored         // the upstream answered with an error of its own
	Broke           // it broke off, or what it sent was no answer
	TooLate         // no answer by the deadline
	Unscored
	failKinds = 3
)

// Arm is one side of a rollout.
type Arm int

// The arms.
const (
	Prior Arm = iota
	Candidate
)

// Buckets bounds the strata that are told apart in scores, whatever the number of
// routes: a stratum falls into one by its name.
const Buckets = 16

// bins is the number of bins of latencies; each is wider than the one before by the
// root of two, and the first ends at 10 ms.
const bins = 26

func bin(took time.Duration) int {
	if took <= 10*time.Millisecond {
		return 0
	}
	return min(bins-1, 1+int(2*math.Log2(took.Seconds()/0.01)))
}

// Cell sums up the answers of one arm in one stratum. Cells add up, in any order.
type Cell struct {
	Begun uint64            `cbor:"1,keyasint,omitempty"`
	Ended uint64            `cbor:"2,keyasint,omitempty"` // with a score
	Fails [failKinds]uint64 `cbor:"3,keyasint"`
	// Of answers of upstreams that are not cold: the score of their time, from 1 at
	// once down to 0 at four times the aim, and the bins that they fall into.
	N    uint64   `cbor:"4,keyasint,omitempty"`
	Sum  float64  `cbor:"5,keyasint,omitempty"`
	Sq   float64  `cbor:"6,keyasint,omitempty"`
	Hist []uint64 `cbor:"7,keyasint,omitempty"`
}

// Failed counts the answers that were none.
func (c *Cell) Failed() (n uint64) {
	for _, f := range c.Fails {
		n += f
	}
	return n
}

// aimSpan is the time, in aims, at which the score of an answer's time is 0.
const aimSpan = 4

func (c *Cell) note(how Outcome, took, aim time.Duration, cold bool) {
	if how == Unscored {
		return
	}
	c.Ended++
	if how != Passed {
		c.Fails[how-Errored]++
	}
	if !cold && (how == Passed || how == TooLate) {
		c.time(took, aim)
	}
}

func (c *Cell) time(took, aim time.Duration) {
	score := max(0, 1-took.Seconds()/max(0.001, aimSpan*aim.Seconds()))
	c.N++
	c.Sum += score
	c.Sq += score * score
	b := bin(took)
	for len(c.Hist) <= b {
		c.Hist = append(c.Hist, 0)
	}
	c.Hist[b]++
}

// Tail is the time that at most a hundredth of the answers took longer than.
func (c *Cell) Tail() time.Duration {
	return time.Duration(float64(10*time.Millisecond) * math.Pow(2, float64(c.tail())/2))
}

// Add adds another cell.
func (c *Cell) Add(o Cell) {
	c.Begun += o.Begun
	c.Ended += o.Ended
	for i := range c.Fails {
		c.Fails[i] += o.Fails[i]
	}
	c.N += o.N
	c.Sum += o.Sum
	c.Sq += o.Sq
	for len(c.Hist) < len(o.Hist) {
		c.Hist = append(c.Hist, 0)
	}
	for i, n := range o.Hist {
		c.Hist[i] += n
	}
}

// beyond is the share of answers in bins after b.
func (c *Cell) beyond(b int) (n uint64) {
	for i := b + 1; i < len(c.Hist); i++ {
		n += c.Hist[i]
	}
	return n
}

// tail is the first bin beyond which no more than a hundredth of the answers lie.
func (c *Cell) tail() int {
	for b := range c.Hist {
		if c.beyond(b)*100 <= c.N {
			return b
		}
	}
	return bins - 1
}

// Pair is the two arms of one stratum.
type Pair [2]Cell

// Sums are the cells of a rollout, by bucket.
type Sums map[uint8]Pair

// Add adds other sums.
func (s Sums) Add(o Sums) {
	for b, p := range o {
		have := s[b]
		for arm := range have {
			// The bins are copied: sums that were added up share nothing.
			sum := Cell{}
			sum.Add(have[arm])
			sum.Add(p[arm])
			have[arm] = sum
		}
		s[b] = have
	}
}

// All is the sum over all strata.
func (s Sums) All() (all Pair) {
	for _, p := range s {
		all[Prior].Add(p[Prior])
		all[Candidate].Add(p[Candidate])
	}
	return all
}

// bucket is where a stratum falls.
func bucket(stratum string) uint8 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(stratum))
	v := h.Sum32()
	return uint8((v ^ v>>16) % Buckets)
}

// Criterion is when a candidate is bad. It is fixed before any traffic flips.
type Criterion struct {
	Alpha float64 // for one look at one stratum
	Min   uint64  // bad answers, or answers where times are compared, from which on it counts
	// Alone is the share of failures at which a candidate is bad where there is
	// nothing to compare it with.
	Alone float64
}

const (
	effect  = 0.05 // a drop below this is none (the paper's floor)
	tailOff = 0.05 // share of a candidate's answers beyond the tail of the prior's that fails the gate
	// lateBins is how many bins beyond the prior's p99 count as its tail: one bin is a
	// factor of 1.41, the first that is no less than the paper's 1.3.
	lateBins = 1
)

// The criteria. The paper looks once, at p < 0.05; here the sums are looked at
// several times a second in up to sixteen strata, so each look has its part of that.
var (
	// Overall is the controller's.
	Overall = Criterion{Alpha: 0.05 / 500, Min: 8, Alone: 0.25}
	// Local is a node's own, for its brake.
	Local = Criterion{Alpha: 0.05 / 5000, Min: 5, Alone: 0.4}
)

// Judge compares the arms, all strata together and one by one, and says what is wrong
// with the candidate; empty: nothing that is certain. Where the prior arm has too few
// answers, as at full weight, base stands in for it: the sums of a stage before.
func (c Criterion) Judge(s, base Sums) string {
	all := s.All()
	if why := c.judge(all, base.All()); why != "" {
		return why
	}
	for b, p := range s {
		if why := c.judge(p, base[b]); why != "" {
			return fmt.Sprintf("%s (stratum %d)", why, b)
		}
	}
	return ""
}

func (c Criterion) judge(p, base Pair) string {
	prior, cand := p[Prior], p[Candidate]
	stale := prior.Ended < cand.Ended/8
	if stale {
		// What goes wrong everywhere now did perhaps not then, so more is asked for.
		prior.Add(base[Prior])
	}
	// A kind of failure that only the candidate has, or has more often: the test of
	// proportions, for each kind and for all.
	kinds := append([]uint64{cand.Failed()}, cand.Fails[:]...)
	priors := append([]uint64{prior.Failed()}, prior.Fails[:]...)
	for i, bad := range kinds {
		if bad < c.Min {
			continue
		}
		share := float64(bad) / float64(cand.Ended)
		switch {
		case prior.Ended < c.Min*2 || stale && i != 1:
			if share >= c.Alone {
				return fmt.Sprintf("%d of %d answers %s", bad, cand.Ended, kindNames[i])
			}
		default:
			floor := effect
			if stale {
				floor = 3 * effect
			}
			usual := float64(priors[i]) / float64(prior.Ended)
			if share-usual >= floor && proportions(bad, cand.Ended, priors[i], prior.Ended) < c.Alpha {
				return fmt.Sprintf("%.0f %% of %d answers %s, %.1f %% of the prior version's", share*100, cand.Ended, kindNames[i], usual*100)
			}
		}
	}
	if cand.N < c.Min || prior.N < c.Min*4 {
		return ""
	}
	// The mean of the scores of times.
	if delta := prior.Sum/float64(prior.N) - cand.Sum/float64(cand.N); delta >= effect && !stale {
		if welch(cand, prior) < c.Alpha {
			return fmt.Sprintf("answers take longer: mean score down by %.2f over %d", delta, cand.N)
		}
	}
	// The tail.
	if prior.N >= 50 {
		at := prior.tail() + lateBins
		late, usual := cand.beyond(at), prior.beyond(at)
		floor := tailOff
		if stale {
			floor = 3 * tailOff
		}
		if late >= c.Min && float64(late)/float64(cand.N)-float64(usual)/float64(prior.N) >= floor &&
			proportions(late, cand.N, usual, prior.N) < c.Alpha {
			return fmt.Sprintf("%d of %d answers beyond 1.3 times the prior version's p99", late, cand.N)
		}
	}
	return ""
}

var kindNames = [failKinds + 1]string{"failed", "were errors", "broke off", "came too late"}

// proportions is the p of the two-proportion z-test that a of n is no more than b of m.
func proportions(a, n, b, m uint64) float64 {
	if n == 0 || m == 0 {
		return 1
	}
	pa, pb := float64(a)/float64(n), float64(b)/float64(m)
	pool := float64(a+b) / float64(n+m)
	se := math.Sqrt(pool * (1 - pool) * (1/float64(n) + 1/float64(m)))
	if se == 0 {
		return 1
	}
	return distuv.UnitNormal.Survival((pa - pb) / se)
}

// welch is the p of Welch's t-test that the mean of a is no lower than that of b.
func welch(a, b Cell) float64 {
	if a.N < 2 || b.N < 2 {
		return 1
	}
	mean := func(c Cell) float64 { return c.Sum / float64(c.N) }
	variance := func(c Cell) float64 {
		n := float64(c.N)
		return max(0, (c.Sq-c.Sum*c.Sum/n)/(n-1))
	}
	va, vb := variance(a)/float64(a.N), variance(b)/float64(b.N)
	if va+vb == 0 {
		if mean(a) < mean(b) {
			return 0
		}
		return 1
	}
	t := (mean(a) - mean(b)) / math.Sqrt(va+vb)
	df := (va + vb) * (va + vb) / (va*va/float64(a.N-1) + vb*vb/float64(b.N-1))
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.CDF(t)
}
