package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// OrderCount is the number of orders in a full run.
const OrderCount = 100_000

// Settings of the order measurement.
const (
	orderTargets     = 8
	orderSlots       = 4
	orderServiceTime = 20 * time.Millisecond
	orderLoad        = 0.5 // share of the capacity
	orderTimeout     = 2 * time.Second
	orderResends     = 4                      // per order, at most
	resendDelay      = 500 * time.Millisecond // from a failed attempt to the resend
	faultInterval    = 500 * time.Millisecond // between crashes or freezes of targets
	crashOutage      = 300 * time.Millisecond // until a crashed target restarts
	freezeTime       = time.Second
	lossInterval     = 30 * time.Second // that a dispatcher serves before it is lost
	// takeoverTime is the time without a lease holder: permit and margin of the ownership protocol.
	takeoverTime = 600 * time.Millisecond
	// copyShare is the share of copied entries that the next dispatcher has received.
	copyShare = 0.9
)

// Orders is the result of one variant of the order measurement: the outcomes of non-idempotent requests under crashes,
// freezes, dispatcher losses and resends.
type Orders struct {
	// Variant names the policy and whether dispatchers are lost.
	Variant string
	Orders  int
	// Doubled is the number of orders that ran more than once. The goal is 0.
	Doubled int
	// Lost is the number of orders reported as done that never ran. The goal is 0.
	Lost int
	// FalseNotRun is the number of orders reported as not run that did run. The goal is 0.
	FalseNotRun int
	// Done, NotRun and Unknown are the shares of the final outcomes. UnknownNotRun is the share of orders with outcome
	// unknown that never ran.
	Done, NotRun, Unknown, UnknownNotRun float64
	// Crashes, Freezes, DispatcherLosses and Resends count the injected faults and the callers' resends.
	Crashes, Freezes, DispatcherLosses, Resends int
}

// String returns one line for a report.
func (r Orders) String() string {
	return fmt.Sprintf("orders %-27s %d orders: doubled %d, lost %d, untrue not-run %d; done %.2f%%, not-run %.2f%%, "+
		"unknown %.2f%% (never ran: %.2f%%); %d crashes, %d freezes, %d dispatcher losses, %d resends",
		r.Variant, r.Orders, r.Doubled, r.Lost, r.FalseNotRun, 100*r.Done, 100*r.NotRun, 100*r.Unknown, 100*r.UnknownNotRun,
		r.Crashes, r.Freezes, r.DispatcherLosses, r.Resends)
}

// MeasureOrders compares the core with a dispatcher that has no deduplication table. The share of unknown outcomes
// depends on how often the dispatcher is lost, so there is also a run without losses.
func MeasureOrders(source Source, seed uint64, orders int) []Orders {
	core := orderVariant{name: "dispatch core", useCore: true, losses: true}
	noLosses := orderVariant{name: "dispatch core, never lost", useCore: true}
	baseline := orderVariant{name: "baseline without dedup", losses: true}
	var results []Orders
	for _, v := range []orderVariant{core, noLosses, baseline} {
		results = append(results, runOrders(source(seed), v, orders))
	}
	return results
}

// orderVariant is a policy with or without dispatcher losses.
type orderVariant struct {
	name string
	// useCore runs the dispatch core instead of the baseline.
	useCore bool
	// losses replaces the dispatcher every lossInterval.
	losses bool
}

// order is the state of one order at its caller.
type order struct {
	request  dispatch.Request
	attempts int           // times the caller sent the order
	runs     int           // times a target started to run the order
	outcome  types.Outcome // of the latest attempt
	finished bool          // the caller sends no more attempts
}

// orderRun is the state of one run of the order measurement.
type orderRun struct {
	fleet
	*sim
	useCore    bool
	core       *corePolicy       // policy of the current dispatcher, nil in the baseline
	copies     []dispatch.Action // copied entries of all dispatchers so far
	epoch      types.Epoch       // lease epoch of the current dispatcher
	lastHandle dispatch.Handle
	orders     []*order
	byHandle   map[dispatch.Handle]*order // one handle per attempt
	result     Orders
	loadEnd    types.Instant // end of the load and of the faults
}

func runOrders(random dispatch.Random, v orderVariant, count int) Orders {
	r := &orderRun{
		fleet: fleet{
			service: "objednavky", targets: orderTargets, slots: orderSlots, meanServiceTime: orderServiceTime,
			coldStart: time.Second, queueLimit: 256,
		},
		useCore: v.useCore, byHandle: map[dispatch.Handle]*order{}, result: Orders{Variant: v.name, Orders: count},
	}
	r.sim = r.buildSim(random)
	r.sim.continueAbandoned = true // the worst case: a request that timed out may still run
	r.sim.onReply = r.handleReply
	r.sim.onRun = func(h dispatch.Handle) { r.byHandle[h].runs++ }
	r.start()
	r.runFor(time.Second) // until the dispatcher can rule out that a predecessor sent a new identifier
	rate := orderLoad * r.capacity()
	length := time.Duration(float64(count) / rate * float64(time.Second))
	r.loadEnd = r.now.Add(length)
	r.poisson(count, rate, r.arrive)
	r.after(faultInterval, r.injectFault)
	if v.losses {
		r.after(lossInterval, r.loseDispatcher)
	}
	r.runFor(length + time.Minute)
	return r.summary()
}

