package edge

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

const (
	// reportInterval is the shortest time between two load reports to the VMs of the data centre.
	reportInterval = 25 * time.Millisecond
	// reportRefresh is how often an unchanged load report is sent again, because a datagram may be lost.
	reportRefresh = 500 * time.Millisecond
	// reportInterval is multiplied by the number of VMs divided by fullRateVMs, and coordinatorReportInterval by that number
	// divided by coordinatorFullRateVMs, both rounded down and at least 1.
	fullRateVMs            = 30
	coordinatorFullRateVMs = 200
	// coordinatorReportInterval is the shortest time between two reports of keys and samples to the coordinator.
	coordinatorReportInterval = 300 * time.Millisecond
	// minWake keeps the duty from waking too often for what is already due.
	minWake = time.Millisecond
	// maxIdleConnections is the number of idle connections kept to a target; the core bounds those in use.
	maxIdleConnections = 16
)

// pending is a caller's request that waits for its answer. The frontend and admission share it: both read call, body and
// reply.
type pending struct {
	id    admission.LocalRequestID
	call  platform.CallerRequest
	body  [][]byte
	reply chan response
	// customer is the holder of the API key that came with the request, nil if there is none.
	customer *catalog.Customer
	// headerReadAt is when the header had been read, from which the caller's time counts.
	headerReadAt types.Instant
	// arrival is the message to the admission core about the request.
	arrival admission.RequestArrived
}

// response is the admission core's answer to a caller: admission.Reply, Refuse or Fail.
type response struct {
	action admission.Action
}

// attempt is one exchange with a target, which a sender performs.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	send   admission.Send
	host   *forward.Host
	call   platform.CallerRequest
	body   [][]byte
}

// flight is a request that has no final action of the admission core yet. cancel ends its latest attempt and is nil before the
// first.
type flight struct {
	pending *pending
	cancel  context.CancelFunc
}

// hostKey identifies the process of a target at an address. incarnation is that of its registration.
type hostKey struct {
	target      types.Target
	incarnation int64
	address     string
}

// admissionDuty runs the admission core: it performs the core's actions and sends its load reports.
type admissionDuty struct {
	// The rings: in is the duty's own, attempts is that of the senders, peers that of the peer sender.
	in       *ring.Ring[any]
	attempts *ring.Ring[attempt]
	peers    *ring.Ring[report]
	log      *telemetry.Log
	core     *admission.Core

	flights map[admission.LocalRequestID]*flight
	hosts   map[hostKey]*forward.Host
	// bodies bounds the memory of the bodies of requests and answers.
	bodies *forward.Budget
	// idle bounds the number of idle connections to targets, if the platform limits descriptors.
	idle *forward.Budget
	// keys and coordinatorSamples are collected for the next report to the coordinator.
	keys               map[types.Service][]keyspace.Key
	coordinatorSamples []admission.Sample
	// reportedAt is when the last load report was queued, coordinatorReportedAt the same for the coordinator's.
	reportedAt            time.Time
	coordinatorReportedAt time.Time
	// vmCount is the number of VMs in the store's list.
	vmCount int
}

func (a *admissionDuty) duty() duty.Duty { return duty.Duty{Name: "admission", Run: a.run} }

// run closes its ring at the end, also after a panic: the frontend then answers the requests that wait and refuses new ones.
func (a *admissionDuty) run(ctx context.Context) error {
	defer a.in.Close()
	timer := time.NewTimer(reportRefresh)
	defer timer.Stop()
	for {
		a.in.Drain(func(m any) { a.handle(ctx, m) })
		a.perform(ctx, a.core.Tick(telemetry.Now()))
		timer.Reset(a.nextWake(time.Now()))
		select {
		case <-a.in.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		a.report(time.Now())
	}
}

// nextWake returns the time until the core's next tick or the next report is due.
func (a *admissionDuty) nextWake(now time.Time) time.Duration {
	wait := reportRefresh
	if tick, busy := a.core.NextTick(telemetry.Now()); busy {
		wait = min(wait, tick)
	}
	if a.core.ReportPending() {
		wait = min(wait, a.reportedAt.Add(a.reportInterval()).Sub(now))
	}
	if a.coordinatorReportPending() {
		wait = min(wait, a.coordinatorReportedAt.Add(a.coordinatorReportInterval()).Sub(now))
	}
	return max(wait, minWake)
}

func (a *admissionDuty) handle(ctx context.Context, m any) {
	now := telemetry.Now()
	switch m := m.(type) {
	case *pending:
		a.flights[m.id] = &flight{pending: m}
		if m.arrival.Keyed {
			a.recordKey(m)
		}
		a.perform(ctx, a.core.Step(now, m.arrival))
	case admission.Peers:
		a.vmCount = len(m.VMs)
		m.ReportInterval = a.reportInterval()
		a.perform(ctx, a.core.Step(now, m))
	case admission.Targets:
		a.closeRemovedHosts(m)
		a.perform(ctx, a.core.Step(now, m))
	case admission.AttemptFinished:
		actions := a.core.Step(now, m)
		if !slices.ContainsFunc(actions, func(action admission.Action) bool { return isReplyTo(action, m.ID) }) {
			releaseAnswer(m.Answer)
		}
		a.perform(ctx, actions)
	case admission.Message:
		a.perform(ctx, a.core.Step(now, m))
	}
}

// isReplyTo reports whether an action delivers an answer to the request with the given ID. The core delivers the answer of the
// attempt that has just finished or none.
func isReplyTo(action admission.Action, id admission.LocalRequestID) bool {
	r, ok := action.(admission.Reply)
	return ok && r.ID == id
}

// releaseAnswer gives the memory of an answer that no caller gets back.
func releaseAnswer(a any) {
	if answer, ok := a.(forward.Answer); ok {
		answer.Release()
	}
}

// recordKey notes the key of a request for the next report to the coordinator.
func (a *admissionDuty) recordKey(p *pending) {
	for _, part := range p.arrival.Route.Backends {
		if len(a.keys[part.Service]) < maxReportedKeys {
			a.keys[part.Service] = append(a.keys[part.Service], p.arrival.Key)
		}
	}
}

// closeRemovedHosts closes the connections to targets that are no longer listed.
func (a *admissionDuty) closeRemovedHosts(m admission.Targets) {
	present := make(map[hostKey]bool, len(m.Targets))
	for _, t := range m.Targets {
		present[hostKey{target: t.Target, incarnation: t.Incarnation, address: t.Address}] = true
	}
	for k, h := range a.hosts {
		if !present[k] {
			h.Close()
			delete(a.hosts, k)
		}
	}
}

// perform executes the actions of the core, and those that follow from attempts for which the senders have no room.
func (a *admissionDuty) perform(ctx context.Context, actions []admission.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch m := action.(type) {
		case admission.Send:
			if !a.send(ctx, m) {
				notRun := admission.AttemptFinished{ID: m.ID, Attempt: m.Attempt, Result: admission.ResultNotRun}
				actions = append(actions, a.core.Step(telemetry.Now(), notRun)...)
			}
		case admission.Abort:
			if f := a.flights[m.ID]; f != nil && f.cancel != nil {
				f.cancel()
			}
		case admission.Reply:
			a.respond(m.ID, m)
		case admission.Refuse:
			a.respond(m.ID, m)
		case admission.Fail:
			a.respond(m.ID, m)
		case admission.Note:
			a.log.LogDecision(telemetry.Decision{Kind: "note", RequestID: a.requestID(m.ID), Target: string(m.Target), Reason: m.Reason})
		}
	}
}

