package measure

import (
	"slices"
	"time"

	"sequoiasail.example/placement"
	"sequoiasail.example/types"
)

// Service is the simulated service.
const Service = types.Service("catalogo")

const (
	// reportInterval is the time between the reports of a dispatcher.
	reportInterval = 10 * time.Second
	// standOut is the load, as a multiple of the target's average slot, from which a report lists a slot.
	standOut = 1.5
	// reportKeys is the number of keys in one report. A key has one owner, so its whole load is in one report.
	reportKeys = 16
)

// Fleet runs a planner Core against a simulated service.
type Fleet struct {
	Core *placement.Core
	// WithoutHotKeys ignores proposals to create hot-key rows.
	WithoutHotKeys bool
	// Moved counts slots that changed their owner, MovedKeys hot-key rows.
	Moved, MovedKeys int
	// Listed counts the slots that reports listed one by one, Reports the reports.
	Listed, Reports int
	// Log receives every applied action, if set.
	Log func(now types.Instant, a placement.Action)

	now      types.Instant
	revision types.Revision
	rows     []placement.Target
	names    []types.Target // every target that ever was listed
	owners   []uint16       // index into names or NoOwner
	hot      []placement.HotKey
	sketches map[types.Target]*placement.Sketch
	counts   []float32
	actions  []placement.Action
}

// NewFleet returns a fleet of n targets of equal weight whose slots have no owner yet.
func NewFleet(slots, n int) *Fleet {
	f := &Fleet{
		Core: placement.New(), owners: make([]uint16, slots), counts: make([]float32, slots),
		sketches: map[types.Target]*placement.Sketch{}, now: types.Instant(time.Hour),
	}
	for i := range f.owners {
		f.owners[i] = placement.NoOwner
	}
	for _, name := range targetNames(n) {
		f.rows = append(f.rows, placement.Target{Name: name, Weight: 1})
	}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindLead, Lead: true}, nil)
	f.SendTargets()
	f.sendOwners()
	return f
}

// SetState changes the state of one target.
func (f *Fleet) SetState(name types.Target, s placement.State) {
	for i := range f.rows {
		if f.rows[i].Name == name {
			f.rows[i].State = s
		}
	}
	f.SendTargets()
}

// Add lists a new target.
func (f *Fleet) Add(name types.Target, s placement.State) {
	f.rows = append(f.rows, placement.Target{Name: name, Weight: 1, State: s})
	f.SendTargets()
}

// Remove no longer lists a target.
func (f *Fleet) Remove(name types.Target) {
	f.rows = slices.DeleteFunc(f.rows, func(r placement.Target) bool { return r.Name == name })
	f.SendTargets()
}

// SendTargets tells the Core the present targets.
func (f *Fleet) SendTargets() {
	m := &placement.Targets{Service: Service, Slots: uint32(len(f.owners)), Rows: f.rows}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindTargets, Targets: m}, nil)
}

// Run advances the fleet and serves rate requests a second from w.
func (f *Fleet) Run(d time.Duration, rate int, w *Workload) {
	for end := f.now.Add(d); f.now < end; {
		f.Second()
		for range rate {
			f.serve(w.Sample())
		}
		if time.Duration(f.now)%reportInterval == 0 {
			f.Report()
		}
	}
}

// Second advances the time by one second and applies what the Core proposes.
func (f *Fleet) Second() {
	for range int(time.Second / placement.UrgentInterval) {
		f.now = f.now.Add(placement.UrgentInterval)
		f.actions = f.Core.Tick(f.now, f.actions[:0])
		f.apply()
	}
}

func (f *Fleet) serve(key types.KeyHash) {
	slot := types.SlotOf(key, uint32(len(f.owners)))
	owner := f.ownerName(f.owners[slot])
	if i := f.findHot(key); i >= 0 {
		owner = f.hot[i].Owner
	} else {
		f.counts[slot]++
	}
	if owner == "" {
		return
	}
	s := f.sketches[owner]
	if s == nil {
		s = placement.NewSketch(placement.DefaultSketchSize)
		f.sketches[owner] = s
	}
	s.Add(key, 1)
}

func (f *Fleet) ownerName(i uint16) types.Target {
	if i == placement.NoOwner {
		return ""
	}
	return f.names[i]
}

func (f *Fleet) findHot(key types.KeyHash) int {
	return slices.IndexFunc(f.hot, func(h placement.HotKey) bool { return h.Key == key })
}

// Report sends one report for each target.
func (f *Fleet) Report() {
	seconds := float32(reportInterval / time.Second)
	for i, name := range f.names {
		m := &placement.Load{Service: Service, Target: name}
		f.reportSlots(m, uint16(i))
		if s := f.sketches[name]; s != nil {
			m.Keys = s.Top(reportKeys, 1/seconds, nil)
			s.Reset()
		}
		f.Core.Step(f.now, &placement.Message{Kind: placement.KindLoad, Load: m}, nil)
	}
	clear(f.counts)
}

