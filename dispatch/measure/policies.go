package measure

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// copyTime is the round trip to the second dispatcher, in another data centre 3 ms away.
const copyTime = 6 * time.Millisecond

// corePolicy is the product's own core.
type corePolicy struct {
	sim  *sim
	core *dispatch.Core
	out  []dispatch.Action
	// onCopy is told every copy of an entry.
	onCopy func(a dispatch.Action)
	// gone is true after the dispatcher was lost.
	gone bool
}

func newCorePolicy(s *sim, cfg *config.Configuration) *corePolicy {
	return &corePolicy{sim: s, core: dispatch.New(cfg, "vm-1", s.random), onCopy: func(dispatch.Action) {}}
}

func (p *corePolicy) step(m dispatch.Message) {
	if !p.gone {
		p.carryOut(p.core.Step(p.sim.now, m, p.out[:0]))
	}
}

func (p *corePolicy) request(h dispatch.Handle, q dispatch.Request) {
	p.step(dispatch.Message{Kind: dispatch.MessageRequest, Handle: h, Request: q})
}

func (p *corePolicy) result(h dispatch.Handle, r dispatch.Result) {
	p.step(dispatch.Message{Kind: dispatch.MessageResult, Handle: h, Result: r})
}

func (p *corePolicy) tick() { p.carryOut(p.core.Tick(p.sim.now, p.out[:0])) }

func (p *corePolicy) wake() (types.Instant, bool) { return p.core.NextWake() }

func (p *corePolicy) carryOut(actions []dispatch.Action) {
	p.out = actions
	for _, a := range actions {
		switch a.Kind {
		case dispatch.ActionSend:
			p.sim.send(a)
		case dispatch.ActionCancelSend:
			p.sim.cancel(a)
		case dispatch.ActionReply:
			p.sim.onReply(a)
		case dispatch.ActionStoreCopy:
			p.copyEntry(a)
		}
	}
}

func (p *corePolicy) copyEntry(a dispatch.Action) {
	p.onCopy(a)
	if a.Entry.State == dispatch.EntrySent {
		done := dispatch.Message{Kind: dispatch.MessageCopyDone, Handle: a.Handle, Stored: true}
		p.sim.after(copyTime, func() { p.step(done) })
	}
}

// serve takes over the leases of all targets.
func (p *corePolicy) serve(epoch types.Epoch, warm bool) {
	for _, id := range p.sim.ids() {
		p.step(dispatch.Message{Kind: dispatch.MessageServe, Target: id, Lease: dispatch.Lease{
			Epoch: epoch, ValidUntil: p.sim.now.Add(24 * time.Hour), WallMs: p.sim.wallMs(), Warm: warm,
		}})
	}
}

// ids returns the targets in order of their names.
func (s *sim) ids() []types.TargetID {
	var ids []types.TargetID
	for id := range s.targets {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b types.TargetID) int { return cmp.Compare(a.Target, b.Target) })
	return ids
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Handle, b.Handle), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// fifoPolicy is a baseline: first in, first out, without bounds, retries or memory.
type fifoPolicy struct {
	sim    *sim
	queues map[types.TargetID]*fifoQueue
	states map[dispatch.Handle]*fifoRequest
}

type fifoQueue struct {
	waiting []*fifoRequest
	limit   int
	flying  int
}

type fifoRequest struct {
	dispatch.Request
	handle dispatch.Handle
	queue  *fifoQueue
}

// newFIFOPolicy returns a policy with one queue and one limit for all targets if shared, otherwise for each.
func newFIFOPolicy(s *sim, shared bool) *fifoPolicy {
	p := &fifoPolicy{sim: s, queues: map[types.TargetID]*fifoQueue{}, states: map[dispatch.Handle]*fifoRequest{}}
	one := &fifoQueue{}
	for id, t := range s.targets {
		q := one
		if !shared {
			q = &fifoQueue{}
		}
		q.limit += t.slots
		p.queues[id] = q
	}
	return p
}

func (p *fifoPolicy) request(h dispatch.Handle, q dispatch.Request) {
	r := &fifoRequest{Request: q, handle: h, queue: p.queues[q.Target]}
	p.states[h] = r
	r.queue.waiting = append(r.queue.waiting, r)
	p.pump(r.queue)
}

func (p *fifoPolicy) pump(q *fifoQueue) {
	for len(q.waiting) > 0 && q.flying < q.limit {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		if p.sim.now >= r.Deadline {
			p.reply(r, types.OutcomeNotRun)
			continue
		}
		q.flying++
		p.sim.send(dispatch.Action{Kind: dispatch.ActionSend, Handle: r.handle, Attempt: 1, Target: r.Target, Deadline: r.Deadline})
	}
}

func (p *fifoPolicy) result(h dispatch.Handle, r dispatch.Result) {
	f, found := p.states[h]
	if !found {
		return
	}
	f.queue.flying--
	outcome := types.OutcomeUnknown
	if r.Kind == dispatch.ResultAnswered {
		outcome = types.OutcomeDone
	}
	if r.Kind == dispatch.ResultNotWritten {
		outcome = types.OutcomeNotRun
	}
	p.reply(f, outcome)
	p.pump(f.queue)
}

func (p *fifoPolicy) reply(r *fifoRequest, outcome types.Outcome) {
	delete(p.states, r.handle)
	p.sim.onReply(dispatch.Action{Kind: dispatch.ActionReply, Handle: r.handle, Outcome: outcome, Replay: r.handle})
}

func (p *fifoPolicy) tick() {}

func (p *fifoPolicy) wake() (types.Instant, bool) { return 0, false }
