package dispatcher

import (
	"sequoiasail.example/dispatch"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// noteIncarnation remembers in which incarnation a target answered last.
func (w *worker) noteIncarnation(id types.TargetID, incarnation types.Incarnation) {
	if incarnation == 0 || w.incarnations[id] == incarnation {
		return
	}
	w.incarnations[id] = incarnation
	if w.conditions[id] == dispatch.ConditionHealthy {
		w.warm[id] = incarnation
	}
}

// noteCondition remembers which targets run at full load.
func (w *worker) noteCondition(id types.TargetID, condition dispatch.Condition) {
	w.conditions[id] = condition
	switch condition {
	case dispatch.ConditionHealthy:
		w.warm[id] = w.incarnations[id]
	case dispatch.ConditionCold, dispatch.ConditionSuspectedDead:
		delete(w.warm, id)
	}
}

// announceStates tells the dispatchers of this data centre, which are the first to take a target over, what is known of
// the targets served here.
func (w *worker) announceStates() {
	states := &peer.TargetStates{From: w.vm}
	for _, s := range w.statuses {
		if state := w.stateOf(s.ID); state.Incarnation != 0 {
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

func (w *worker) stateOf(id types.TargetID) peer.TargetState {
	incarnation := w.incarnations[id]
	return peer.TargetState{Target: id, Incarnation: incarnation, Warm: incarnation != 0 && w.warm[id] == incarnation}
}

func (w *worker) learnStates(s *peer.TargetStates) {
	for _, row := range s.Rows {
		w.learnState(row)
	}
}

func (w *worker) learnState(s peer.TargetState) {
	if s.Warm {
		w.warm[s.Target] = s.Incarnation
		return
	}
	delete(w.warm, s.Target)
}
