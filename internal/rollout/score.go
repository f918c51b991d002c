package rollout

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is the outcome of one attempt to send a request, as far as scoring needs it.
type Outcome int

// The outcomes. Unscored says nothing about the version: the request was not sent, was
// rejected without being executed, or its client closed the connection.
const (
	Passed         Outcome = iota
	Errored                // the upstream itself responded with an error
	BrokenResponse         // the connection broke, or the response was malformed
	TooLate                // no response by the deadline
	Unscored
	failureKindCount = 3 // Errored, BrokenResponse, TooLate
)

// Arm is one side of a rollout.
type Arm int

// The arms.
const (
	Prior Arm = iota
	Candidate
)

// Buckets is the number of buckets into which the scores of all strata are hashed by name,
// so that the size of a report does not grow with the number of routes.
const Buckets = 16

// latencyBins is the number of bins of the latency histogram. The first ends at 10 ms, the
// end of each is that of the one before times the square root of two, and the last is open.
const latencyBins = 26

func latencyBin(elapsed time.Duration) int {
	if elapsed <= 10*time.Millisecond {
		return 0
	}
	return min(latencyBins-1, 1+int(2*math.Log2(elapsed.Seconds()/0.01)))
}

// Cell has the counts of the responses of one arm in one bucket of strata. The sum of several
// cells does not depend on their order.
type Cell struct {
	Begun uint64                   `cbor:"1,keyasint,omitempty"`
	Ended uint64                   `cbor:"2,keyasint,omitempty"` // with an outcome other than Unscored
	Fails [failureKindCount]uint64 `cbor:"3,keyasint"`           // by outcome, from Errored on
	// Of the responses of upstreams that are not cold: their number, the sums of their latency
	// scores and of the squares of these, and their number in each bin of the latency
	// histogram. The score falls from 1 at no latency to 0 at four times the latency target.
	LatencyCount     uint64   `cbor:"4,keyasint,omitempty"`
	ScoreSum         float64  `cbor:"5,keyasint,omitempty"`
	ScoreSquareSum   float64  `cbor:"6,keyasint,omitempty"`
	LatencyHistogram []uint64 `cbor:"7,keyasint,omitempty"`
}

// Failed returns the number of failures of all kinds.
func (c *Cell) Failed() (n uint64) {
	for _, f := range c.Fails {
		n += f
	}
	return n
}

// zeroScoreFactor times the latency target is the latency from which on the score is 0.
const zeroScoreFactor = 4

func (c *Cell) record(outcome Outcome, latency, latencyTarget time.Duration, cold bool) {
	if outcome == Unscored {
		return
	}
	c.Ended++
	if outcome != Passed {
		c.Fails[outcome-Errored]++
	}
	if !cold && (outcome == Passed || outcome == TooLate) {
		c.recordLatency(latency, latencyTarget)
	}
}

func (c *Cell) recordLatency(latency, latencyTarget time.Duration) {
	latencyScore := max(0, 1-latency.Seconds()/max(0.001, zeroScoreFactor*latencyTarget.Seconds()))
	c.LatencyCount++
	c.ScoreSum += latencyScore
	c.ScoreSquareSum += latencyScore * latencyScore
	bin := latencyBin(latency)
	for len(c.LatencyHistogram) <= bin {
		c.LatencyHistogram = append(c.LatencyHistogram, 0)
	}
	c.LatencyHistogram[bin]++
}

// LatencyP99 returns an upper bound of the 99th percentile of the latencies: the end of its bin.
func (c *Cell) LatencyP99() time.Duration {
	return time.Duration(float64(10*time.Millisecond) * math.Pow(2, float64(c.tailBin())/2))
}

// Add adds another cell.
func (c *Cell) Add(other Cell) {
	c.Begun += other.Begun
	c.Ended += other.Ended
	for i := range c.Fails {
		c.Fails[i] += other.Fails[i]
	}
	c.LatencyCount += other.LatencyCount
	c.ScoreSum += other.ScoreSum
	c.ScoreSquareSum += other.ScoreSquareSum
	for len(c.LatencyHistogram) < len(other.LatencyHistogram) {
		c.LatencyHistogram = append(c.LatencyHistogram, 0)
	}
	for i, n := range other.LatencyHistogram {
		c.LatencyHistogram[i] += n
	}
}

// countBeyond returns the number of responses in the bins after bin.
func (c *Cell) countBeyond(bin int) (n uint64) {
	for i := bin + 1; i < len(c.LatencyHistogram); i++ {
		n += c.LatencyHistogram[i]
	}
	return n
}

// tailBin returns the first bin beyond which no more than a hundredth of the responses lie.
func (c *Cell) tailBin() int {
	for bin := range c.LatencyHistogram {
		if c.countBeyond(bin)*100 <= c.LatencyCount {
			return bin
		}
	}
	return latencyBins - 1
}

// Pair holds the cells of the two arms, by Arm.
type Pair [2]Cell

// Sums holds the cells of a rollout, by bucket of strata.
type Sums map[uint8]Pair

// Add adds other sums.
func (s Sums) Add(other Sums) {
	for bucket, otherPair := range other {
		pair := s[bucket]
		for arm := range pair {
			// A new cell is made, so that the sums share no histogram with their addends.
			sum := Cell{}
			sum.Add(pair[arm])
			sum.Add(otherPair[arm])
			pair[arm] = sum
		}
		s[bucket] = pair
	}
}

// All returns the sums over all strata.
func (s Sums) All() (all Pair) {
	for _, p := range s {
		all[Prior].Add(p[Prior])
		all[Candidate].Add(p[Candidate])
	}
	return all
}

func bucketOf(stratum string) uint8 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(stratum))
	v := h.Sum32()
	return uint8((v ^ v>>16) % Buckets)
}

