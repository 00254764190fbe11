// Package plan draws the faults of a soak from a seed. It performs none of them.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a fault.
type Kind string

// Faults of VMs. Those with a duration end by themselves; a killed or stopped VM starts anew after it.
const (
	VMPause  Kind = "vm-pause"
	VMKill   Kind = "vm-kill"
	VMStop   Kind = "vm-stop"
	VMReload Kind = "vm-reload"
)

// Faults of the store. StoreSilent and StoreCut concern one VM.
const (
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLose    Kind = "store-lose-answers"
	StoreCompact Kind = "store-compact"
	StoreSilent  Kind = "store-silent"
	StoreCut     Kind = "store-cut"
)

// Faults of connections: of one VM to the store, of callers to one VM, and of all VMs to one target.
const (
	StoreLinkSilent Kind = "store-link-silent"
	StoreLinkReset  Kind = "store-link-reset"
	CallerLinkDelay Kind = "caller-link-delay"
	CallerLinkReset Kind = "caller-link-reset"
	TargetLinkDelay Kind = "target-link-delay"
	TargetLinkReset Kind = "target-link-reset"
	// TargetLinkOneWay loses what the target sends.
	TargetLinkOneWay Kind = "target-link-one-way"
)

// Changes of targets and of the configuration.
const (
	TargetCrash  Kind = "target-crash"
	TargetLeave  Kind = "target-leave"
	TargetReuse  Kind = "target-address-reused"
	TargetPause  Kind = "target-pause"
	ConfigChange Kind = "config-change"
)

// scope says what a fault concerns.
type scope uint8

const (
	scopeVM scope = iota
	scopeTarget
	scopeStore
)

// shape is how a fault is drawn.
type shape struct {
	kind   Kind
	scope  scope
	weight int
	// shortest and longest bound its duration.
	shortest, longest time.Duration
}

var shapes = []shape{
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
	{TargetLeave, scopeTarget, 3, 3500 * time.Millisecond, 5 * time.Second},
	{TargetReuse, scopeTarget, 2, 2500 * time.Millisecond, 4 * time.Second},
	{TargetPause, scopeTarget, 2, 300 * time.Millisecond, 3 * time.Second},
	{ConfigChange, scopeStore, 4, 0, 0},
}

// seriesChance is the chance that a fault is followed by the same one elsewhere.
const seriesChance = 0.35

// restTime is the least time between two faults of the same kind at the same place.
const restTime = 500 * time.Millisecond

// Size is what the faults are drawn for.
type Size struct {
	VMs, Targets int
	// Length is the time in which faults begin, Gap the mean time between two.
	Length, Gap time.Duration
}

// Fault is a fault that begins at a time after the start.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Place is the index of the VM or target that it concerns.
	Place int
	// For is how long it lasts, 0 for one that has no end.
	For time.Duration
	// Amount scales it from 0 to 1.
	Amount float64
}

// place identifies where a fault takes place.
type place struct {
	kind  Kind
	index int
}

// Draw returns the faults of a seed in the order of their beginnings. The same seed gives the same faults.
func Draw(seed uint64, s Size) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, h := range shapes {
		total += h.weight
	}
	free := make(map[place]time.Duration)
	var list []Fault
	add := func(at time.Duration, h shape) {
		f := Fault{At: at, Kind: h.kind, For: h.shortest, Amount: r.Float64()}
		if h.longest > h.shortest {
			f.For += time.Duration(r.Int64N(int64(h.longest - h.shortest)))
		}
		switch h.scope {
		case scopeVM:
			f.Place = r.IntN(s.VMs)
		case scopeTarget:
			f.Place = r.IntN(s.Targets)
		}
		p := place{h.kind, f.Place}
		if at < free[p] {
			return
		}
		free[p] = at + f.For + restTime
		list = append(list, f)
	}
	for at := time.Duration(0); at < s.Length; at += time.Duration(r.ExpFloat64() * float64(s.Gap)) {
		n := r.IntN(total)
		for _, h := range shapes {
			if n -= h.weight; n >= 0 {
				continue
			}
			add(at, h)
			for r.Float64() < seriesChance {
				add(at+time.Duration(r.Int64N(int64(time.Second))), h)
			}
			break
		}
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}
