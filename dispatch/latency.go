package dispatch

import (
	"slices"
	"time"
)

const (
	// fastWeight and slowWeight are the weights of the newest answer in the two moving averages. With 1/16 a tenfold
	// slowdown shows after 5 answers, while single slow answers do not.
	fastWeight = 1.0 / 16
	slowWeight = 1.0 / 256
	// jumpFactor is how far the fast average must exceed the slow one to be a jump.
	jumpFactor = 3
	// jumpSamples is the number of answers before a jump can be seen.
	jumpSamples = 32
	// stragglerFactor is how far a target's average must exceed its service's median.
	stragglerFactor = 3
	// recoveredFactor ends the condition. It is lower than stragglerFactor, so the condition does not flap.
	recoveredFactor = 1.5
	// stragglerSamples is the number of answers before a target takes part in the comparison.
	stragglerSamples = 8
	// stragglerPeers is the fewest targets with a meaningful median.
	stragglerPeers = 3
	// medianEvery is the number of a service's answers between two computations of its median.
	medianEvery = 32
)

// latency holds moving averages of a target's answer times, in nanoseconds.
type latency struct {
	fast, slow float64
	// typical follows as fast as fast, but a single answer counts at most jumpFactor times the average. The few answers
	// of a target that was frozen for a second would otherwise make every wait look hopeless for the next 50 answers.
	typical float64
	samples int
}

func (l *latency) observe(d time.Duration) {
	l.samples++
	warmUp := 1 / float64(l.samples)
	l.fast += (float64(d) - l.fast) * max(fastWeight, warmUp)
	// Outliers are capped here too, so that the slow average does not follow a jump before it is seen.
	l.slow += (l.capped(d, l.slow) - l.slow) * max(slowWeight, warmUp)
	l.typical += (l.capped(d, l.typical) - l.typical) * max(fastWeight, warmUp)
}

func (l *latency) capped(d time.Duration, average float64) float64 {
	if l.samples == 1 {
		return float64(d)
	}
	return min(float64(d), jumpFactor*average)
}

// jumped reports whether answers have recently become much slower.
func (l *latency) jumped() bool { return l.samples >= jumpSamples && l.fast > jumpFactor*l.slow }

// rebase makes the recent average the new normal.
func (l *latency) rebase() {
	l.slow = l.fast
	l.samples = min(l.samples, jumpSamples/2)
}

// mean returns the recent average without outliers. It is 0 before the first answer.
func (l *latency) mean() time.Duration { return time.Duration(l.typical) }

// updateMedian recomputes the typical answer times of the service's targets.
func (s *service) updateMedian(targets []*target) {
	for class := range s.median {
		s.median[class] = s.medianOf(class, targets)
	}
}

// medianOf returns the lower median of the targets' averages, or 0 when there are too few.
func (s *service) medianOf(class int, targets []*target) float64 {
	s.scratch = s.scratch[:0]
	for _, i := range s.targets {
		if l := &targets[i].byClass[class]; l.samples >= stragglerSamples {
			s.scratch = append(s.scratch, l.fast)
		}
	}
	if len(s.scratch) < stragglerPeers {
		return 0
	}
	slices.Sort(s.scratch)
	return s.scratch[(len(s.scratch)-1)/2]
}

// straggles reports whether t is a straggler in any class, given whether it was one before.
func (s *service) straggles(t *target, before bool) bool {
	factor := float64(stragglerFactor)
	if before {
		factor = recoveredFactor
	}
	for class, median := range s.median {
		l := &t.byClass[class]
		if median > 0 && l.samples >= stragglerSamples && l.fast > factor*median {
			return true
		}
	}
	return false
}
