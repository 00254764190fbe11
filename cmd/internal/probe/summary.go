package probe

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Summary collects the results of a run. It is owned by the collector until Load.Run returns.
type Summary struct {
	skipped  atomic.Uint64
	services map[types.Service]*serviceSummary
	// Acknowledged lists the identifiers of writes with the outcome done.
	Acknowledged []string
	// NotRun lists the identifiers of writes with the outcome not run.
	NotRun []string
}

// serviceSummary collects the results of one service.
type serviceSummary struct {
	outcomes   map[string]int
	codes      map[string]int
	targets    map[string]bool // targets that answered
	mismatch   []string        // request identifier and mismatch of each wrong answer
	latencies  []time.Duration
	lastDone   time.Time     // end of the last request that was done
	longestGap time.Duration // longest time between the ends of two successive requests that were done
	// lastDoneByKey and longestGapByKey are lastDone and longestGap of each key.
	lastDoneByKey   map[string]time.Time
	longestGapByKey map[string]time.Duration
}

func newSummary() *Summary { return &Summary{services: make(map[types.Service]*serviceSummary)} }

// collector returns the run function of the collector, which adds each result to the summary.
func (s *Summary) collector(results *ring.Ring[result]) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			r, err := results.Get(ctx)
			if err != nil {
				return nil
			}
			s.add(r)
		}
	}
}

// add counts a result.
func (s *Summary) add(r result) {
	service := s.services[r.job.service]
	if service == nil {
		service = &serviceSummary{
			outcomes:        map[string]int{},
			codes:           map[string]int{},
			targets:         map[string]bool{},
			lastDoneByKey:   map[string]time.Time{},
			longestGapByKey: map[string]time.Duration{},
		}
		s.services[r.job.service] = service
	}
	service.add(r)
	if !r.job.write {
		return
	}
	switch r.outcome {
	case types.OutcomeDone.String():
		s.Acknowledged = append(s.Acknowledged, r.job.id)
	case types.OutcomeNotRun.String():
		s.NotRun = append(s.NotRun, r.job.id)
	}
}

// add counts a result, and extends the gaps if the request was done.
func (s *serviceSummary) add(r result) {
	s.outcomes[r.outcome]++
	if r.code != "" {
		s.codes[r.code]++
	}
	if r.mismatch != "" {
		s.mismatch = append(s.mismatch, r.job.id+": "+r.mismatch)
	}
	if r.outcome != types.OutcomeDone.String() {
		return
	}
	s.targets[r.target] = true
	s.latencies = append(s.latencies, r.latency)
	if !s.lastDone.IsZero() {
		s.longestGap = max(s.longestGap, r.at.Sub(s.lastDone))
	}
	s.lastDone = r.at
	if previous, known := s.lastDoneByKey[r.job.key]; known {
		s.longestGapByKey[r.job.key] = max(s.longestGapByKey[r.job.key], r.at.Sub(previous))
	}
	s.lastDoneByKey[r.job.key] = r.at
}

// Skipped returns the number of requests that were not sent because all workers were busy and the ring was full.
func (s *Summary) Skipped() uint64 { return s.skipped.Load() }

// WrongAnswers returns the number of answers that do not belong to their requests.
func (s *Summary) WrongAnswers() int {
	n := 0
	for _, service := range s.services {
		n += len(service.mismatch)
	}
	return n
}

// Total returns the number of requests with the given outcome, over all services.
func (s *Summary) Total(outcome types.Outcome) int {
	n := 0
	for _, service := range s.services {
		n += service.outcomes[outcome.String()]
	}
	return n
}

// Sent returns the number of requests sent.
func (s *Summary) Sent() int {
	n := 0
	for _, service := range s.services {
		for _, count := range service.outcomes {
			n += count
		}
	}
	return n
}

// LongestGap returns the longest time between the ends of two successive requests of one service that were done. The
// time before the first and after the last of them does not count.
func (s *Summary) LongestGap() time.Duration {
	var longestGap time.Duration
	for _, service := range s.services {
		longestGap = max(longestGap, service.longestGap)
	}
	return longestGap
}

// LongestKeyGap returns the longest such time between requests for one key.
func (s *Summary) LongestKeyGap() time.Duration {
	var gap time.Duration
	for _, service := range s.services {
		for _, g := range service.longestGapByKey {
			gap = max(gap, g)
		}
	}
	return gap
}

// Print writes a table with one row for each service, and then the wrong answers.
func (s *Summary) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDONE\tNOT RUN\tUNKNOWN\tWRONG\tTARGETS\tP50\tP99\tLONGEST GAP\tKEY GAP P50\tP99\tMAX\tCODES")
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name,
			v.outcomes[types.OutcomeDone.String()], v.outcomes[types.OutcomeNotRun.String()],
			v.outcomes[types.OutcomeUnknown.String()], len(v.mismatch), len(v.targets),
			quantile(v.latencies, 0.50), quantile(v.latencies, 0.99), v.longestGap.Round(time.Millisecond),
			v.keyGapQuantile(0.50), v.keyGapQuantile(0.99), v.keyGapQuantile(1), codes(v.codes))
	}
	_ = table.Flush()
	for _, v := range s.services {
		for _, text := range v.mismatch {
			fmt.Fprintln(w, "wrong answer:", text)
		}
	}
}

// keyGapQuantile returns quantile p of the longest gaps of the keys. A gap includes the time between requests for its
// key, so it is an upper bound of the time in which the key was not served.
func (s *serviceSummary) keyGapQuantile(p float64) time.Duration {
	return quantile(slices.Collect(maps.Values(s.longestGapByKey)), p).Round(time.Millisecond)
}

// codes formats the counts as "CODE=COUNT " for each error code, sorted by code.
func codes(counts map[string]int) string {
	text := ""
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%s=%d ", code, counts[code])
	}
	return text
}

// quantile returns quantile p of the durations, or 0 if there are none. p is from 0 to 1.
func quantile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}
