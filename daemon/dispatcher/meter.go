package dispatcher

import (
	"time"

	"sequoiasail.example/placement"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// reportInterval is how often loads are reported. Six reports a minute let hot keys be found within minutes, and keep
	// what the planner of 430 daemons receives under 29 KB/s.
	reportInterval = 10 * time.Second
	// outstanding is how many times the mean a slot's load must be to be listed by itself in a report.
	outstanding = 1.5
	// reportedKeys is above the 13 keys that change within minutes at the design size.
	reportedKeys = 16
	// reportTimeout bounds the report, which the next one replaces.
	reportTimeout = 500 * time.Millisecond
)

// meter counts the load of slots and keys. It is owned by the dispatch duty.
type meter struct {
	slots    map[types.TargetID]map[types.Slot]float32
	sketches map[types.TargetID]*placement.Sketch
	reported types.Instant
}

func newMeter() *meter {
	return &meter{
		slots:    make(map[types.TargetID]map[types.Slot]float32),
		sketches: make(map[types.TargetID]*placement.Sketch),
		reported: telemetry.Now(),
	}
}

// count adds one request that was sent. The load of a key with its own row is not part of its slot's load.
func (m *meter) count(id types.TargetID, r *peer.DoRequest) {
	if !r.HotKey {
		slots := m.slots[id]
		if slots == nil {
			slots = make(map[types.Slot]float32)
			m.slots[id] = slots
		}
		slots[r.Slot]++
	}
	sketch := m.sketches[id]
	if sketch == nil {
		sketch = placement.NewSketch(placement.DefaultSketchSize)
		m.sketches[id] = sketch
	}
	sketch.Add(r.KeyHash, 1)
}

// due reports whether the next report is to be sent.
func (m *meter) due(now types.Instant) bool { return now.Sub(m.reported) >= reportInterval }

// loads returns the rates of target id since the last report and starts a new interval for it.
func (m *meter) loads(id types.TargetID, elapsed time.Duration) peer.TargetLoad {
	out := peer.TargetLoad{Target: id}
	seconds := float32(elapsed.Seconds())
	mean := meanLoad(m.slots[id])
	for slot, n := range m.slots[id] {
		if n <= outstanding*mean {
			out.Rest += n / seconds
			continue
		}
		out.Slots = append(out.Slots, slot)
		out.Loads = append(out.Loads, n/seconds)
	}
	delete(m.slots, id)
	sketch := m.sketches[id]
	if sketch == nil {
		return out
	}
	for _, k := range sketch.Top(reportedKeys, 1/seconds, nil) {
		out.Keys = append(out.Keys, k.Key)
		out.KeyLoads = append(out.KeyLoads, k.Load)
	}
	sketch.Reset()
	return out
}

func meanLoad(slots map[types.Slot]float32) float32 {
	if len(slots) == 0 {
		return 0
	}
	var sum float32
	for _, n := range slots {
		sum += n
	}
	return sum / float32(len(slots))
}

// reportLoads tells the planner the loads and conditions of the targets that are served here.
func (w *worker) reportLoads() {
	now := telemetry.Now()
	if !w.meter.due(now) {
		return
	}
	elapsed := now.Sub(w.meter.reported)
	w.meter.reported = now
	w.statuses = w.core.Targets(now, w.statuses[:0])
	report := &peer.LoadReport{From: w.vm}
	for _, s := range w.statuses {
		load := w.meter.loads(s.ID, elapsed)
		load.Condition = uint8(s.Condition)
		report.Targets = append(report.Targets, load)
	}
	w.sendReport(report)
	w.announceStates()
}

func (w *worker) sendReport(report *peer.LoadReport) {
	if w.planner == w.vm {
		w.toPlanner(report)
		return
	}
	link, ok := w.links[w.planner]
	if !ok {
		return
	}
	_ = link.TryCall(&peer.Call{
		Method:  peer.MethodReport,
		Args:    report,
		Reply:   &peer.Empty{},
		Timeout: reportTimeout,
		Done:    func(*peer.Call) {},
	})
}
