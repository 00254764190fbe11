// Package plan generates the faults of a soak run from a seed. Package soak injects them.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the type of a fault.
type Kind string

// Faults of VMs. A paused VM resumes after the duration of the fault; a killed or stopped one is restarted after it.
const (
	VMPause  Kind = "vm-pause"
	VMKill   Kind = "vm-kill"
	VMStop   Kind = "vm-stop"
	VMReload Kind = "vm-reload"
)

// Faults of the store. StoreSilent leaves the calls of one VM unanswered, StoreCut closes its connections. The others
// affect all calls: StoreLose performs writes but loses their answers, StoreCompact discards the history of changes.
const (
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLose    Kind = "store-lose-answers"
	StoreCompact Kind = "store-compact"
	StoreSilent  Kind = "store-silent"
	StoreCut     Kind = "store-cut"
	// StorePartial leaves the calls of a third of the VMs unanswered or closes their connections.
	StorePartial Kind = "store-partial"
)

// Faults of connections: of one VM to the store, of callers to one VM, and of all VMs to one target.
const (
	StoreLinkSilent Kind = "store-link-silent"
	StoreLinkReset  Kind = "store-link-reset"
	CallerLinkDelay Kind = "caller-link-delay"
	CallerLinkReset Kind = "caller-link-reset"
	// CallerCrowd sends clients that keep to no limit to one VM.
	CallerCrowd     Kind = "caller-crowd"
	TargetLinkDelay Kind = "target-link-delay"
	TargetLinkReset Kind = "target-link-reset"
	// TargetLinkOneWay drops the bytes that the target sends.
	TargetLinkOneWay Kind = "target-link-one-way"
)

// Changes of targets and of the configuration.
const (
	TargetCrash Kind = "target-crash"
	TargetDrain Kind = "target-leave"
	// TargetRemoval removes the entry of a target that has not announced that it leaves.
	TargetRemoval Kind = "target-removal"
	// TargetReuse crashes a target and starts a new one at its address, possibly of another service.
	TargetReuse Kind = "target-address-reused"
	// TargetPause delays all bytes to and from the target by the duration of the fault.
	TargetPause  Kind = "target-pause"
	ConfigChange Kind = "config-change"
)

// scope is the kind of component that a fault affects.
type scope uint8

const (
	scopeVM scope = iota
	scopeTarget
	scopeStore
)

// faultSpec holds the probability weight and the duration range of a kind of fault.
type faultSpec struct {
	kind   Kind
	scope  scope
	weight int
	// shortest and longest bound its duration.
	shortest, longest time.Duration
}

// isPlannedWork reports whether operators do this on purpose, so that it must not cost a request.
func (s faultSpec) isPlannedWork() bool {
	switch s.kind {
	case VMStop, VMReload, TargetDrain, ConfigChange:
		return true
	}
	return false
}

// faultSpecs holds one entry for each kind of fault.
var faultSpecs = []faultSpec{
	{VMPause, scopeVM, 4, 200 * time.Millisecond, 3 * time.Second},
	{VMKill, scopeVM, 4, 200 * time.Millisecond, 2 * time.Second},
	{VMStop, scopeVM, 4, 200 * time.Millisecond, time.Second},
	{VMReload, scopeVM, 2, 0, 0},
	{StoreDown, scopeStore, 2, 500 * time.Millisecond, 5 * time.Second},
	{StoreSlow, scopeStore, 2, time.Second, 4 * time.Second},
	{StoreLose, scopeStore, 3, 0, 0},
	{StoreCompact, scopeStore, 2, 0, 0},
	{StoreSilent, scopeVM, 2, 500 * time.Millisecond, 5 * time.Second},
	{StoreCut, scopeVM, 2, 500 * time.Millisecond, 5 * time.Second},
	{StoreLinkSilent, scopeVM, 3, 500 * time.Millisecond, 5 * time.Second},
	{StoreLinkReset, scopeVM, 2, 0, 0},
	{CallerLinkDelay, scopeVM, 1, 500 * time.Millisecond, 3 * time.Second},
	{CallerLinkReset, scopeVM, 2, 0, 0},
	{TargetLinkDelay, scopeTarget, 2, 500 * time.Millisecond, 3 * time.Second},
	{TargetLinkReset, scopeTarget, 2, 0, 0},
	{TargetLinkOneWay, scopeTarget, 2, 500 * time.Millisecond, 4 * time.Second},
	{TargetCrash, scopeTarget, 4, 300 * time.Millisecond, 3 * time.Second},
	{TargetDrain, scopeTarget, 3, 3500 * time.Millisecond, 5 * time.Second},
	{TargetReuse, scopeTarget, 2, 2500 * time.Millisecond, 4 * time.Second},
	{TargetPause, scopeTarget, 2, 300 * time.Millisecond, 3 * time.Second},
	{ConfigChange, scopeStore, 4, 0, 0},
}

