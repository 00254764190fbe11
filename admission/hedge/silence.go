package hedge

import "time"

const (
	// silenceFactor is how many times its expected time a request must have taken to count as silent. Slow work takes up to three
	// times as long as usual.
	silenceFactor = 4
	// minSilence is above the pauses of a busy target.
	minSilence = 250 * time.Millisecond
	// lastChanceFactor is the number of usual times before the deadline at which a request without a sign of life is given up
	// earlier: another target then still has time to answer.
	lastChanceFactor = 2
)

// Silence is what is known of a request in flight without an answer.
type Silence struct {
	// Age is the time since it was sent, Expected the time that was expected then.
	Age, Expected time.Duration
	// Left is the time until its deadline, Typical the usual time of a request of its service.
	Left, Typical time.Duration
	// TargetSilent is true if no answer of the target has been known since the request was sent.
	TargetSilent bool
	// Overtaken is the number of requests that were sent to the target later and have been answered, Slots the number that it runs
	// at the same time.
	Overtaken, Slots int
}

// IsSilent reports whether a request gets no sign of life: its target answers nobody, or has answered so many later requests that
// it has not queued this one.
func (s Silence) IsSilent() bool {
	if !s.TargetSilent && s.Overtaken < max(s.Slots, 2) {
		return false
	}
	if s.Age >= max(silenceFactor*s.Expected, minSilence) {
		return true
	}
	return s.Age >= MinSilence(s.Expected) && s.Left <= lastChanceFactor*s.Typical
}

// MinSilence returns the time after which a request with the given expected time may count as silent at the earliest.
func MinSilence(expected time.Duration) time.Duration {
	return max(silenceFactor/2*expected, minSilence)
}
