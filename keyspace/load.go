package keyspace

import (
	"math"
	"slices"
)

// load measures the requests for each key: rate is averaged over loadWindow, recent over surgeWindow.
type load struct {
	rate   [Keys]float32
	recent [Keys]float32
	total  float32
}

// keep and keepRecent are the shares of the averages that one planInterval leaves.
var (
	keep       = float32(math.Exp(-planInterval.Seconds() / loadWindow.Seconds()))
	keepRecent = float32(math.Exp(-planInterval.Seconds() / surgeWindow.Seconds()))
)

func (l *load) add(keys []Key) {
	for _, k := range keys {
		l.rate[k] += float32(1 / loadWindow.Seconds())
		l.recent[k] += float32(1 / surgeWindow.Seconds())
		l.total += float32(1 / loadWindow.Seconds())
	}
}

// decay lets one planInterval pass.
func (l *load) decay() {
	l.total = 0
	for k := range l.rate {
		l.rate[k] *= keep
		l.recent[k] *= keepRecent
		l.total += l.rate[k]
	}
}

// surges reports whether a range has become busy of a sudden. Its average would show that only after loadWindow.
func (l *load) surges(r Range) bool {
	return sum(l.recent[int(r.From):int(r.To)+1]) >= surgeFactor*l.of(r)+surgeRate
}

// catchUp takes over the recent rates of a range.
func (l *load) catchUp(r Range) {
	copy(l.rate[int(r.From):int(r.To)+1], l.recent[int(r.From):int(r.To)+1])
}

// of returns the requests a second for a range.
func (l *load) of(r Range) float64 { return sum(l.rate[int(r.From) : int(r.To)+1]) }

func sum(rates []float32) float64 {
	total := float32(0)
	for _, v := range rates {
		total += v
	}
	return float64(total)
}

// most returns the requests a second for the busiest key of a range.
func (l *load) most(r Range) float64 {
	return float64(slices.Max(l.rate[int(r.From) : int(r.To)+1]))
}

// half returns the key that starts the second half of a range's load. The range must hold two keys or more.
func (l *load) half(r Range) Key {
	want := l.of(r) / 2
	passed := 0.0
	for k := int(r.From); k < int(r.To); k++ {
		passed += float64(l.rate[k])
		if passed >= want {
			return Key(k + 1)
		}
	}
	return Key((int(r.From) + int(r.To) + 1) / 2)
}
