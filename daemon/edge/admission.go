package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

const (
	// reportInterval spaces the reports to the other VMs.
	reportInterval = 25 * time.Millisecond
	// reportRefresh repeats a report without changes, because a datagram may be lost.
	reportRefresh = 500 * time.Millisecond
	// neighboursAtOnce and reportersAtOnce are the numbers of VMs of the fleet up to which the intervals hold.
	neighboursAtOnce = 30
	reportersAtOnce  = 60
	// measureInterval spaces the reports to the keeper.
	measureInterval = 300 * time.Millisecond
	// hostIdle is the number of idle connections kept to a target; the core bounds those in use.
	hostIdle = 16
)

// pending is a caller's request in the front and in admission. Only call, body and reply are read by both.
type pending struct {
	id    admission.FlightID
	call  platform.CallerRequest
	body  []byte
	reply chan verdict
	// message is what admission is told of the request.
	message admission.Arrived
}

// verdict is the final answer to a caller.
type verdict struct {
	action admission.Action
}

// job is one attempt for a sender.
type job struct {
	ctx    context.Context
	cancel context.CancelFunc
	send   admission.Send
	host   *forward.Host
	call   platform.CallerRequest
	body   []byte
}

// hand is a request in hand.
type hand struct {
	pending *pending
	cancel  context.CancelFunc
}

// hostKey names one life of a target.
type hostKey struct {
	target  types.Target
	life    int64
	address string
}

// admissionDuty runs the admission core.
type admissionDuty struct {
	in    *ring.Ring[any]
	jobs  *ring.Ring[job]
	peers *ring.Ring[report]
	log   *telemetry.Log
	core  *admission.Core
	meter *meter

	hands    map[admission.FlightID]*hand
	hosts    map[hostKey]*forward.Host
	keys     map[types.Service][]keyspace.Key
	seen     []admission.Sample
	reported time.Time
	measured time.Time
	// fleet is the number of VMs.
	fleet int
}

func (a *admissionDuty) duty() duty.Duty { return duty.Duty{Name: "admission", Run: a.run} }

