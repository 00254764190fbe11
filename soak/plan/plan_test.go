package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var size = Size{VMs: 6, Targets: 12, FaultPeriod: time.Minute, MeanGap: 200 * time.Millisecond}

// Guards against a failed run that can't be reproduced from its seed.
func TestSameSeedGivesSameFaults(t *testing.T) {
	is := is.New(t)
	is.Equal(Generate(7, size), Generate(7, size))
}

// Guards against an unplanned fault in a run with planned work alone, in which any lost request counts.
func TestPlannedWorkHasNoOtherFaults(t *testing.T) {
	is := is.New(t)
	planned := size
	planned.PlannedWork = true
	seen := make(map[Kind]bool)
	for _, f := range Generate(3, planned) {
		seen[f.Kind] = true
	}
	is.Equal(seen, map[Kind]bool{VMStop: true, VMReload: true, TargetDrain: true, ConfigChange: true})
}

// Guards against a kind of fault that is never generated.
func TestEveryKindIsGenerated(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		for _, f := range Generate(seed, size) {
			seen[f.Kind] = true
		}
	}
	is.Equal(len(seen), len(faultSpecs))
}

// Guards against crowds that never come, and against seeds of other runs that get other faults because of them.
func TestCrowdsComeOnlyInTheirRuns(t *testing.T) {
	is := is.New(t)
	crowds := size
	crowds.Crowds = true
	is.Equal(count(CallerCrowd, size), 0)
	is.True(count(CallerCrowd, crowds) > 10)
}

// Guards against departures that never come, and against seeds of other runs that get other faults because of them.
func TestDeparturesComeOnlyInTheirRuns(t *testing.T) {
	is := is.New(t)
	departures := size
	departures.Departures = true
	for _, kind := range []Kind{StorePartial, TargetRemoval} {
		is.Equal(count(kind, size), 0)
		is.True(count(kind, departures) > 10)
	}
}

// count returns the number of faults of a kind in a run of the given size.
func count(kind Kind, s Size) (n int) {
	for _, f := range Generate(5, s) {
		if f.Kind == kind {
			n++
		}
	}
	return n
}
