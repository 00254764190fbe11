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

// orderer performs batches of grants and releases, one call at a time.
type orderer struct {
	index    int
	in       *ring.Ring[orderJob]
	out      *ring.Ring[any]
	settings keyspace.Settings
	log      *telemetry.Log
}

func (o *orderer) duty() duty.Duty {
	return duty.Duty{Name: "order-" + strconv.Itoa(o.index), Run: o.run}
}

func (o *orderer) run(ctx context.Context) error {
	o.in.Serve(ctx, func(j orderJob) error { return o.perform(ctx, j) })
	return nil
}

// perform sends the calls of a batch. After one that was not answered the others are not sent.
func (o *orderer) perform(ctx context.Context, j orderJob) error {
	broken := false
	for i, c := range j.batch.Calls {
		done := orderDone{service: j.service, called: keyspace.CallCompleted{Call: c, Result: keyspace.CallNotSent}}
		if !broken {
			done = o.call(ctx, j, c)
		}
		broken = done.called.Result == keyspace.CallNotSent || done.called.Result == keyspace.CallUnanswered
		done.last = i == len(j.batch.Calls)-1
		if err := o.out.Put(ctx, done); err != nil {
			return err
		}
	}
	return nil
}

// call performs one call unless the role of the keeper has ended meanwhile, which also holds after a pause of the VM.
func (o *orderer) call(ctx context.Context, j orderJob, c keyspace.Call) orderDone {
	done := orderDone{service: j.service, called: keyspace.CallCompleted{Call: c, Result: keyspace.CallNotSent}}
	if j.host == nil || !telemetry.Now().Before(j.until) {
		return done
	}
	timeout := o.settings.CallTimeout
	if c.Kind == keyspace.CallRelease {
		timeout = o.settings.ReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	called, err := platform.Order(ctx, j.host, c)
	done.called = called
	if err != nil || called.Result != keyspace.CallDone || c.Kind == keyspace.CallRelease {
		o.explain(j, c, called, err)
	}
	return done
}

func (o *orderer) explain(j orderJob, c keyspace.Call, called keyspace.CallCompleted, err error) {
	fields := log.Fields{
		"service": j.service, "target": c.Owner.Target, "from": c.From, "to": c.To, "fence": c.Fence,
		"release": c.Kind == keyspace.CallRelease, "result": callResults[called.Result],
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.log.Info("order", fields)
}

var callResults = map[keyspace.CallResult]string{
	keyspace.CallUnanswered: "no answer", keyspace.CallNotSent: "not sent", keyspace.CallDone: "done",
	keyspace.CallFenceTooLow: "higher fence seen", keyspace.CallRefused: "invalid",
	keyspace.CallConnectionLost: "connection of the grant gone", keyspace.CallWrongTarget: "another target has the address",
}
