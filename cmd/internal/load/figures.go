package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasail.example/types"
)

// Bounds of recorded times, in nanoseconds, and the precision in decimal digits.
const (
	minTime   = int64(time.Microsecond)
	maxTime   = int64(10 * time.Minute)
	precision = 3
)

// group collects the calls that are reported together.
type group struct {
	outcomes map[string]uint64
	codes    map[string]uint64
	latency  *hdrhistogram.Histogram
	callTime *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{
		outcomes: map[string]uint64{},
		codes:    map[string]uint64{},
		latency:  hdrhistogram.New(minTime, maxTime, precision),
		callTime: hdrhistogram.New(minTime, maxTime, precision),
		refusal:  hdrhistogram.New(minTime, maxTime, precision),
	}
}

// add records the times of done calls and of refusals apart: quick refusals would hide slow answers.
func (g *group) add(r result) {
	g.outcomes[r.outcome]++
	if r.code != "" {
		g.codes[r.code]++
	}
	switch r.outcome {
	case types.OutcomeDone.String():
		record(g.latency, r.ended.Sub(r.call.due))
		record(g.callTime, r.ended.Sub(r.sent))
	case types.OutcomeNotRun.String():
		record(g.refusal, r.ended.Sub(r.sent))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minTime), maxTime)) // values within the bounds can't fail
}

// Figures collects the results of a run. They belong to the collector until the run is over.
type Figures struct {
	// Skipped counts calls that were not made because all workers were busy.
	Skipped uint64
	begin   time.Time
	end     time.Time
	paths   [pathCount]*group
	classes [types.ClassCount]*group
	outages *outages // of the gateway path
}

func newFigures(begin time.Time) *Figures {
	f := &Figures{begin: begin, end: begin, outages: newOutages()}
	for i := range f.paths {
		f.paths[i] = newGroup()
	}
	for i := range f.classes {
		f.classes[i] = newGroup()
	}
	return f
}

func (f *Figures) add(r result) {
	f.paths[r.call.path].add(r)
	f.classes[r.call.class].add(r)
	if r.call.path == PathGateway {
		f.outages.add(r)
	}
	if r.ended.After(f.end) {
		f.end = r.ended
	}
}