func (a *admissionDuty) run(ctx context.Context) error {
	timer := time.NewTimer(reportRefresh)
	defer timer.Stop()
	for {
		a.in.Drain(func(m any) { a.handle(ctx, m) })
		a.perform(ctx, a.core.Tick(telemetry.Now()))
		timer.Reset(a.nextWake())
		select {
		case <-a.in.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		a.report(time.Now())
	}
}

// nextWake is short while requests are in hand or a report waits for its interval.
func (a *admissionDuty) nextWake() time.Duration {
	if wait, busy := a.core.Busy(); busy {
		return wait
	}
	return reportRefresh
}

func (a *admissionDuty) handle(ctx context.Context, m any) {
	now := telemetry.Now()
	switch m := m.(type) {
	case *pending:
		a.hands[m.id] = &hand{pending: m}
		if m.message.Keyed {
			a.count(m)
		}
		a.perform(ctx, a.core.Step(now, m.message))
	case admission.Peers:
		a.fleet = len(m.VMs)
		a.perform(ctx, a.core.Step(now, m))
	case admission.Targets:
		a.forget(m)
		a.perform(ctx, a.core.Step(now, m))
	case admission.Message:
		a.perform(ctx, a.core.Step(now, m))
	}
}

// count keeps the key of a request for the keeper.
func (a *admissionDuty) count(p *pending) {
	for _, part := range p.message.Route.Parts {
		if len(a.keys[part.Service]) < maxReportedKeys {
			a.keys[part.Service] = append(a.keys[part.Service], p.message.Key)
		}
	}
}

// forget closes the connections to targets that are gone.
func (a *admissionDuty) forget(m admission.Targets) {
	present := make(map[hostKey]bool, len(m.Targets))
	for _, t := range m.Targets {
		present[hostKey{target: t.Target, life: t.Life, address: t.Address}] = true
	}
	for k, h := range a.hosts {
		if !present[k] {
			h.Close()
			delete(a.hosts, k)
		}
	}
}

func (a *admissionDuty) perform(ctx context.Context, actions []admission.Action) {
	for _, action := range actions {
		switch m := action.(type) {
		case admission.Send:
			a.send(ctx, m)
		case admission.Abort:
			if h := a.hands[m.ID]; h != nil && h.cancel != nil {
				h.cancel()
			}
		case admission.Reply:
			a.finish(m.ID, m)
		case admission.Refuse:
			a.finish(m.ID, m)
		case admission.Fail:
			a.finish(m.ID, m)
		case admission.Note:
			a.log.Decide(telemetry.Decision{Kind: "note", RequestID: a.requestID(m.ID), Target: string(m.Target), Reason: m.Reason})
		}
	}
}

func (a *admissionDuty) requestID(id admission.FlightID) string {
	if h := a.hands[id]; h != nil {
		return string(h.pending.call.ID)
	}
	return ""
}

func (a *admissionDuty) send(ctx context.Context, m admission.Send) {
	h := a.hands[m.ID]
	if h == nil {
		return
	}
	key := hostKey{target: m.Target.Target, life: m.Target.Life, address: m.Target.Address}
	host := a.hosts[key]
	if host == nil {
		host = platform.NewHost(m.Target.Address, hostIdle)
		a.hosts[key] = host
	}
	left := m.Deadline.Sub(telemetry.Now())
	jobCtx, cancel := context.WithTimeout(ctx, left)
	h.cancel = cancel
	a.log.Decide(telemetry.Decision{
		Kind: "send", RequestID: string(h.pending.call.ID), Service: string(m.Target.Service), Target: string(m.Target.Target),
		Reason: m.Reason, Outcome: left.Round(time.Millisecond).String(),
	})
	j := job{ctx: jobCtx, cancel: cancel, send: m, host: host, call: h.pending.call, body: h.pending.body}
	if err := a.jobs.TryPut(j); err != nil {
		cancel()
		a.perform(ctx, a.core.Step(telemetry.Now(), admission.Finished{ID: m.ID, Attempt: m.Attempt, Result: admission.ResultNotRun}))
	}
}

// finish gives the caller its answer. The slot of the reply has room for one verdict and gets no second one.
func (a *admissionDuty) finish(id admission.FlightID, action admission.Action) {
	h := a.hands[id]
	if h == nil {
		return
	}
	select {
	case h.pending.reply <- verdict{action: action}:
	default:
	}
	if _, failed := action.(admission.Fail); !failed {
		delete(a.hands, id)
	}
	a.explain(h.pending, action)
}

func (a *admissionDuty) explain(p *pending, action admission.Action) {
	d := telemetry.Decision{Kind: "answer", RequestID: string(p.call.ID)}
	switch m := action.(type) {
	case admission.Reply:
		d.Outcome = "answered"
		a.meter.answered.Inc()
	case admission.Refuse:
		d.Outcome, d.Code, d.Detail = "refused, not run", string(m.Code), "retry after "+m.RetryAfter.String()+", "+m.Reason
		a.meter.refused.Inc()
	case admission.Fail:
		d.Outcome, d.Code = "failed, may have run", string(m.Code)
		a.meter.failed.Inc()
	}
	a.log.Decide(d)
}

// report tells the VMs of the data centre what is new, at most once in reportInterval, and the keeper what it measures.
func (a *admissionDuty) report(now time.Time) {
	if since := now.Sub(a.reported); since >= a.spacing(reportInterval, neighboursAtOnce) && (since >= reportRefresh || a.core.Changed()) {
		a.reported = now
		load := a.core.Report()
		a.seen = append(a.seen, load.Samples...)
		a.tell(report{to: toDataCentre, load: &load})
	}
	if now.Sub(a.measured) >= a.spacing(measureInterval, reportersAtOnce) && (len(a.keys) > 0 || len(a.seen) > 0) {
		a.measured = now
		a.tell(report{to: toKeeper, keys: a.keys, seen: a.seen})
		a.keys = make(map[types.Service][]keyspace.Key)
		a.seen = nil
	}
}

// spacing stretches an interval with the number of VMs, so that the receivers' work does not grow with its square.
func (a *admissionDuty) spacing(interval time.Duration, atOnce int) time.Duration {
	return interval * time.Duration(max(1, a.fleet/atOnce))
}

func (a *admissionDuty) tell(r report) {
	if err := a.peers.Replace(r); err != nil {
		a.log.Warn("report to the other VMs not queued", log.Fields{"error": err.Error()})
	}
}
