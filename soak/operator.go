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
	// storeRetry is how long a write to the store that failed waits for the next try.
	storeRetry = 200 * time.Millisecond
	// storeCall bounds a call of the operator to the store.
	storeCall = time.Second
	// entryLife is how long the entry of a target that is gone stays in the store.
	entryLife = 2600 * time.Millisecond
	// startTime is how long a VM counts as harmed after its process was started.
	startTime = 2 * time.Second
	// leaveTime is how long a target goes on serving after the store has accepted that it leaves.
	leaveTime = check.DrainTime + 300*time.Millisecond
	// recoverTime bounds the time to recovery after the last fault, as the users' rules do.
	recoverTime = 15 * time.Second
	// readyTime bounds the start of all VMs.
	readyTime = 20 * time.Second
	// longestDelay is the longest delay of a link that is slow.
	longestDelay = 250 * time.Millisecond
	// slowestStore is the longest delay of a slow store.
	slowestStore = 600 * time.Millisecond
	// mostLost is the largest number of answers that the store loses at a time.
	mostLost = 5
)

// step is something to do at a time.
type step struct {
	at   time.Time
	name string
	do   func(context.Context) error
}

// operator performs the faults. It owns the targets, the store's faults and the configuration.
type operator struct {
	faults     []plan.Fault
	vms        []*vm
	storeLinks []*link.Link
	doors      []*link.Link
	places     []*place
	store      *backend.Server
	client     store.Store
	events     *ring.Ring[any]
	rotation   *rotation
	note       func(format string, args ...any)
	// done gets one element when the run is over.
	done *ring.Ring[outcome]

	steps   []step
	present backend.Faults
	moved   bool
	version uint32
	names   int
}

// outcome is how a run ended. Err is a fault of the soak itself.
type outcome struct {
	recovery time.Duration
	broken   []check.Violation
	err      error
}

func (o *operator) duty() duty.Duty { return duty.Duty{Name: "operator", Run: o.run} }

func (o *operator) run(ctx context.Context) error {
	result := outcome{}
	result.err = o.prepare(ctx)
	if result.err == nil {
		result.err = o.disturb(ctx)
	}
	if result.err == nil {
		o.recover(ctx, &result)
	}
	for _, p := range o.places {
		p.end(ctx)
	}
	return o.done.Put(ctx, result)
}

// prepare writes the configuration, starts the targets and waits for the VMs.
func (o *operator) prepare(ctx context.Context) error {
	if err := o.configure(ctx); err != nil {
		return err
	}
	for _, p := range o.places {
		if err := o.start(ctx, p, o.name()); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTime); !o.rotation.allOpen(); duty.Pause(ctx, storeRetry) {
		if ctx.Err() != nil || time.Now().After(end) {
			return types.NewFault(types.CodeTimeout, "the VMs are not ready after %v", readyTime)
		}
	}
	return nil
}

func (o *operator) name() types.Target {
	o.names++
	return types.Target(fmt.Sprintf("t-%d", o.names))
}

func (o *operator) start(ctx context.Context, p *place, id types.Target) error {
	if err := p.begin(ctx, id); err != nil {
		return err
	}
	o.later(0, "register", func(ctx context.Context) error {
		if p.group == nil || p.settings.Target != id {
			return nil
		}
		return o.change(ctx, p.entry(false))
	})
	return o.runDue(ctx)
}

// later plans a step. One that fails because the store is away is tried again.
func (o *operator) later(d time.Duration, name string, do func(context.Context) error) {
	o.steps = append(o.steps, step{at: time.Now().Add(d), name: name, do: do})
	slices.SortStableFunc(o.steps, func(a, b step) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}

func (o *operator) runDue(ctx context.Context) error {
	for len(o.steps) > 0 && !time.Now().Before(o.steps[0].at) {
		s := o.steps[0]
		o.steps = o.steps[1:]
		err := s.do(ctx)
		if err != nil && ctx.Err() == nil {
			if !storeAway(err) {
				return err
			}
			o.later(storeRetry, s.name, s.do)
		}
	}
	return nil
}

func storeAway(err error) bool {
	switch types.CodeOf(err) {
	case types.CodeStoreUnavailable, types.CodeAnswerLost, types.CodeConflict, types.CodeCancelled:
		return true
	}
	return false
}

// change applies a write over whatever the key holds.
func (o *operator) change(ctx context.Context, w store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	return standin.Replace(ctx, o.client, w)
}

// disturb performs the faults of the plan.
func (o *operator) disturb(ctx context.Context) error {
	for _, f := range o.faults {
		o.later(f.At, string(f.Kind), func(ctx context.Context) error {
			o.note("fault %s place %d for %v amount %.2f", f.Kind, f.Place, f.For, f.Amount)
			return o.perform(ctx, f)
		})
	}
	for len(o.steps) > 0 && ctx.Err() == nil {
		duty.Pause(ctx, time.Until(o.steps[0].at))
		if err := o.runDue(ctx); err != nil {
			return err
		}
	}
	return nil
}

// recover waits until requests are served again. All faults are over then.
func (o *operator) recover(ctx context.Context, result *outcome) {
	began := time.Now()
	for ctx.Err() == nil {
		duty.Pause(ctx, storeRetry)
		if time.Since(began) < recoveryWindow {
			continue
		}
		ask := recovered{since: time.Now().Add(-recoveryWindow), reply: make(chan bool, 1)}
		if o.events.Put(ctx, ask) != nil {
			return
		}
		result.recovery = time.Since(began) - recoveryWindow
		if <-ask.reply {
			return
		}
		if result.recovery > recoverTime {
			result.broken = append(result.broken, check.Violation{
				Rule: "RECOVER", Text: fmt.Sprintf("less than %v of the requests are served %v after the last fault", recoveredShare, recoverTime),
			})
			return
		}
	}
}

// trouble tells the judge what is harmed.
func (o *operator) trouble(ctx context.Context, t check.Trouble, d time.Duration) {
	t.At = time.Now()
	t.Until = t.At.Add(d)
	_ = o.events.Put(ctx, t)
}