// reportSlots lists the slots of a target that have more than standOut times the load of its average slot.
func (f *Fleet) reportSlots(m *placement.Load, t uint16) {
	seconds := float32(reportInterval / time.Second)
	sum, n := float32(0), float32(0)
	for slot, o := range f.owners {
		if o == t {
			sum += f.counts[slot]
			n++
		}
	}
	for slot, o := range f.owners {
		if o != t {
			continue
		}
		if f.counts[slot] <= standOut*sum/n {
			m.Rest += f.counts[slot] / seconds
			continue
		}
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, f.counts[slot]/seconds)
	}
	f.Listed += len(m.Slots)
	f.Reports++
}

func (f *Fleet) apply() {
	if len(f.actions) == 0 {
		return
	}
	for _, a := range f.actions {
		if f.Log != nil {
			f.Log(f.now, a)
		}
		f.applyOne(a)
	}
	f.sendOwners()
	f.sendHotKeys()
}

func (f *Fleet) applyOne(a placement.Action) {
	switch a.Kind {
	case placement.ActionMoveSlots:
		to := f.nameIndex(a.To)
		for s := a.First; s <= a.Last; s++ {
			f.owners[s] = to
			f.Moved++
		}
	case placement.ActionMoveKey:
		if i := f.findHot(a.Key); i >= 0 {
			f.hot[i].Owner = a.To
			f.MovedKeys++
		}
	case placement.ActionCreateKey:
		if !f.WithoutHotKeys && f.findHot(a.Key) < 0 {
			f.hot = append(f.hot, placement.HotKey{Key: a.Key, Owner: a.To})
		}
	case placement.ActionDropKey:
		f.hot = slices.DeleteFunc(f.hot, func(h placement.HotKey) bool { return h.Key == a.Key })
	}
}

func (f *Fleet) nameIndex(name types.Target) uint16 {
	i := slices.Index(f.names, name)
	if i < 0 {
		i = len(f.names)
		f.names = append(f.names, name)
	}
	return uint16(i)
}

func (f *Fleet) sendOwners() {
	f.revision++
	m := &placement.Owners{Service: Service, Revision: f.revision, Targets: f.names, Owners: f.owners}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindOwners, Owners: m}, nil)
}

func (f *Fleet) sendHotKeys() {
	m := &placement.HotKeys{Service: Service, Revision: f.revision, Rows: slices.Clone(f.hot)}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindHotKeys, HotKeys: m}, nil)
}

// Imbalance returns the peak to mean load of the targets in service under w.
func (f *Fleet) Imbalance(w *Workload) float64 {
	loads := map[types.Target]float64{}
	for _, r := range f.rows {
		if r.State != placement.StateDraining && r.State != placement.StateLost {
			loads[r.Name] = 0
		}
	}
	for rank, key := range w.keys {
		loads[f.Owner(key)] += w.Share(rank)
	}
	list := make([]float64, 0, len(loads))
	for _, l := range loads {
		list = append(list, l)
	}
	return peakToMean(list)
}

// Owner returns the owner of a key.
func (f *Fleet) Owner(key types.KeyHash) types.Target {
	if i := f.findHot(key); i >= 0 {
		return f.hot[i].Owner
	}
	return f.SlotOwner(key)
}

// SlotOwner returns the owner of the slot of a key.
func (f *Fleet) SlotOwner(key types.KeyHash) types.Target {
	return f.ownerName(f.owners[types.SlotOf(key, uint32(len(f.owners)))])
}

// Owned returns the number of slots that a target owns.
func (f *Fleet) Owned(name types.Target) int {
	i := slices.Index(f.names, name)
	n := 0
	for _, o := range f.owners {
		if int(o) == i {
			n++
		}
	}
	return n
}

// Runs returns the number of runs of neighbouring slots with the same owner. It sets the size of the stored table.
func (f *Fleet) Runs() int {
	n := 1
	for slot := 1; slot < len(f.owners); slot++ {
		if f.owners[slot] != f.owners[slot-1] {
			n++
		}
	}
	return n
}

// HasRow reports whether a key has a hot-key row.
func (f *Fleet) HasRow(key types.KeyHash) bool { return f.findHot(key) >= 0 }

// HotRows returns the number of hot-key rows.
func (f *Fleet) HotRows() int { return len(f.hot) }

// Elapsed returns the simulated time since the fleet began.
func (f *Fleet) Elapsed() time.Duration { return f.now.Sub(types.Instant(time.Hour)) }

// Count adds requests for a slot to the next report.
func (f *Fleet) Count(slot types.Slot, requests float32) { f.counts[slot] += requests }
