package dispatcher

import (
	"time"

	"sequoiasail.example/placement"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

const (
	// reportInterval is how often loads are reported. Six reports a minute suffice to find hot keys within minutes, and
	// the planner of 430 daemons receives less than 29 KB/s.
	reportInterval = 10 * time.Second
	// slotReportThreshold is the multiple of the mean slot load above which a report lists a slot separately.
	slotReportThreshold = 1.5
	// maxReportedKeys bounds the keys in a report. It exceeds the 13 keys that change within minutes at the design
	// size.
	maxReportedKeys = 16
	// reportTimeout bounds the call that sends a report. The next report replaces a lost one.
	reportTimeout = 500 * time.Millisecond
)

// meter counts the requests sent per slot and key of each target. It is used by the dispatch duty only.
type meter struct {
	// slots counts the requests of each slot since the last report, without those of hot keys.
	slots map[types.TargetID]map[types.Slot]float32
	// sketches estimate how often the most frequent keys of each target were requested since the last report.
	sketches   map[types.TargetID]*placement.Sketch
	lastReport types.Instant
}

func newMeter() *meter {
	return &meter{
		slots:      make(map[types.TargetID]map[types.Slot]float32),
		sketches:   make(map[types.TargetID]*placement.Sketch),
		lastReport: telemetry.Now(),
	}
}

// count adds one request that was sent. The load of a hot key is not part of its slot's load.
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

// due reports whether reportInterval has passed since the last report.
func (m *meter) due(now types.Instant) bool { return now.Sub(m.lastReport) >= reportInterval }

// loads returns the rates of target id since the last report and starts a new interval for it.
func (m *meter) loads(id types.TargetID, elapsed time.Duration) peer.TargetLoad {
	out := peer.TargetLoad{Target: id}
	seconds := float32(elapsed.Seconds())
	mean := meanLoad(m.slots[id])
	for slot, n := range m.slots[id] {
		if n <= slotReportThreshold*mean {
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
	for _, k := range sketch.Top(maxReportedKeys, 1/seconds, nil) {
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

// reportLoads sends the loads and conditions of the targets served here to the planner once per reportInterval.
func (w *worker) reportLoads() {
	now := telemetry.Now()
	if !w.meter.due(now) {
		return
	}
	elapsed := now.Sub(w.meter.lastReport)
	w.meter.lastReport = now
	w.statusBuffer = w.core.Targets(now, w.statusBuffer[:0])
	report := &peer.LoadReport{From: w.vm}
	for _, s := range w.statusBuffer {
		load := w.meter.loads(s.ID, elapsed)
		load.Condition = uint8(s.Condition)
		report.Targets = append(report.Targets, load)
	}
	w.sendReport(report)
	w.announceTargetStates()
}

func (w *worker) sendReport(report *peer.LoadReport) {
	if w.planner == w.vm {
		w.reportToPlanner(report)
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
