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
	// listThreshold is the load, as a multiple of the target's average slot, above which a report lists a slot.
	listThreshold = 1.5
	// maxReportKeys is the maximum number of keys in one report. A key has one owner, so its whole load is in one
	// report.
	maxReportKeys = 16
)

// Fleet runs a planner Core against a simulated service.
type Fleet struct {
	Core *placement.Core
	// WithoutHotKeys ignores proposals to create hot-key rows.
	WithoutHotKeys bool
	// MovedSlots counts slot moves, MovedKeys moves of hot-key rows.
	MovedSlots, MovedKeys int
	// ListedSlots counts the slots that reports listed individually, Reports the reports.
	ListedSlots, Reports int
	// Log receives every applied action, if set.
	Log func(now types.Instant, a placement.Action)

	now          types.Instant
	revision     types.Revision
	rows         []placement.Target
	names        []types.Target // every target that has owned slots
	owners       []uint16       // index into names or NoOwner
	hotRows      []placement.HotKey
	sketches     map[types.Target]*placement.Sketch
	slotRequests []float32
	actions      []placement.Action
}

// NewFleet returns a fleet of n targets of equal weight whose slots have no owner yet.
func NewFleet(slots, n int) *Fleet {
	f := &Fleet{
		Core: placement.New(), owners: make([]uint16, slots), slotRequests: make([]float32, slots),
		sketches: map[types.Target]*placement.Sketch{}, now: types.Instant(time.Hour),
	}
	for i := range f.owners {
		f.owners[i] = placement.NoOwner
	}
	for _, name := range targetNames(n) {
		f.rows = append(f.rows, placement.Target{Name: name, Weight: 1})
	}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindLeader, Leader: true}, nil)
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

// Remove removes a target from the list.
func (f *Fleet) Remove(name types.Target) {
	f.rows = slices.DeleteFunc(f.rows, func(r placement.Target) bool { return r.Name == name })
	f.SendTargets()
}

// SendTargets sends the current list of targets to the Core.
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
			f.SendReports()
		}
	}
}

// Second advances the time by one second and applies what the Core proposes.
func (f *Fleet) Second() {
	for range int(time.Second / placement.UrgentInterval) {
		f.now = f.now.Add(placement.UrgentInterval)
		f.actions = f.Core.Tick(f.now, f.actions[:0])
		f.applyActions()
	}
}

// serve counts one request for key at its slot, if it has no row, and in the sketch of its owner.
func (f *Fleet) serve(key types.KeyHash) {
	slot := types.SlotOf(key, uint32(len(f.owners)))
	owner := f.ownerName(f.owners[slot])
	if i := f.findHot(key); i >= 0 {
		owner = f.hotRows[i].Owner
	} else {
		f.slotRequests[slot]++
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

// ownerName returns the name at index i, empty for NoOwner.
func (f *Fleet) ownerName(i uint16) types.Target {
	if i == placement.NoOwner {
		return ""
	}
	return f.names[i]
}

// findHot returns the index of the row of a key, or -1.
func (f *Fleet) findHot(key types.KeyHash) int {
	return slices.IndexFunc(f.hotRows, func(h placement.HotKey) bool { return h.Key == key })
}

// SendReports sends one report for each target.
func (f *Fleet) SendReports() {
	seconds := float32(reportInterval / time.Second)
	for i, name := range f.names {
		m := &placement.Load{Service: Service, Target: name}
		f.reportSlots(m, uint16(i))
		if s := f.sketches[name]; s != nil {
			m.Keys = s.Top(maxReportKeys, 1/seconds, nil)
			s.Reset()
		}
		f.Core.Step(f.now, &placement.Message{Kind: placement.KindLoad, Load: m}, nil)
	}
	clear(f.slotRequests)
}

// reportSlots lists the slots of a target that have more than listThreshold times the load of its average slot.
func (f *Fleet) reportSlots(m *placement.Load, t uint16) {
	seconds := float32(reportInterval / time.Second)
	sum, n := float32(0), float32(0)
	for slot, o := range f.owners {
		if o == t {
			sum += f.slotRequests[slot]
			n++
		}
	}
	for slot, o := range f.owners {
		if o != t {
			continue
		}
		if f.slotRequests[slot] <= listThreshold*sum/n {
			m.Rest += f.slotRequests[slot] / seconds
			continue
		}
		m.Slots = append(m.Slots, types.Slot(slot))
		m.Loads = append(m.Loads, f.slotRequests[slot]/seconds)
	}
	f.ListedSlots += len(m.Slots)
	f.Reports++
}

// applyActions applies the proposed actions and confirms them to the Core.
func (f *Fleet) applyActions() {
	if len(f.actions) == 0 {
		return
	}
	for _, a := range f.actions {
		if f.Log != nil {
			f.Log(f.now, a)
		}
		f.applyAction(a)
	}
	f.sendOwners()
	f.sendHotKeys()
}

func (f *Fleet) applyAction(a placement.Action) {
	switch a.Kind {
	case placement.ActionMoveSlots:
		to := f.nameIndex(a.To)
		for s := a.First; s <= a.Last; s++ {
			f.owners[s] = to
			f.MovedSlots++
		}
	case placement.ActionMoveKey:
		if i := f.findHot(a.Key); i >= 0 {
			f.hotRows[i].Owner = a.To
			f.MovedKeys++
		}
	case placement.ActionCreateKey:
		if !f.WithoutHotKeys && f.findHot(a.Key) < 0 {
			f.hotRows = append(f.hotRows, placement.HotKey{Key: a.Key, Owner: a.To})
		}
	case placement.ActionDropKey:
		f.hotRows = slices.DeleteFunc(f.hotRows, func(h placement.HotKey) bool { return h.Key == a.Key })
	}
}

// nameIndex returns the index of name in names and adds it if it is new.
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
	m := &placement.HotKeys{Service: Service, Revision: f.revision, Rows: slices.Clone(f.hotRows)}
	f.Core.Step(f.now, &placement.Message{Kind: placement.KindHotKeys, HotKeys: m}, nil)
}

// Imbalance returns the peak-to-mean load ratio of the targets in service for the key popularity of w.
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
		return f.hotRows[i].Owner
	}
	return f.SlotOwner(key)
}

// SlotOwner returns the owner of the slot of a key.
func (f *Fleet) SlotOwner(key types.KeyHash) types.Target {
	return f.ownerName(f.owners[types.SlotOf(key, uint32(len(f.owners)))])
}

// OwnedSlots returns the number of slots that a target owns.
func (f *Fleet) OwnedSlots(name types.Target) int {
	i := slices.Index(f.names, name)
	n := 0
	for _, o := range f.owners {
		if int(o) == i {
			n++
		}
	}
	return n
}

// Runs returns the number of runs of neighbouring slots with the same owner. It determines the size of the stored
// table.
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
func (f *Fleet) HotRows() int { return len(f.hotRows) }

// Elapsed returns the simulated time since the fleet began.
func (f *Fleet) Elapsed() time.Duration { return f.now.Sub(types.Instant(time.Hour)) }

// CountRequests adds requests for a slot to the next report.
func (f *Fleet) CountRequests(slot types.Slot, requests float32) { f.slotRequests[slot] += requests }