// crowdSpec is added to faultSpecs in runs with crowds, so that the seeds of other runs keep their faults.
var crowdSpec = faultSpec{CallerCrowd, scopeVM, 20, time.Second, 4 * time.Second}

// departureSpecs are added to faultSpecs in runs with departures, so that the seeds of other runs keep their faults. The store is
// unavailable to VMs for longer than they take to notice.
var departureSpecs = []faultSpec{
	{StorePartial, scopeVM, 12, 2500 * time.Millisecond, 6 * time.Second},
	{TargetRemoval, scopeTarget, 24, 3500 * time.Millisecond, 5 * time.Second},
}

// repeatChance is the probability that a fault is followed within a second by one of the same kind.
const repeatChance = 0.35

// minInterval is the least time from the end of a fault to the next one of the same kind at the same VM or target.
const minInterval = 500 * time.Millisecond

// Size describes the run for which faults are generated.
type Size struct {
	VMs, Targets int
	// FaultPeriod is the time during which faults begin, MeanGap the mean time between two of them.
	FaultPeriod, MeanGap time.Duration
	// PlannedWork limits the faults to planned work.
	PlannedWork bool
	// Crowds adds crowds of clients to the faults.
	Crowds bool
	// Departures adds removals of targets and partial outages of the store to the faults.
	Departures bool
}

// Fault is one planned fault. At is the time from the start of the run to its beginning.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Index is the index of the affected VM or target.
	Index int
	// Duration is how long the fault lasts, 0 for a momentary one.
	Duration time.Duration
	// Intensity scales the fault, from 0 to 1.
	Intensity float64
}

// location identifies a kind of fault at one VM or target.
type location struct {
	kind  Kind
	index int
}

// Generate returns the faults for a seed, ordered by start time. The same seed and size give the same faults.
func Generate(seed uint64, s Size) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	totalWeight := 0
	specs := slices.Clone(faultSpecs)
	if s.PlannedWork {
		specs = slices.DeleteFunc(specs, func(spec faultSpec) bool { return !spec.isPlannedWork() })
	}
	if s.Crowds {
		specs = append(specs, crowdSpec)
	}
	if s.Departures {
		specs = append(specs, departureSpecs...)
	}
	for _, spec := range specs {
		totalWeight += spec.weight
	}
	earliestNext := make(map[location]time.Duration)
	var list []Fault
	add := func(at time.Duration, spec faultSpec) {
		f := Fault{At: at, Kind: spec.kind, Duration: spec.shortest, Intensity: r.Float64()}
		if spec.longest > spec.shortest {
			f.Duration += time.Duration(r.Int64N(int64(spec.longest - spec.shortest)))
		}
		switch spec.scope {
		case scopeVM:
			f.Index = r.IntN(s.VMs)
		case scopeTarget:
			f.Index = r.IntN(s.Targets)
		}
		loc := location{spec.kind, f.Index}
		if at < earliestNext[loc] {
			return
		}
		earliestNext[loc] = at + f.Duration + minInterval
		list = append(list, f)
	}
	for at := time.Duration(0); at < s.FaultPeriod; at += time.Duration(r.ExpFloat64() * float64(s.MeanGap)) {
		n := r.IntN(totalWeight)
		for _, spec := range specs {
			if n -= spec.weight; n >= 0 {
				continue
			}
			add(at, spec)
			for r.Float64() < repeatChance {
				add(at+time.Duration(r.Int64N(int64(time.Second))), spec)
			}
			break
		}
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}