func (a *admissionDuty) requestID(id admission.LocalRequestID) string {
	if f := a.flights[id]; f != nil {
		return string(f.pending.call.ID)
	}
	return ""
}

// send queues an attempt for the senders. It returns false if their ring is full.
func (a *admissionDuty) send(ctx context.Context, m admission.Send) bool {
	f := a.flights[m.ID]
	if f == nil {
		return false
	}
	key := hostKey{target: m.Target.Target, incarnation: m.Target.Incarnation, address: m.Target.Address}
	host := a.hosts[key]
	if host == nil {
		host = platform.NewHost(m.Target.Address, maxIdleConnections, a.bodies, a.idle)
		a.hosts[key] = host
	}
	left := m.Deadline.Sub(telemetry.Now())
	attemptCtx, cancel := context.WithTimeout(ctx, left)
	f.cancel = cancel
	a.log.LogDecision(telemetry.Decision{
		Kind: "send", RequestID: string(f.pending.call.ID), Service: string(m.Target.Service), Target: string(m.Target.Target),
		Reason: m.Reason, Outcome: left.Round(time.Millisecond).String(),
	})
	next := attempt{ctx: attemptCtx, cancel: cancel, send: m, host: host, call: f.pending.call, body: f.pending.body}
	if err := a.attempts.TryPut(next); err != nil {
		cancel()
		return false
	}
	return true
}

// respond passes the final action of a request to the waiting frontend, which logs it, and forgets the request.
func (a *admissionDuty) respond(id admission.LocalRequestID, action admission.Action) {
	f := a.flights[id]
	if f == nil {
		if r, ok := action.(admission.Reply); ok {
			releaseAnswer(r.Answer)
		}
		return
	}
	delete(a.flights, id)
	// The channel has room: a request has one final action.
	f.pending.reply <- response{action: action}
}

// report sends the load to the VMs of the data centre when it has changed or reportRefresh has passed, and the collected
// keys and samples to the coordinator.
func (a *admissionDuty) report(now time.Time) {
	if since := now.Sub(a.reportedAt); since >= a.reportInterval() && (since >= reportRefresh || a.core.ReportPending()) {
		a.reportedAt = now
		load := a.core.Report()
		a.coordinatorSamples = append(a.coordinatorSamples, load.Samples...)
		a.queueReport(report{to: toDataCentre, load: &load})
	}
	if now.Sub(a.coordinatorReportedAt) >= a.coordinatorReportInterval() && a.coordinatorReportPending() {
		a.coordinatorReportedAt = now
		a.queueReport(report{to: toCoordinator, keys: a.keys, coordinatorSamples: a.coordinatorSamples})
		a.keys = make(map[types.Service][]keyspace.Key)
		a.coordinatorSamples = nil
	}
}

// coordinatorReportPending reports whether there are keys or samples for the coordinator.
func (a *admissionDuty) coordinatorReportPending() bool {
	return len(a.keys) > 0 || len(a.coordinatorSamples) > 0
}

// reportInterval is the shortest time between two load reports, coordinatorReportInterval the same for reports to the
// coordinator. Both grow with the number of VMs, so that the total work of receivers doesn't grow with its square.
func (a *admissionDuty) reportInterval() time.Duration {
	return reportInterval * time.Duration(max(1, a.vmCount/fullRateVMs))
}

func (a *admissionDuty) coordinatorReportInterval() time.Duration {
	return coordinatorReportInterval * time.Duration(max(1, a.vmCount/coordinatorFullRateVMs))
}

// queueReport passes a report to the peer sender. A full ring drops its oldest report.
func (a *admissionDuty) queueReport(r report) {
	if err := a.peers.Replace(r); err != nil {
		a.log.Warn("report to the other VMs not queued", log.Fields{"error": err.Error()})
	}
}
