package dispatcher

import (
	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// recordIncarnation records the incarnation that a target's last response named.
func (w *worker) recordIncarnation(id types.TargetID, incarnation types.Incarnation) {
	if incarnation == 0 || w.incarnations[id] == incarnation {
		return
	}
	w.incarnations[id] = incarnation
	if w.conditions[id] == dispatch.ConditionHealthy {
		w.warm[id] = incarnation
	}
}

// recordCondition records a target's condition. A healthy target has completed its warm-up and can take full load.
func (w *worker) recordCondition(id types.TargetID, condition dispatch.Condition) {
	w.conditions[id] = condition
	switch condition {
	case dispatch.ConditionHealthy:
		w.warm[id] = w.incarnations[id]
	case dispatch.ConditionCold, dispatch.ConditionSuspectedDead:
		delete(w.warm, id)
	}
}

// announceTargetStates sends the incarnation and warm-up state of the targets served here to the dispatchers of this
// data centre, which are the first to take a target over.
func (w *worker) announceTargetStates() {
	states := &peer.TargetStates{From: w.vm}
	for _, s := range w.statusBuffer {
		if state := w.targetState(s.ID); state.Incarnation != 0 {
			states.Rows = append(states.Rows, state)
		}
	}
	if len(states.Rows) == 0 || w.peers == nil {
		return
	}
	for _, m := range w.peers.members {
		link := w.links[m.vm]
		if link == nil || m.dataCentre != w.dataCentre {
			continue
		}
		_ = link.TryCall(&peer.Call{
			Method:  peer.MethodTargets,
			Args:    states,
			Reply:   &peer.Empty{},
			Timeout: noticeTimeout,
			Done:    func(*peer.Call) {},
		})
	}
}

func (w *worker) targetState(id types.TargetID) peer.TargetState {
	incarnation := w.incarnations[id]
	return peer.TargetState{Target: id, Incarnation: incarnation, Warm: incarnation != 0 && w.warm[id] == incarnation}
}

// applyTargetStates records which incarnations of targets have completed their warm-up, as another dispatcher reports.
func (w *worker) applyTargetStates(s *peer.TargetStates) {
	for _, row := range s.Rows {
		w.applyTargetState(row)
	}
}

func (w *worker) applyTargetState(s peer.TargetState) {
	if s.Warm {
		w.warm[s.Target] = s.Incarnation
		return
	}
	delete(w.warm, s.Target)
}
