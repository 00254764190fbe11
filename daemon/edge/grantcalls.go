package edge

import (
	"context"
	"strconv"

	"github.com/apex/log"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
)

// grantCaller sends batches of grant and release calls to targets, one call at a time.
type grantCaller struct {
	index    int
	in       *ring.Ring[callBatch]
	out      *ring.Ring[any]
	settings keyspace.Settings
	log      *telemetry.Log
}

func (g *grantCaller) duty() duty.Duty {
	return duty.Duty{Name: "order-" + strconv.Itoa(g.index), Run: g.run}
}

func (g *grantCaller) run(ctx context.Context) error {
	g.in.Serve(ctx, func(b callBatch) error { return g.perform(ctx, b) })
	return nil
}

// perform sends the calls of a batch in order. After a call that was not sent or not answered, the rest is not sent.
func (g *grantCaller) perform(ctx context.Context, b callBatch) error {
	unreachable := false
	for i, c := range b.batch.Calls {
		done := callDone{service: b.service, completed: keyspace.CallCompleted{Call: c, Result: keyspace.CallNotSent}}
		if !unreachable {
			done = g.call(ctx, b, c)
		}
		unreachable = done.completed.Result == keyspace.CallNotSent || done.completed.Result == keyspace.CallUnanswered
		done.last = i == len(b.batch.Calls)-1
		if err := g.out.Put(ctx, done); err != nil {
			return err
		}
	}
	return nil
}

// call performs one call, unless the coordinator role or the time for its sending has expired since it was queued. The check on
// the clock also covers a VM that was paused.
func (g *grantCaller) call(ctx context.Context, b callBatch, c keyspace.Call) callDone {
	done := callDone{service: b.service, completed: keyspace.CallCompleted{Call: c, Result: keyspace.CallNotSent}}
	now := telemetry.Now()
	if b.host == nil || !now.Before(b.roleEnd) || (c.SendBefore != 0 && !now.Before(c.SendBefore)) {
		return done
	}
	timeout := g.settings.CallTimeout
	if c.Kind == keyspace.CallRelease {
		timeout = g.settings.ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	completed, err := platform.Order(ctx, b.host, c)
	done.completed = completed
	if err != nil || completed.Result != keyspace.CallDone || !isRoutine(c) {
		g.logCall(b, c, completed, err)
	}
	return done
}

// isRoutine reports whether the confirmation of a call leaves the holders of keys as they were, so that it needs no log line.
func isRoutine(c keyspace.Call) bool { return c.Renewal || c.Kind == keyspace.CallProbe }

func (g *grantCaller) logCall(b callBatch, c keyspace.Call, completed keyspace.CallCompleted, err error) {
	fields := log.Fields{
		"service": b.service, "target": c.Owner.Target, "from": c.From, "to": c.To, "fence": c.Fence,
		"release": c.Kind == keyspace.CallRelease, "result": callResults[completed.Result],
	}
	if c.Kind == keyspace.CallGrant {
		fields["ttl"] = c.TTL.String()
	}
	if b.host != nil && b.host.OmitsID() {
		fields["unidentified"] = true
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.log.Info("order", fields)
}

// callResults are the texts of the results in the log.
var callResults = map[keyspace.CallResult]string{
	keyspace.CallUnanswered: "no answer", keyspace.CallNotSent: "not sent", keyspace.CallDone: "done",
	keyspace.CallFenceTooLow: "higher fence seen", keyspace.CallRefused: "invalid",
	keyspace.CallConnectionLost: "connection of the grant gone", keyspace.CallWrongTarget: "another target has the address",
}
