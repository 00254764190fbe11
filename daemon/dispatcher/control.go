package dispatcher

import (
	"context"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

func (w *worker) takeControls(ctx context.Context) {
	w.controls.Drain(func(m workerControl) { w.applyControl(ctx, m) })
}

func (w *worker) applyControl(ctx context.Context, m workerControl) {
	if m.config != nil {
		w.configure(m.config)
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageConfiguration, Configuration: m.config})
	}
	if m.peers != nil {
		w.peers = m.peers
	}
	if m.links != nil {
		w.links = m.links
	}
	// A copy that is not stored costs the answer if this dispatcher takes over. Entries of a handover are always stored.
	if m.receivedCopy != nil && !w.payloads.full() {
		w.storeCopy(ctx, m.receivedCopy)
	}
	for _, message := range m.messages {
		w.step(ctx, message)
	}
	if m.planner != nil {
		w.planner = *m.planner
	}
	if m.outOfService != nil {
		w.applyOutOfService(ctx, m.outOfService)
	}
	w.applyPeerControl(ctx, m)
}

// applyPeerControl applies changes of leases, handovers and target states.
func (w *worker) applyPeerControl(ctx context.Context, m workerControl) {
	if m.serve != nil {
		w.applyServe(ctx, m.serve)
	}
	if m.receivedHandover != nil {
		for i := range m.receivedHandover.Entries {
			w.storeCopy(ctx, &m.receivedHandover.Entries[i])
		}
		w.acceptHandover(m.receivedHandover)
	}
	if m.handover != nil {
		w.applyHandoverResult(m.handover)
	}
	if m.targetStates != nil {
		w.applyTargetStates(m.targetStates)
	}
}

func (w *worker) configure(c *config.Configuration) {
	for _, s := range c.Services {
		w.keyed[s.Name] = s.Keyed
		w.slots[s.Name] = s.Slots
		for _, t := range s.Targets {
			w.addresses[types.TargetID{Service: s.Name, Target: t.Name}] = t.Address
		}
	}
}
