package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/quota"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// overQuotaLogInterval is the shortest time between two log lines about the same customer.
const overQuotaLogInterval = 10 * time.Second

// quotaRefund returns the token of a request that has not run.
type quotaRefund struct{ customer types.Customer }

// quotaStopping tells that the VM begins to stop.
type quotaStopping struct{}

// quotaDuty runs the core of the customers' limits. It stands between the frontend and admission for the requests of customers
// with a limit.
type quotaDuty struct {
	// in holds these requests, what follows them, and refunds. heard holds the reports of other VMs, which are read when there is
	// something to decide: they don't wake the duty.
	in    *ring.Ring[any]
	heard *ring.Ring[quota.Report]
	// limits and fleets hold the latest limits and the latest list of VMs.
	limits    *ring.Ring[quota.Limits]
	fleets    *ring.Ring[quota.Fleet]
	admission *ring.Ring[any]
	reports   *ring.Ring[report]
	log       *telemetry.Log
	metrics   *quotaMetrics
	now       func() types.Instant
	core      *quota.Core

	// overAt is when a customer's rejections were last logged. silent and minority are what was last logged.
	overAt   map[types.Customer]types.Instant
	silent   int
	minority bool
}

// quotaMetrics holds the metrics of the customers' limits.
type quotaMetrics struct {
	admitted, rejected, refunded *metrics.Counter
	// forwarded counts the reports of other data centres that were forwarded as a relay.
	forwarded *metrics.Counter
	// silent is the number of silent VMs, which the duty sets.
	silent atomic.Int64
}

func newQuotaMetrics(m *telemetry.Metrics) *quotaMetrics {
	q := &quotaMetrics{
		admitted: m.Counter("sail_quota_admitted_total"), rejected: m.Counter("sail_quota_rejected_total"),
		refunded: m.Counter("sail_quota_refunded_total"), forwarded: m.Counter("sail_quota_forwarded_total"),
	}
	m.Gauge("sail_quota_silent_vms", func() float64 { return float64(q.silent.Load()) })
	return q
}

// limitsOf returns the limits of the customers that have one.
func limitsOf(customers []catalog.Customer) quota.Limits {
	limits := make(quota.Limits)
	for i := range customers {
		if c := &customers[i]; c.Limited() {
			limits[c.Name] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	return limits
}

func (q *quotaDuty) duty() duty.Duty { return duty.Duty{Name: "quota", Run: q.run} }

// run closes its ring at the end, also after a panic: the frontend then answers the requests that wait and refuses new ones.
func (q *quotaDuty) run(ctx context.Context) error {
	defer q.in.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		q.limits.Drain(q.setLimits)
		q.fleets.Drain(func(f quota.Fleet) { q.core.SetFleet(q.now(), f) })
		q.heard.Drain(func(r quota.Report) { q.core.Heard(q.now(), r) })
		q.in.Drain(func(m any) { q.handle(ctx, m) })
		q.report(q.now())
		var due <-chan time.Time
		if q.core.Limited() {
			timer.Reset(max(q.nextWake(q.now()), minWake))
			due = timer.C
		}
		select {
		case <-q.in.Ready():
		case <-q.limits.Ready():
		case <-q.fleets.Ready():
		case <-due:
		case <-ctx.Done():
			return nil
		}
	}
}

// nextWake returns the time until the next report is due. A relay wakes for each batch, because reports that arrive don't wake it.
func (q *quotaDuty) nextWake(now types.Instant) time.Duration {
	return min(q.core.NextReport(now), q.core.NextRefresh(now), q.core.NextForward(now))
}

func (q *quotaDuty) setLimits(l quota.Limits) {
	if len(l) > 0 || q.core.Limited() {
		q.log.Info("limits of customers in force", log.Fields{"customers": len(l)})
	}
	q.core.SetLimits(q.now(), l)
}

func (q *quotaDuty) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case *pending:
		q.decide(m)
	case quotaRefund:
		q.core.Refund(q.now(), m.customer)
		q.metrics.refunded.Inc()
	case quotaStopping:
		q.core.SetLeaving()
		q.refresh(q.now())
	case admission.CallerLeft:
		// It fails only when admission has ended.
		_ = q.admission.Put(ctx, m)
	}
}

// decide passes a request that is within the limit of its customer on to admission, and answers any other.
func (q *quotaDuty) decide(p *pending) {
	now := q.now()
	name := p.customer.Name
	d := q.core.Admit(now, name)
	if !d.Admitted {
		q.metrics.rejected.Inc()
		if last, logged := q.overAt[name]; !logged || now.Sub(last) >= overQuotaLogInterval {
			q.overAt[name] = now
			q.log.Warn("customer above its limit", log.Fields{"customer": name, "ratePerSecond": p.customer.Rate, "burst": p.customer.Burst})
		}
		q.refuse(p, types.CodeOverQuota, d.RetryAfter)
		return
	}
	p.counter = d.Counter
	if err := q.admission.TryPut(p); err != nil {
		q.core.Refund(now, name)
		q.refuse(p, types.CodeOf(err), refusalRetryAfter)
		return
	}
	q.metrics.admitted.Inc()
}

// refuse answers a request that admission has not got. The channel has room: a request has one final action.
func (q *quotaDuty) refuse(p *pending, code types.Code, after time.Duration) {
	p.reply <- response{action: admission.Refuse{ID: p.id, Code: code, RetryAfter: after, Reason: "customer " + string(p.customer.Name)}}
}

// report sends the counters that are due. Those that the VMs of the data centre need are sent with the load reports of admission.
func (q *quotaDuty) report(now types.Instant) {
	if !q.core.Limited() {
		return
	}
	if q.core.NextReport(now) <= 0 {
		r := q.core.Report(now)
		q.send(report{to: toRelays, quota: &r})
	}
	if q.core.NextForward(now) <= 0 {
		if list := q.core.Forward(now); len(list) > 0 {
			q.metrics.forwarded.Add(len(list))
			q.send(report{to: toDataCentre, forwarded: list})
		}
	}
	if q.core.NextRefresh(now) <= 0 {
		q.refresh(now)
	}
	q.logFleet()
}

// refresh sends a part of all counters to the neighbours and, by way of relays, to all other VMs. A planned stop is announced to all
// VMs directly: a lost announcement keeps the VM's share locked for long.
func (q *quotaDuty) refresh(now types.Instant) {
	if !q.core.Limited() {
		return
	}
	for _, r := range q.core.Refresh(now) {
		to := toDataCentreAndRelays
		if r.Leaving {
			to = toAll
		}
		q.send(report{to: to, quota: &r})
	}
}

// send passes a report to the peer sender. A full ring drops its oldest report.
func (q *quotaDuty) send(r report) {
	if err := q.reports.Replace(r); err != nil {
		q.log.Warn("report to the other VMs not queued", log.Fields{"error": err.Error()})
	}
}

// logFleet logs when the number of silent VMs changes, and when this VM changes between its usual and a small share.
func (q *quotaDuty) logFleet() {
	silent, minority := q.core.Silent(), q.core.Minority()
	if silent == q.silent && minority == q.minority {
		return
	}
	q.silent, q.minority = silent, minority
	q.metrics.silent.Store(int64(silent))
	f := log.Fields{"silent": silent, "vms": q.core.Size(), "minority": minority}
	if silent > 0 || minority {
		q.log.Warn("limits of customers: VMs are silent, their shares are kept for them", f)
	} else {
		q.log.Info("limits of customers: all VMs are heard", f)
	}
}