// Criterion is the condition for a candidate to count as bad. It is fixed before any traffic
// moves.
type Criterion struct {
	Alpha       float64 // significance level of one test of one bucket of strata
	MinFailures uint64  // failures, or responses where latencies are compared, below which nothing is tested
	// FailureShareAlone is the share of failures at which a candidate is bad where the prior arm has
	// too few responses for a comparison.
	FailureShareAlone float64
}

const (
	minEffect     = 0.05 // differences below this are ignored (the minimum of the published design)
	minTailExcess = 0.05 // excess share of the candidate's responses in the prior's tail at which the candidate is bad
	// tailMarginBins is how many bins beyond the bin of the prior's p99 the tail begins. One bin is
	// a factor of 1.41, the smallest that is not below the 1.3 of the published design.
	tailMarginBins = 1
)

// The criteria. The published design tests once, at p < 0.05. Here the sums are tested
// several times a second in up to sixteen buckets of strata, so each test has a fraction of
// that significance level.
var (
	// Overall is for the sums of all gateways at the controller.
	Overall = Criterion{Alpha: 0.05 / 500, MinFailures: 8, FailureShareAlone: 0.25}
	// Local is for a gateway that stops the candidate by itself.
	Local = Criterion{Alpha: 0.05 / 5000, MinFailures: 5, FailureShareAlone: 0.4}
)

// Judge compares the arms, in all strata together and in each bucket, and returns the reason why
// the candidate is bad; empty: no significant difference. Where the prior arm has far fewer
// responses than the candidate, as at full weight, its responses in baseline, the sums of an
// earlier stage, are added.
func (c Criterion) Judge(sums, baseline Sums) string {
	allStrata := sums.All()
	if reason := c.judgePair(allStrata, baseline.All()); reason != "" {
		return reason
	}
	for bucket, pair := range sums {
		if reason := c.judgePair(pair, baseline[bucket]); reason != "" {
			return fmt.Sprintf("%s (stratum %d)", reason, bucket)
		}
	}
	return ""
}

func (c Criterion) judgePair(pair, baseline Pair) string {
	prior, candidate := pair[Prior], pair[Candidate]
	usesBaseline := prior.Ended < candidate.Ended/8
	if usesBaseline {
		// An error that both versions have now may not have occurred at the time of the
		// baseline, so larger differences are required, and of the kinds of failures only
		// Errored is compared with the baseline. The others need the share FailureShareAlone.
		prior.Add(baseline[Prior])
	}
	// Failures that the candidate has more often than the prior arm: the test of
	// proportions, for all kinds together and for each.
	candidateCounts := append([]uint64{candidate.Failed()}, candidate.Fails[:]...)
	priorCounts := append([]uint64{prior.Failed()}, prior.Fails[:]...)
	for i, failures := range candidateCounts {
		if failures < c.MinFailures {
			continue
		}
		share := float64(failures) / float64(candidate.Ended)
		switch {
		case prior.Ended < c.MinFailures*2 || usesBaseline && i != 1:
			if share >= c.FailureShareAlone {
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
	if candidate.LatencyCount < c.MinFailures || prior.LatencyCount < c.MinFailures*4 {
		return ""
	}
	// The mean of the latency scores.
	if scoreDrop := prior.ScoreSum/float64(prior.LatencyCount) - candidate.ScoreSum/float64(candidate.LatencyCount); scoreDrop >= minEffect && !usesBaseline {
		if welchPValue(candidate, prior) < c.Alpha {
			return fmt.Sprintf("answers take longer: mean score down by %.2f over %d", scoreDrop, candidate.LatencyCount)
		}
	}
	// The tail of the latencies.
	if prior.LatencyCount >= 50 {
		lastBin := prior.tailBin() + tailMarginBins
		candidateLate, priorLate := candidate.countBeyond(lastBin), prior.countBeyond(lastBin)
		minExcess := minTailExcess
		if usesBaseline {
			minExcess = 3 * minTailExcess
		}
		if candidateLate >= c.MinFailures && float64(candidateLate)/float64(candidate.LatencyCount)-float64(priorLate)/float64(prior.LatencyCount) >= minExcess &&
			proportionsPValue(candidateLate, candidate.LatencyCount, priorLate, prior.LatencyCount) < c.Alpha {
			return fmt.Sprintf("%d of %d answers beyond 1.3 times the prior version's p99", candidateLate, candidate.LatencyCount)
		}
	}
	return ""
}

var failureNames = [failureKindCount + 1]string{"failed", "were errors", "broke off", "came too late"}

// proportionsPValue returns the p-value of the one-sided two-proportion z-test. The null hypothesis is
// that the proportion a/n is not above b/m.
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

// welchPValue returns the p-value of the one-sided Welch's t-test. The null hypothesis is that the
// mean score of a is not below that of b.
func welchPValue(a, b Cell) float64 {
	if a.LatencyCount < 2 || b.LatencyCount < 2 {
		return 1
	}
	mean := func(c Cell) float64 { return c.ScoreSum / float64(c.LatencyCount) }
	variance := func(c Cell) float64 {
		n := float64(c.LatencyCount)
		return max(0, (c.ScoreSquareSum-c.ScoreSum*c.ScoreSum/n)/(n-1))
	}
	va, vb := variance(a)/float64(a.LatencyCount), variance(b)/float64(b.LatencyCount)
	if va+vb == 0 {
		if mean(a) < mean(b) {
			return 0
		}
		return 1
	}
	t := (mean(a) - mean(b)) / math.Sqrt(va+vb)
	df := (va + vb) * (va + vb) / (va*va/float64(a.LatencyCount-1) + vb*vb/float64(b.LatencyCount-1))
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.CDF(t)
}
