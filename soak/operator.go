package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/soak/link"
	"sequoiasail.example/soak/plan"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// storeRetryInterval is the delay before a failed write to the store is retried.
	storeRetryInterval = 200 * time.Millisecond
	// storeTimeout bounds each store call of the operator.
	storeTimeout = time.Second
	// entryTTL is how long the entry of a crashed target stays in the store before the operator removes it. It stays if
	// the same target starts again.
	entryTTL = 2600 * time.Millisecond
	// vmStartTime is how long a VM counts as affected by a fault after its process was started.
	vmStartTime = 2 * time.Second
	// drainTime is how long a target goes on serving after the store has accepted that it drains.
	drainTime = check.DrainTime + 300*time.Millisecond
	// maxRecoveryTime bounds the time to recovery after the last fault. The users require this bound.
	maxRecoveryTime = 15 * time.Second
	// maxStartTime bounds the time until all VMs are ready.
	maxStartTime = 20 * time.Second
	// maxLinkDelay is the longest delay of a slow link.
	maxLinkDelay = 250 * time.Millisecond
	// maxStoreDelay is the longest delay of a slow store.
	maxStoreDelay = 600 * time.Millisecond
	// maxLostAnswers is the largest number of answers that the store loses per fault.
	maxLostAnswers = 5
)

// scheduledStep is an action of the operator that is due at a time.
type scheduledStep struct {
	at   time.Time
	name string
	do   func(context.Context) error
}

// operator injects the faults. It owns the targets, the faults of the store and the configuration.
type operator struct {
	faults      []plan.Fault
	vms         []*vm
	storeLinks  []*link.Link
	callerLinks []*link.Link
	// crowds holds the crowd of each VM in runs with crowds.
	crowds    []*crowd
	endpoints []*endpoint
	store     *backend.Server
	client    store.Store
	events    *ring.Ring[any]
	rotation  *rotation
	logf      func(format string, args ...any)
	// done receives one element when the run is over.
	done *ring.Ring[outcome]

	steps       []scheduledStep
	storeFaults backend.Faults
	// routeMoved is true while route move goes to the spare service.
	routeMoved bool
	// requestTimeout is the timeout of all routes.
	requestTimeout time.Duration
	configVersion  uint32
	// targetCount numbers the targets that were started under a new name.
	targetCount int
}

// outcome is the result of a run. err is set if the soak itself failed.
type outcome struct {
	recovery   time.Duration
	violations []check.Violation
	err        error
}

func (o *operator) duty() duty.Duty { return duty.Duty{Name: "operator", Run: o.run} }

func (o *operator) run(ctx context.Context) error {
	result := outcome{}
	result.err = o.setUp(ctx)
	if result.err == nil {
		result.err = o.injectFaults(ctx)
	}
	if result.err == nil {
		o.recover(ctx, &result)
	}
	for _, e := range o.endpoints {
		e.stop(ctx)
	}
	return o.done.Put(ctx, result)
}

// setUp writes the configuration, starts the targets and waits until all VMs are ready.
func (o *operator) setUp(ctx context.Context) error {
	if err := o.writeConfiguration(ctx); err != nil {
		return err
	}
	for _, e := range o.endpoints {
		if err := o.startTarget(ctx, e, o.newTargetID()); err != nil {
			return err
		}
	}
	for end := time.Now().Add(maxStartTime); !o.rotation.allInRotation(); duty.Pause(ctx, storeRetryInterval) {
		if ctx.Err() != nil || time.Now().After(end) {
			return types.NewFault(types.CodeTimeout, "VMs are not ready after %v", maxStartTime)
		}
	}
	return nil
}

func (o *operator) newTargetID() types.Target {
	o.targetCount++
	return types.Target(fmt.Sprintf("t-%d", o.targetCount))
}

// startTarget starts a target at an endpoint and registers it in the store.
func (o *operator) startTarget(ctx context.Context, e *endpoint, id types.Target) error {
	if err := e.start(ctx, id); err != nil {
		return err
	}
	o.schedule(0, "register", func(ctx context.Context) error {
		if e.group == nil || e.settings.Target != id {
			return nil
		}
		return o.writeStore(ctx, e.registration(false))
	})
	return o.runDueSteps(ctx)
}

// schedule adds a step that is due after d. A step that fails with a retryable store error is retried.
func (o *operator) schedule(d time.Duration, name string, do func(context.Context) error) {
	o.steps = append(o.steps, scheduledStep{at: time.Now().Add(d), name: name, do: do})
	slices.SortStableFunc(o.steps, func(a, b scheduledStep) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}

// runDueSteps performs the steps that are due.
func (o *operator) runDueSteps(ctx context.Context) error {
	for len(o.steps) > 0 && !time.Now().Before(o.steps[0].at) {
		s := o.steps[0]
		o.steps = o.steps[1:]
		err := s.do(ctx)
		if err != nil && ctx.Err() == nil {
			if !storeRetryable(err) {
				return err
			}
			o.schedule(storeRetryInterval, s.name, s.do)
		}
	}
	return nil
}

// storeRetryable reports whether a store call that failed with err may succeed later.
func storeRetryable(err error) bool {
	switch types.CodeOf(err) {
	case types.CodeStoreUnavailable, types.CodeAnswerLost, types.CodeConflict, types.CodeCancelled:
		return true
	}
	return false
}

// writeStore performs a write whatever revision the key has.
func (o *operator) writeStore(ctx context.Context, w store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return standin.Replace(ctx, o.client, w)
}

// injectFaults injects the planned faults and clears them when they are over.
func (o *operator) injectFaults(ctx context.Context) error {
	for _, f := range o.faults {
		o.schedule(f.At, string(f.Kind), func(ctx context.Context) error {
			o.logf("fault %s index %d for %v intensity %.2f", f.Kind, f.Index, f.Duration, f.Intensity)
			return o.inject(ctx, f)
		})
	}
	for len(o.steps) > 0 && ctx.Err() == nil {
		duty.Pause(ctx, time.Until(o.steps[0].at))
		if err := o.runDueSteps(ctx); err != nil {
			return err
		}
	}
	return nil
}

// recover waits until requests succeed again. All faults are over by then.
func (o *operator) recover(ctx context.Context, result *outcome) {
	faultsEnded := time.Now()
	for ctx.Err() == nil {
		duty.Pause(ctx, storeRetryInterval)
		if time.Since(faultsEnded) < recoveryWindow {
			continue
		}
		query := recoveryQuery{since: time.Now().Add(-recoveryWindow), reply: make(chan bool, 1)}
		if o.events.Put(ctx, query) != nil {
			return
		}
		result.recovery = time.Since(faultsEnded) - recoveryWindow
		if <-query.reply {
			return
		}
		if result.recovery > maxRecoveryTime {
			result.violations = append(result.violations, check.Violation{
				Rule: "RECOVER", Text: fmt.Sprintf("less than %v of the requests succeed %v after the last fault", minRecoveredShare, maxRecoveryTime),
			})
			return
		}
	}
}

// reportFault reports to the checker what a fault affects, from now until d has passed.
func (o *operator) reportFault(ctx context.Context, f check.FaultInterval, d time.Duration) {
	f.At = time.Now()
	f.Until = f.At.Add(d)
	_ = o.events.Put(ctx, f)
}
