package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiasail.example/types"
)

// Bounds of recorded times, in nanoseconds, and the number of significant decimal digits that the histograms keep.
const (
	minTime   = int64(time.Microsecond)
	maxTime   = int64(10 * time.Minute)
	precision = 3
)

// groupStats holds the statistics of the calls that make up one row of the report.
type groupStats struct {
	outcomes map[string]uint64       // calls by outcome
	codes    map[string]uint64       // failed calls by error code
	latency  *hdrhistogram.Histogram // of calls that were done, from due to end
	callTime *hdrhistogram.Histogram // of calls that were done, from sending to end
	refusal  *hdrhistogram.Histogram // of calls that were not run, from sending to end
}

func newGroupStats() *groupStats {
	return &groupStats{
		outcomes: map[string]uint64{},
		codes:    map[string]uint64{},
		latency:  hdrhistogram.New(minTime, maxTime, precision),
		callTime: hdrhistogram.New(minTime, maxTime, precision),
		refusal:  hdrhistogram.New(minTime, maxTime, precision),
	}
}

// add counts a result. Refusals have a histogram of their own, because quick refusals would hide slow answers.
func (g *groupStats) add(r result) {
	g.outcomes[r.outcome]++
	if r.code != "" {
		g.codes[r.code]++
	}
	switch r.outcome {
	case types.OutcomeDone.String():
		recordDuration(g.latency, r.ended.Sub(r.call.due))
		recordDuration(g.callTime, r.ended.Sub(r.sent))
	case types.OutcomeNotRun.String():
		recordDuration(g.refusal, r.ended.Sub(r.sent))
	}
}

// recordDuration records d, limited to the bounds of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minTime), maxTime)) // fails only outside the bounds
}

// Stats holds the statistics of a run. They are owned by the collector until the run is over.
type Stats struct {
	// Skipped counts calls that were not made because all workers were busy and the ring was full.
	Skipped       uint64
	begin         time.Time
	end           time.Time // end of the last call
	paths         [pathCount]*groupStats
	classes       [types.ClassCount]*groupStats
	outageTracker *outageTracker // of calls through gateways
}

func newStats(begin time.Time) *Stats {
	s := &Stats{begin: begin, end: begin, outageTracker: newOutageTracker()}
	for i := range s.paths {
		s.paths[i] = newGroupStats()
	}
	for i := range s.classes {
		s.classes[i] = newGroupStats()
	}
	return s
}

// add counts a result.
func (s *Stats) add(r result) {
	s.paths[r.call.path].add(r)
	s.classes[r.call.class].add(r)
	if r.call.path == PathGateway {
		s.outageTracker.add(r)
	}
	if r.ended.After(s.end) {
		s.end = r.ended
	}
}
