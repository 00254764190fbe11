package measure

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// copyRoundTrip is the round trip to the dispatcher that stores copies of entries, in another data centre 3 ms away.
const copyRoundTrip = 6 * time.Millisecond

// corePolicy is the policy that runs the dispatch core under test.
type corePolicy struct {
	sim  *sim
	core *dispatch.Core
	out  []dispatch.Action
	// onCopy is called with every ActionStoreCopy.
	onCopy func(a dispatch.Action)
	// lost is true once the simulated dispatcher has been lost. It then receives no more messages.
	lost bool
}

func newCorePolicy(s *sim, cfg *config.Configuration) *corePolicy {
	return &corePolicy{sim: s, core: dispatch.New(cfg, "vm-1", s.random), onCopy: func(dispatch.Action) {}}
}

func (p *corePolicy) step(m dispatch.Message) {
	if !p.lost {
		p.perform(p.core.Step(p.sim.now, m, p.out[:0]))
	}
}

func (p *corePolicy) request(h dispatch.Handle, q dispatch.Request) {
	p.step(dispatch.Message{Kind: dispatch.MessageRequest, Handle: h, Request: q})
}

func (p *corePolicy) result(h dispatch.Handle, r dispatch.Result) {
	p.step(dispatch.Message{Kind: dispatch.MessageResult, Handle: h, Result: r})
}

func (p *corePolicy) tick() { p.perform(p.core.Tick(p.sim.now, p.out[:0])) }

func (p *corePolicy) wake() (types.Instant, bool) { return p.core.NextWake() }

func (p *corePolicy) perform(actions []dispatch.Action) {
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
		p.sim.after(copyRoundTrip, func() { p.step(done) })
	}
}

// acquireLeases gives the dispatcher the leases of all targets.
func (p *corePolicy) acquireLeases(epoch types.Epoch, warm bool) {
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

// fifoPolicy is a baseline: unbounded first-in first-out queues without retries or deduplication.
type fifoPolicy struct {
	sim      *sim
	queues   map[types.TargetID]*fifoQueue
	requests map[dispatch.Handle]*fifoRequest
}

// fifoQueue is the queue of one target or, if shared, of all targets.
type fifoQueue struct {
	waiting  []*fifoRequest
	limit    int // of requests in flight
	inFlight int
}

// fifoRequest is a request that is queued or in flight.
type fifoRequest struct {
	dispatch.Request
	handle dispatch.Handle
	queue  *fifoQueue
}

// newFIFOPolicy returns a policy with one queue and limit for all targets together if shared, and else for each.
func newFIFOPolicy(s *sim, shared bool) *fifoPolicy {
	p := &fifoPolicy{sim: s, queues: map[types.TargetID]*fifoQueue{}, requests: map[dispatch.Handle]*fifoRequest{}}
	sharedQueue := &fifoQueue{}
	for id, t := range s.targets {
		q := sharedQueue
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
	p.requests[h] = r
	r.queue.waiting = append(r.queue.waiting, r)
	p.sendWaiting(r.queue)
}

// sendWaiting sends queued requests up to the limit and refuses those whose deadline has passed.
func (p *fifoPolicy) sendWaiting(q *fifoQueue) {
	for len(q.waiting) > 0 && q.inFlight < q.limit {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		if p.sim.now >= r.Deadline {
			p.reply(r, types.OutcomeNotRun)
			continue
		}
		q.inFlight++
		p.sim.send(dispatch.Action{Kind: dispatch.ActionSend, Handle: r.handle, Attempt: 1, Target: r.Target, Deadline: r.Deadline})
	}
}

func (p *fifoPolicy) result(h dispatch.Handle, r dispatch.Result) {
	f, found := p.requests[h]
	if !found {
		return
	}
	f.queue.inFlight--
	outcome := types.OutcomeUnknown
	if r.Kind == dispatch.ResultAnswered {
		outcome = types.OutcomeDone
	}
	if r.Kind == dispatch.ResultNotWritten {
		outcome = types.OutcomeNotRun
	}
	p.reply(f, outcome)
	p.sendWaiting(f.queue)
}

func (p *fifoPolicy) reply(r *fifoRequest, outcome types.Outcome) {
	delete(p.requests, r.handle)
	p.sim.onReply(dispatch.Action{Kind: dispatch.ActionReply, Handle: r.handle, Outcome: outcome, Replay: r.handle})
}

func (p *fifoPolicy) tick() {}

func (p *fifoPolicy) wake() (types.Instant, bool) { return 0, false }