// start starts a new dispatcher, which receives copyShare of its predecessor's copied entries.
func (r *orderRun) start() {
	r.epoch++
	if !r.useCore {
		r.policy = newFIFOPolicy(r.sim, false)
		return
	}
	r.core = newCorePolicy(r.sim, r.configuration())
	r.core.onCopy = func(a dispatch.Action) { r.copies = append(r.copies, a) }
	r.policy = r.core
	for _, a := range r.copies {
		if r.uniform() <= copyShare {
			r.core.step(dispatch.Message{Kind: dispatch.MessageCopyStored, Handle: a.Handle, Entry: a.Entry})
		}
	}
	r.core.acquireLeases(r.epoch, true)
}

// arrive creates an order and sends it.
func (r *orderRun) arrive() {
	n := len(r.orders)
	o := &order{request: dispatch.Request{
		ID: types.RequestID(fmt.Sprint(n)), Caller: types.Caller(rune('a' + r.intn(20))), Target: r.targetID(r.intn(orderTargets)),
		Class: types.ClassOrder, MintedMs: r.wallMs(), Fingerprint: dispatch.Fingerprint(n + 1),
	}}
	r.orders = append(r.orders, o)
	r.attempt(o)
}

// attempt sends an order, and schedules a resend for when no answer has arrived.
func (r *orderRun) attempt(o *order) {
	o.attempts++
	r.lastHandle++
	h := r.lastHandle
	r.byHandle[h] = o
	q := o.request
	q.Deadline, q.WallMs, q.LeaseEpoch = r.now.Add(orderTimeout), r.wallMs(), r.epoch
	attempt := o.attempts
	r.after(orderTimeout+100*time.Millisecond, func() {
		if !o.finished && o.attempts == attempt {
			o.outcome = types.OutcomeUnknown
			r.resendLater(o)
		}
	})
	r.policy.request(h, q)
}

// resendLater schedules a resend of the order, up to orderResends times.
func (r *orderRun) resendLater(o *order) {
	if o.attempts > orderResends {
		o.finished = true
		return
	}
	r.result.Resends++
	attempt := o.attempts
	r.after(resendDelay, func() {
		if !o.finished && o.attempts == attempt {
			r.attempt(o)
		}
	})
}

// handleReply finishes an order that is done, and resends it otherwise.
func (r *orderRun) handleReply(a dispatch.Action) {
	o := r.byHandle[a.Handle]
	if o.finished {
		return
	}
	o.outcome = a.Outcome
	if a.Outcome == types.OutcomeDone {
		o.finished = true
		return
	}
	r.resendLater(o)
}

// injectFault crashes or freezes a random target, and schedules the next fault.
func (r *orderRun) injectFault() {
	if r.now > r.loadEnd {
		return
	}
	t := r.sim.targets[r.targetID(r.intn(orderTargets))]
	if r.intn(2) == 0 {
		r.result.Crashes++
		t.crash(r.sim, crashOutage)
	} else {
		r.result.Freezes++
		t.frozenUntil = r.now.Add(freezeTime)
	}
	r.after(faultInterval, r.injectFault)
}

// noDispatcher is the policy while no dispatcher holds the leases. It ignores all requests.
type noDispatcher struct{}

func (noDispatcher) request(dispatch.Handle, dispatch.Request) {}
func (noDispatcher) result(dispatch.Handle, dispatch.Result)   {}
func (noDispatcher) tick()                                     {}
func (noDispatcher) wake() (types.Instant, bool)               { return 0, false }

// loseDispatcher stops the dispatcher and starts a new one after takeoverTime. The targets continue with requests that
// were sent, but their results are lost.
func (r *orderRun) loseDispatcher() {
	if r.now > r.loadEnd {
		return
	}
	r.result.DispatcherLosses++
	if r.core != nil {
		r.core.lost = true
	}
	r.policy = noDispatcher{}
	clear(r.inFlight)
	r.after(takeoverTime, func() {
		r.start()
		r.after(lossInterval, r.loseDispatcher)
	})
}

// summary computes the result from the final state of all orders.
func (r *orderRun) summary() Orders {
	total := float64(len(r.orders))
	for _, o := range r.orders {
		if o.runs > 1 {
			r.result.Doubled++
		}
		switch o.outcome {
		case types.OutcomeDone:
			r.result.Done += 1 / total
			if o.runs == 0 {
				r.result.Lost++
			}
		case types.OutcomeNotRun:
			r.result.NotRun += 1 / total
			if o.runs > 0 {
				r.result.FalseNotRun++
			}
		default:
			r.result.Unknown += 1 / total
			if o.runs == 0 {
				r.result.UnknownNotRun += 1 / total
			}
		}
	}
	return r.result
}
