package keyspace

import (
	"math"
	"slices"
)

// keyLoad holds the request rate of each key, in requests a second: rate is averaged over loadWindow, recent over
// spikeWindow.
type keyLoad struct {
	rate   [Keys]float32
	recent [Keys]float32
	total  float32
}

// rateDecay and recentDecay are the factors by which the averages decay in one planInterval.
var (
	rateDecay   = float32(math.Exp(-planInterval.Seconds() / loadWindow.Seconds()))
	recentDecay = float32(math.Exp(-planInterval.Seconds() / spikeWindow.Seconds()))
)

func (l *keyLoad) add(keys []Key) {
	for _, k := range keys {
		l.rate[k] += float32(1 / loadWindow.Seconds())
		l.recent[k] += float32(1 / spikeWindow.Seconds())
		l.total += float32(1 / loadWindow.Seconds())
	}
}

// decay applies the exponential decay of one planInterval.
func (l *keyLoad) decay() {
	l.total = 0
	for k := range l.rate {
		l.rate[k] *= rateDecay
		l.recent[k] *= recentDecay
		l.total += l.rate[k]
	}
}

// detectSpike reports whether the load of a range has risen sharply. The average over loadWindow would show the rise
// too late.
func (l *keyLoad) detectSpike(r Range) bool {
	return sum(l.recent[int(r.From):int(r.To)+1]) >= spikeFactor*l.rangeRate(r)+spikeMinRate
}

// adoptRecent replaces the average rates of a range by its recent ones.
func (l *keyLoad) adoptRecent(r Range) {
	copy(l.rate[int(r.From):int(r.To)+1], l.recent[int(r.From):int(r.To)+1])
}

// rangeRate returns the requests a second for a range.
func (l *keyLoad) rangeRate(r Range) float64 { return sum(l.rate[int(r.From) : int(r.To)+1]) }

func sum(rates []float32) float64 {
	total := float32(0)
	for _, v := range rates {
		total += v
	}
	return float64(total)
}

// busiestKeyRate returns the requests a second for the busiest key of a range.
func (l *keyLoad) busiestKeyRate(r Range) float64 {
	return float64(slices.Max(l.rate[int(r.From) : int(r.To)+1]))
}

// splitPoint returns the key at which a range splits into two parts of about equal load. The range must hold at least
// two keys.
func (l *keyLoad) splitPoint(r Range) Key {
	half := l.rangeRate(r) / 2
	passed := 0.0
	for k := int(r.From); k < int(r.To); k++ {
		passed += float64(l.rate[k])
		if passed >= half {
			return Key(k + 1)
		}
	}
	return Key((int(r.From) + int(r.To) + 1) / 2)
}
