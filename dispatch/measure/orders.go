package measure

import (
	"fmt"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// OrderCount is the number of orders of a full run.
const OrderCount = 100_000

// Settings of the order measure.
const (
	orderTargets  = 8
	orderSlots    = 4
	orderService  = 20 * time.Millisecond
	orderLoad     = 0.5
	orderTimeout  = 2 * time.Second
	orderResends  = 4
	resendDelay   = 500 * time.Millisecond
	faultInterval = 500 * time.Millisecond
	crashOutage   = 300 * time.Millisecond
	freezeTime    = time.Second
	lossInterval  = 30 * time.Second
	// takeoverTime is permit and margin of the ownership protocol.
	takeoverTime = 600 * time.Millisecond
	// copyShare is the share of copies that the next dispatcher has received.
	copyShare = 0.9
)

// Orders is what became of non-idempotent requests under crashes, freezes, dispatcher losses and resends.
type Orders struct {
	Variant string
	Orders  int
	// Doubled is the number of orders that ran more than once. The goal is 0.
	Doubled int
	// Lost is the number of orders reported as done that never ran. The goal is 0.
	Lost int
	// Untrue is the number of orders reported as not run that did run. The goal is 0.
	Untrue int
	// Done, NotRun and Unknown are the shares of the final outcomes. UnknownNotRun is the share of orders with outcome
	// unknown that never ran.
	Done, NotRun, Unknown, UnknownNotRun float64
	// Crashes, Freezes, Losses and Resends count what happened.
	Crashes, Freezes, Losses, Resends int
}

// String returns one line for a report.
func (r Orders) String() string {
	return fmt.Sprintf("orders %-27s %d orders: doubled %d, lost %d, untrue not-run %d; done %.2f%%, not-run %.2f%%, "+
		"unknown %.2f%% (never ran: %.2f%%); %d crashes, %d freezes, %d dispatcher losses, %d resends",
		r.Variant, r.Orders, r.Doubled, r.Lost, r.Untrue, 100*r.Done, 100*r.NotRun, 100*r.Unknown, 100*r.UnknownNotRun,
		r.Crashes, r.Freezes, r.Losses, r.Resends)
}

// MeasureOrders compares the core with a dispatcher that has no deduplication table. The share unknown depends on how
// often the dispatcher is lost, so there is also a run without losses.
func MeasureOrders(source Source, seed uint64, orders int) []Orders {
	core := orderVariant{name: "dispatch core", useCore: true, losses: true}
	kept := orderVariant{name: "dispatch core, never lost", useCore: true}
	baseline := orderVariant{name: "baseline without memory", losses: true}
	var results []Orders
	for _, v := range []orderVariant{core, kept, baseline} {
		results = append(results, runOrders(source(seed), v, orders))
	}
	return results
}

type orderVariant struct {
	name string
	// useCore runs the product's core instead of the baseline.
	useCore bool
	// losses replaces the dispatcher every lossInterval.
	losses bool
}

// order is one order and its caller.
type order struct {
	request  dispatch.Request
	tries    int
	runs     int
	outcome  types.Outcome
	finished bool
}

// orderRun is the state of one run.
type orderRun struct {
	fleet
	*sim
	useCore bool
	core    *corePolicy
	copies  []dispatch.Action
	epoch   types.Epoch
	next    dispatch.Handle
	orders  []*order
	byTry   map[dispatch.Handle]*order
	result  Orders
	until   types.Instant // end of the load and of the faults
}

func runOrders(random dispatch.Random, v orderVariant, count int) Orders {
	r := &orderRun{
		fleet: fleet{
			service: "objednavky", targets: orderTargets, slots: orderSlots, mean: orderService,
			coldStart: time.Second, queueLimit: 256,
		},
		useCore: v.useCore, byTry: map[dispatch.Handle]*order{}, result: Orders{Variant: v.name, Orders: count},
	}
	r.sim = r.build(random)
	r.sim.stubborn = true // the worst case: what was given up may still run
	r.sim.onReply = r.replied
	r.sim.onRun = func(h dispatch.Handle) { r.byTry[h].runs++ }
	r.start()
	r.runFor(time.Second) // past the time in which a new dispatcher trusts no identifier
	rate := orderLoad * r.capacity()
	length := time.Duration(float64(count) / rate * float64(time.Second))
	r.until = r.now.Add(length)
	r.poisson(count, rate, r.arrive)
	r.after(faultInterval, r.fault)
	if v.losses {
		r.after(lossInterval, r.loseDispatcher)
	}
	r.runFor(length + time.Minute)
	return r.summary()
}

// start puts a dispatcher in charge.
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
	r.core.serve(r.epoch, true)
}

func (r *orderRun) arrive() {
	n := len(r.orders)
	o := &order{request: dispatch.Request{
		ID: types.RequestID(fmt.Sprint(n)), Caller: types.Caller(rune('a' + r.intn(20))), Target: r.id(r.intn(orderTargets)),
		Class: types.ClassOrder, MintedMs: r.wallMs(), Fingerprint: dispatch.Fingerprint(n + 1),
	}}
	r.orders = append(r.orders, o)
	r.try(o)
}

// try sends an order and sends it again when no answer comes.
func (r *orderRun) try(o *order) {
	o.tries++
	r.next++
	h := r.next
	r.byTry[h] = o
	q := o.request
	q.Deadline, q.WallMs, q.LeaseEpoch = r.now.Add(orderTimeout), r.wallMs(), r.epoch
	try := o.tries
	r.after(orderTimeout+100*time.Millisecond, func() {
		if !o.finished && o.tries == try {
			o.outcome = types.OutcomeUnknown
			r.again(o)
		}
	})
	r.policy.request(h, q)
}

func (r *orderRun) again(o *order) {
	if o.tries > orderResends {
		o.finished = true
		return
	}
	r.result.Resends++
	try := o.tries
	r.after(resendDelay, func() {
		if !o.finished && o.tries == try {
			r.try(o)
		}
	})
}

func (r *orderRun) replied(a dispatch.Action) {
	o := r.byTry[a.Handle]
	if o.finished {
		return
	}
	o.outcome = a.Outcome
	if a.Outcome == types.OutcomeDone {
		o.finished = true
		return
	}
	r.again(o)
}

// fault crashes or freezes a random target.
func (r *orderRun) fault() {
	if r.now > r.until {
		return
	}
	t := r.sim.targets[r.id(r.intn(orderTargets))]
	if r.intn(2) == 0 {
		r.result.Crashes++
		t.crash(r.sim, crashOutage)
	} else {
		r.result.Freezes++
		t.frozen = r.now.Add(freezeTime)
	}
	r.after(faultInterval, r.fault)
}

// nobody is the policy while no dispatcher holds the leases.
type nobody struct{}

func (nobody) request(dispatch.Handle, dispatch.Request) {}
func (nobody) result(dispatch.Handle, dispatch.Result)   {}
func (nobody) tick()                                     {}
func (nobody) wake() (types.Instant, bool)               { return 0, false }

// loseDispatcher ends the dispatcher. What it sent goes on at the targets, but no result arrives.
func (r *orderRun) loseDispatcher() {
	if r.now > r.until {
		return
	}
	r.result.Losses++
	if r.core != nil {
		r.core.gone = true
	}
	r.policy = nobody{}
	clear(r.flying)
	r.after(takeoverTime, func() {
		r.start()
		r.after(lossInterval, r.loseDispatcher)
	})
}

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
				r.result.Untrue++
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
