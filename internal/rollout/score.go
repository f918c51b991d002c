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
	failureKinds = 3
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

// latencyBins is the number of latencyBins of latencies; each is wider than the one before by the
// root of two, and the first ends at 10 ms.
const latencyBins = 26

func latencyBin(elapsed time.Duration) int {
	if elapsed <= 10*time.Millisecond {
		return 0
	}
	return min(latencyBins-1, 1+int(2*math.Log2(elapsed.Seconds()/0.01)))
}

// Cell sums up the answers of one arm in one stratum. Cells add up, in any order.
type Cell struct {
	Begun uint64            `cbor:"1,keyasint,omitempty"`
	Ended uint64            `cbor:"2,keyasint,omitempty"` // with a score
	Fails [failureKinds]uint64 `cbor:"3,keyasint"`
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

// zeroScoreFactor is the time, in aims, at which the score of an answer's time is 0.
const zeroScoreFactor = 4

func (c *Cell) record(outcome Outcome, elapsed, latencyTarget time.Duration, cold bool) {
	if outcome == Unscored {
		return
	}
	c.Ended++
	if outcome != Passed {
		c.Fails[outcome-Errored]++
	}
	if !cold && (outcome == Passed || outcome == TooLate) {
		c.recordLatency(elapsed, latencyTarget)
	}
}

func (c *Cell) recordLatency(elapsed, latencyTarget time.Duration) {
	score := max(0, 1-elapsed.Seconds()/max(0.001, zeroScoreFactor*latencyTarget.Seconds()))
	c.N++
	c.Sum += score
	c.Sq += score * score
	bin := latencyBin(elapsed)
	for len(c.Hist) <= bin {
		c.Hist = append(c.Hist, 0)
	}
	c.Hist[bin]++
}

// Tail is the time that at most a hundredth of the answers took longer than.
func (c *Cell) Tail() time.Duration {
	return time.Duration(float64(10*time.Millisecond) * math.Pow(2, float64(c.tailBin())/2))
}

// Add adds another cell.
func (c *Cell) Add(other Cell) {
	c.Begun += other.Begun
	c.Ended += other.Ended
	for i := range c.Fails {
		c.Fails[i] += other.Fails[i]
	}
	c.N += other.N
	c.Sum += other.Sum
	c.Sq += other.Sq
	for len(c.Hist) < len(other.Hist) {
		c.Hist = append(c.Hist, 0)
	}
	for i, n := range other.Hist {
		c.Hist[i] += n
	}
}

// countBeyond is the share of answers in bins after b.
func (c *Cell) countBeyond(bin int) (n uint64) {
	for i := bin + 1; i < len(c.Hist); i++ {
		n += c.Hist[i]
	}
	return n
}

// tailBin is the first bin beyond which no more than a hundredth of the answers lie.
func (c *Cell) tailBin() int {
	for bin := range c.Hist {
		if c.countBeyond(bin)*100 <= c.N {
			return bin
		}
	}
	return latencyBins - 1
}

// Pair is the two arms of one stratum.
type Pair [2]Cell

// Sums are the cells of a rollout, by bucket.
type Sums map[uint8]Pair

// Add adds other sums.
func (s Sums) Add(other Sums) {
	for bucket, p := range other {
		have := s[bucket]
		for arm := range have {
			// The bins are copied: sums that were added up share nothing.
			sum := Cell{}
			sum.Add(have[arm])
			sum.Add(p[arm])
			have[arm] = sum
		}
		s[bucket] = have
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

// bucketOf is where a stratum falls.
func bucketOf(stratum string) uint8 {
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
	minEffect  = 0.05 // a drop below this is none (the paper's floor)
	minTailExcess = 0.05 // share of a candidate's answers beyond the tail of the prior's that fails the gate
	// tailMarginBins is how many bins beyond the prior's p99 count as its tail: one bin is a
	// factor of 1.41, the first that is no less than the paper's 1.3.
	tailMarginBins = 1
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
func (c Criterion) Judge(sums, baseline Sums) string {
	all := sums.All()
	if reason := c.judgePair(all, baseline.All()); reason != "" {
		return reason
	}
	for bucket, p := range sums {
		if why := c.judgePair(p, baseline[bucket]); why != "" {
			return fmt.Sprintf("%s (stratum %d)", why, bucket)
		}
	}
	return ""
}

func (c Criterion) judgePair(pair, baseline Pair) string {
	prior, candidate := pair[Prior], pair[Candidate]
	usesBaseline := prior.Ended < candidate.Ended/8
	if usesBaseline {
		// What goes wrong everywhere now did perhaps not then, so more is asked for.
		prior.Add(baseline[Prior])
	}
	// A kind of failure that only the candidate has, or has more often: the test of
	// proportions, for each kind and for all.
	candidateCounts := append([]uint64{candidate.Failed()}, candidate.Fails[:]...)
	priorCounts := append([]uint64{prior.Failed()}, prior.Fails[:]...)
	for i, failures := range candidateCounts {
		if failures < c.Min {
			continue
		}
		share := float64(failures) / float64(candidate.Ended)
		switch {
		case prior.Ended < c.Min*2 || usesBaseline && i != 1:
			if share >= c.Alone {
				return fmt.Sprintf("%d of %d answers %s", failures, candidate.Ended, failureNames[i])
			}
		default:
			minDifference := minEffect
			if usesBaseline {
				minDifference = 3 * minEffect
			}
			priorShare := float64(priorCounts[i]) / float64(prior.Ended)
			if share-priorShare >= minDifference && proportionsPValue(failures, candidate.Ended, priorCounts[i], prior.Ended) < c.Alpha {
				return fmt.Sprintf("%.0f %% of %d answers %s, %.1f %% of the prior version's", share*100, candidate.Ended, failureNames[i], priorShare*100)
			}
		}
	}
	if candidate.N < c.Min || prior.N < c.Min*4 {
		return ""
	}
	// The mean of the scores of times.
	if scoreDrop := prior.Sum/float64(prior.N) - candidate.Sum/float64(candidate.N); scoreDrop >= minEffect && !usesBaseline {
		if welchPValue(candidate, prior) < c.Alpha {
			return fmt.Sprintf("answers take longer: mean score down by %.2f over %d", scoreDrop, candidate.N)
		}
	}
	// The tail.
	if prior.N >= 50 {
		lastBin := prior.tailBin() + tailMarginBins
		candidateLate, usual := candidate.countBeyond(lastBin), prior.countBeyond(lastBin)
		floor := minTailExcess
		if usesBaseline {
			floor = 3 * minTailExcess
		}
		if candidateLate >= c.Min && float64(candidateLate)/float64(candidate.N)-float64(usual)/float64(prior.N) >= floor &&
			proportionsPValue(candidateLate, candidate.N, usual, prior.N) < c.Alpha {
			return fmt.Sprintf("%d of %d answers beyond 1.3 times the prior version's p99", candidateLate, candidate.N)
		}
	}
	return ""
}

var failureNames = [failureKinds + 1]string{"failed", "were errors", "broke off", "came too late"}

// proportionsPValue is the p of the two-proportion z-test that a of n is no more than b of m.
func proportionsPValue(a, n, b, m uint64) float64 {
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

// welchPValue is the p of Welch's t-test that the mean of a is no lower than that of b.
func welchPValue(a, b Cell) float64 {
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
