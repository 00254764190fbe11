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
	// jumpFactor times the slow average is what the fast average must exceed for a jump: a sudden slowdown.
	jumpFactor = 3
	// jumpSamples is the number of answers before a jump can be detected.
	jumpSamples = 32
	// stragglerFactor times its service's median is what a straggler's average must exceed.
	stragglerFactor = 3
	// recoveredFactor replaces stragglerFactor for a target that is a straggler already. It is lower, so that the
	// condition does not flap.
	recoveredFactor = 1.5
	// stragglerSamples is the number of answers before a target takes part in the comparison.
	stragglerSamples = 8
	// stragglerPeers is the least number of targets for a meaningful median.
	stragglerPeers = 3
	// medianInterval is the number of a service's answers between two computations of its median.
	medianInterval = 32
)

// latency holds moving averages of a target's answer times, in nanoseconds.
type latency struct {
	// fast and slow are the averages by fastWeight and slowWeight.
	fast, slow float64
	// typical has the weight of fast, but caps each answer at jumpFactor times the average. Without the cap, the few slow
	// answers of a target that was frozen for a second make all wait estimates exceed the deadlines for the next 50
	// answers.
	typical float64
	// samples is the number of answers. rebase lowers it.
	samples int
}

// observe adds an answer time to the averages.
func (l *latency) observe(d time.Duration) {
	l.samples++
	warmUp := 1 / float64(l.samples)
	l.fast += (float64(d) - l.fast) * max(fastWeight, warmUp)
	// Outliers are capped here too, so that the slow average does not follow a jump before it is detected.
	l.slow += (l.capped(d, l.slow) - l.slow) * max(slowWeight, warmUp)
	l.typical += (l.capped(d, l.typical) - l.typical) * max(fastWeight, warmUp)
}

// capped returns d, but at most jumpFactor times the average.
func (l *latency) capped(d time.Duration, average float64) float64 {
	if l.samples == 1 {
		return float64(d)
	}
	return min(float64(d), jumpFactor*average)
}

// jumped reports whether answers have recently become more than jumpFactor times slower.
func (l *latency) jumped() bool { return l.samples >= jumpSamples && l.fast > jumpFactor*l.slow }

// rebase sets the slow average to the fast one after a jump, so that the same jump is reported once.
func (l *latency) rebase() {
	l.slow = l.fast
	l.samples = min(l.samples, jumpSamples/2)
}

// mean returns the recent average with capped outliers, or 0 before the first answer.
func (l *latency) mean() time.Duration { return time.Duration(l.typical) }

// updateMedian recomputes, for each class, the median answer time of the service's targets.
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

// isStraggler reports whether t is a straggler in any class, given whether it was one before.
func (s *service) isStraggler(t *target, before bool) bool {
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
