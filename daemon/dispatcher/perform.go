package dispatcher

import (
	"context"
	"fmt"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// perform carries out the actions of the last step. Results that are known at once are applied after all actions.
func (w *worker) perform(ctx context.Context) {
	for i := range w.actions {
		w.performAction(ctx, &w.actions[i])
	}
	for len(w.failedSends) > 0 {
		next := w.failedSends[0]
		w.failedSends = w.failedSends[1:]
		w.applyResult(ctx, next)
	}
	for len(w.failedCopies) > 0 {
		handle := w.failedCopies[0]
		w.failedCopies = w.failedCopies[1:]
		w.step(ctx, dispatch.Message{Kind: dispatch.MessageCopyDone, Handle: handle})
	}
}

func (w *worker) performAction(ctx context.Context, a *dispatch.Action) {
	switch a.Kind {
	case dispatch.ActionSend:
		w.sendAttempt(ctx, a)
	case dispatch.ActionCancelSend:
		w.cancelSend(a)
	case dispatch.ActionReply:
		w.reply(a)
	case dispatch.ActionStoreCopy:
		w.sendCopy(a)
	case dispatch.ActionForget:
		w.payloads.remove(a.Handle)
	case dispatch.ActionAnnounceQuarantine:
		w.announceQuarantine(a)
	case dispatch.ActionCloseConnection:
		w.closeConnection(a)
	case dispatch.ActionReportTarget:
		w.publishCondition(a)
	case dispatch.ActionDecision:
		w.logDecision(a)
	}
}

// sendAttempt queues an attempt for the sender of its connection. An attempt that cannot be queued counts as not
// started.
func (w *worker) sendAttempt(ctx context.Context, a *dispatch.Action) {
	p, ok := w.payloads.byHandle[a.Handle]
	if !ok || p.request == nil {
		return
	}
	w.sendCounts[a.Target]++
	if w.keyed[a.Target.Service] {
		w.meter.count(a.Target, p.request)
	}
	sendCtx, cancel := context.WithCancel(ctx)
	if p.cancels == nil {
		p.cancels = make(map[dispatch.Attempt]context.CancelFunc, 1)
	}
	p.cancels[a.Attempt] = cancel
	err := w.senderFor(ctx, a).in.TryPut(sendAttempt{
		ctx:           sendCtx,
		handle:        a.Handle,
		attempt:       a.Attempt,
		newConnection: a.NewConnection,
		deadline:      a.Deadline,
		validUntil:    a.ValidUntil,
		epoch:         a.Epoch,
		request:       p.request,
	})
	if err != nil {
		w.failedSends = append(w.failedSends, sendResult{handle: a.Handle, result: dispatch.Result{
			Attempt:    a.Attempt,
			Connection: a.Connection,
			Kind:       dispatch.ResultNotStarted,
			Load:       dispatch.LoadUnknown,
		}})
	}
}

// senderFor returns the sender of a connection. It starts the sender's duty on first use.
func (w *worker) senderFor(ctx context.Context, a *dispatch.Action) *sender {
	key := connectionKey{target: a.Target, connection: a.Connection}
	if s, ok := w.senders[key]; ok {
		return s
	}
	client := w.connect(w.addresses[a.Target])
	s := newSender(a.Target, a.Connection, client, w.results)
	w.metrics.Ring(s.name, s.in)
	_ = w.group.Launch(context.WithoutCancel(ctx), s.duty())
	w.senders[key] = s
	return s
}

// connectHTTP returns a client that connects on its first call.
func (w *worker) connectHTTP(address string) target.Client {
	return target.NewHTTP(target.Options{Address: address, Budget: w.answerBudget})
}

func (w *worker) cancelSend(a *dispatch.Action) {
	p, ok := w.payloads.byHandle[a.Handle]
	if !ok {
		return
	}
	if cancel, ok := p.cancels[a.Attempt]; ok {
		cancel()
	}
}

func (w *worker) closeConnection(a *dispatch.Action) {
	if s, ok := w.senders[connectionKey{target: a.Target, connection: a.Connection}]; ok {
		_ = s.in.TryPut(sendAttempt{})
	}
}

func (w *worker) reply(a *dispatch.Action) {
	p, ok := w.payloads.byHandle[a.Handle]
	if !ok || p.reply == nil {
		return
	}
	out := peer.DoAnswer{Outcome: a.Outcome}
	stored := w.payloads.byHandle[a.Replay]
	if a.Outcome == types.OutcomeDone && stored != nil && stored.targetResponse != nil {
		out.Status = stored.targetResponse.status
		out.Header = stored.targetResponse.header
		out.Body = stored.targetResponse.body
		out.Replayed = a.Replay != a.Handle
	} else {
		out.Failure = peer.Failure{Code: a.Code, Message: failureMessage(a.Code)}
	}
	p.reply <- out
	p.reply = nil
	if w.activeRequests[requestKeyOf(p.request)] == a.Handle {
		delete(w.activeRequests, requestKeyOf(p.request))
	}
	if a.Outcome == types.OutcomeDone {
		p.dropContent()
		w.payloads.resize(p)
	}
}

func (w *worker) publishCondition(a *dispatch.Action) {
	w.metrics.Counter(fmt.Sprintf("sail_target_conditions_total{service=%q,condition=%q}", a.Target.Service, a.Condition)).Inc()
	w.log.LogDecision(telemetry.Decision{
		Kind:    "target-condition",
		Service: string(a.Target.Service),
		Target:  string(a.Target.Target),
		Reason:  a.Condition.String(),
	})
	w.recordCondition(a.Target, a.Condition)
	w.reportCondition(a.Target, a.Condition)
}

func (w *worker) logDecision(a *dispatch.Action) {
	w.log.LogDecision(telemetry.Decision{
		Kind:      "dispatch",
		RequestID: string(a.ID),
		Service:   string(a.Target.Service),
		Target:    string(a.Target.Target),
		KeyHash:   uint64(a.Key),
		Epoch:     uint64(a.Epoch),
		Reason:    a.Reason.String(),
		Outcome:   a.Outcome.String(),
		Code:      string(a.Code),
	})
}
