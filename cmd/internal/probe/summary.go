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

// Summary collects the reports of a run. It belongs to the collector until Load.Run returns.
type Summary struct {
	skipped  atomic.Uint64
	services map[types.Service]*serviceSummary
	// Acknowledged lists the identifiers of writes that were answered as done.
	Acknowledged []string
	// NotRun lists the identifiers of writes that were answered as not run.
	NotRun []string
}

type serviceSummary struct {
	outcomes  map[string]int
	codes     map[string]int
	targets   map[string]bool
	wrong     []string
	latencies []time.Duration
	lastDone  time.Time
	gap       time.Duration
	// keyDone and keyGaps hold for each key the last done answer and the longest time between two.
	keyDone map[string]time.Time
	keyGaps map[string]time.Duration
}

func newSummary() *Summary { return &Summary{services: make(map[types.Service]*serviceSummary)} }

func (s *Summary) collect(reports *ring.Ring[report]) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			r, err := reports.Get(ctx)
			if err != nil {
				return nil
			}
			s.add(r)
		}
	}
}

func (s *Summary) add(r report) {
	service := s.services[r.job.service]
	if service == nil {
		service = &serviceSummary{
			outcomes: map[string]int{},
			codes:    map[string]int{},
			targets:  map[string]bool{},
			keyDone:  map[string]time.Time{},
			keyGaps:  map[string]time.Duration{},
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

func (s *serviceSummary) add(r report) {
	s.outcomes[r.outcome]++
	if r.code != "" {
		s.codes[r.code]++
	}
	if r.wrong != "" {
		s.wrong = append(s.wrong, r.job.id+": "+r.wrong)
	}
	if r.outcome != types.OutcomeDone.String() {
		return
	}
	s.targets[r.target] = true
	s.latencies = append(s.latencies, r.latency)
	if !s.lastDone.IsZero() {
		s.gap = max(s.gap, r.at.Sub(s.lastDone))
	}
	s.lastDone = r.at
	if before, known := s.keyDone[r.job.key]; known {
		s.keyGaps[r.job.key] = max(s.keyGaps[r.job.key], r.at.Sub(before))
	}
	s.keyDone[r.job.key] = r.at
}

// Skipped returns how many requests were not sent because all callers were busy.
func (s *Summary) Skipped() uint64 { return s.skipped.Load() }

// Wrong returns how many answers did not belong to their requests.
func (s *Summary) Wrong() int {
	n := 0
	for _, service := range s.services {
		n += len(service.wrong)
	}
	return n
}

// Total returns the number of requests answered with outcome, over all services.
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

// LongestGap returns the longest time between two done answers of one service.
func (s *Summary) LongestGap() time.Duration {
	var gap time.Duration
	for _, service := range s.services {
		gap = max(gap, service.gap)
	}
	return gap
}

// LongestKeyGap returns the longest time between two done answers for one key.
func (s *Summary) LongestKeyGap() time.Duration {
	var gap time.Duration
	for _, service := range s.services {
		for _, g := range service.keyGaps {
			gap = max(gap, g)
		}
	}
	return gap
}

// Print writes a table.
func (s *Summary) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDONE\tNOT RUN\tUNKNOWN\tWRONG\tTARGETS\tP50\tP99\tLONGEST GAP\tKEY GAP P50\tP99\tMAX\tCODES")
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", name,
			v.outcomes[types.OutcomeDone.String()], v.outcomes[types.OutcomeNotRun.String()],
			v.outcomes[types.OutcomeUnknown.String()], len(v.wrong), len(v.targets),
			percentile(v.latencies, 0.50), percentile(v.latencies, 0.99), v.gap.Round(time.Millisecond),
			v.keyGap(0.50), v.keyGap(0.99), v.keyGap(1), codes(v.codes))
	}
	_ = table.Flush()
	for _, v := range s.services {
		for _, text := range v.wrong {
			fmt.Fprintln(w, "wrong answer:", text)
		}
	}
}

// keyGap returns the quantile p of the keys' longest times between two done answers. It includes the time between
// requests for a key, so it is an upper bound of the time in which the key was not served.
func (s *serviceSummary) keyGap(p float64) time.Duration {
	return percentile(slices.Collect(maps.Values(s.keyGaps)), p).Round(time.Millisecond)
}

func codes(counts map[string]int) string {
	out := ""
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		out += fmt.Sprintf("%s=%d ", code, counts[code])
	}
	return out
}

func percentile(latencies []time.Duration, p float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)].Round(10 * time.Microsecond)
}
