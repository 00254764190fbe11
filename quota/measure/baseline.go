package measure

import (
	"time"

	"sequoiasail.example/quota"
	"sequoiasail.example/types"
)

const (
	// loanLenders is the number of VMs that are asked for tokens at once, loanBytes the size of a request or a loan.
	loanLenders = 4
	loanBytes   = datagramBytes + 12
	// shareBytes is the size of the demand or the share of one customer. Both are sent as often as the product's reports.
	shareBytes = 10
	// equalPart is the part of a limit that the coordinator divides equally, for VMs without recent requests.
	equalPart = 0.1
	// demandTime is the time constant of the demand that VMs report.
	demandTime = time.Second
)

// tokens is a token bucket.
type tokens struct {
	level, rate, capacity float64
	at                    types.Instant
}

func (b *tokens) refill(now types.Instant) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.capacity)
	b.at = now
}

func (b *tokens) take(now types.Instant) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// equalShares is a VM that has an equal part of each bucket and borrows from other VMs when its part is used up.
type equalShares struct {
	sim     *Sim
	index   int
	buckets []tokens
	askedAt []types.Instant
}

type (
	loanRequest struct{ customer int }
	loan        struct {
		customer int
		tokens   float64
	}
)

// StartEqualShares adds n VMs with equal shares.
func (s *Sim) StartEqualShares(n int) {
	for i := range n {
		e := &equalShares{sim: s, index: i, buckets: make([]tokens, len(s.Customers)), askedAt: make([]types.Instant, len(s.Customers))}
		for k, c := range s.Customers {
			part := c.Limit.Burst / float64(n)
			e.buckets[k] = tokens{rate: c.Limit.Rate / float64(n), capacity: part, level: part, at: s.Now()}
		}
		s.VMs = append(s.VMs, e)
	}
}

// Arrive implements VM. A VM asks for a loan when it has less than the next request needs, at most once in a round trip.
func (e *equalShares) Arrive(now types.Instant, customer int) bool {
	b := &e.buckets[customer]
	admitted := b.take(now)
	if b.level < 1 && len(e.sim.VMs) > 1 && now.Sub(e.askedAt[customer]) > 2*farLatency {
		e.askedAt[customer] = now
		for range loanLenders {
			if to := e.sim.random.intN(len(e.sim.VMs)); to != e.index {
				e.sim.Send(e.index, to, loanRequest{customer}, loanBytes)
			}
		}
	}
	return admitted
}

// Receive implements VM. A lender gives half of what it has. A borrower has room for a whole request also where its part of the
// burst is smaller.
func (e *equalShares) Receive(now types.Instant, from int, message any) {
	switch m := message.(type) {
	case loanRequest:
		b := &e.buckets[m.customer]
		b.refill(now)
		if amount := b.level / 2; amount > 0 {
			b.level -= amount
			e.sim.Send(e.index, from, loan{m.customer, amount}, loanBytes)
		}
	case loan:
		b := &e.buckets[m.customer]
		b.refill(now)
		level := b.level + m.tokens
		b.capacity = max(b.capacity, min(level, e.sim.Customers[m.customer].Limit.Burst))
		b.level = min(level, b.capacity)
	}
}

// Tick implements VM.
func (e *equalShares) Tick(types.Instant) {}

// assigned is a VM whose shares a coordinator, VM 0, assigns in proportion to the demand that the VMs report.
type assigned struct {
	sim      *Sim
	index    int
	buckets  []tokens
	demand   []float64
	active   []bool
	demandAt types.Instant
	reportAt types.Instant
	// demands is the coordinator's: for each VM and customer.
	demands [][]float64
}

type (
	demandReport struct{ demand []float64 }
	assignment   struct{ shares []float64 }
)

// StartAssignedShares adds n VMs, the first of which is the coordinator.
func (s *Sim) StartAssignedShares(n int) {
	for i := range n {
		a := &assigned{
			sim: s, index: i, buckets: make([]tokens, len(s.Customers)), demand: make([]float64, len(s.Customers)),
			active: make([]bool, len(s.Customers)), demandAt: s.Now(),
		}
		a.reportAt = s.Now().Add(time.Duration(s.random.intN(int(quota.FarInterval(n)))))
		for k, c := range s.Customers {
			part := c.Limit.Burst / float64(n)
			a.buckets[k] = tokens{rate: c.Limit.Rate / float64(n), capacity: part, level: part, at: s.Now()}
		}
		if i == 0 {
			a.demands = make([][]float64, n)
			for v := range a.demands {
				a.demands[v] = make([]float64, len(s.Customers))
			}
		}
		s.VMs = append(s.VMs, a)
	}
}

// Arrive implements VM.
func (a *assigned) Arrive(now types.Instant, customer int) bool {
	a.demand[customer] += 1 / demandTime.Seconds()
	a.active[customer] = true
	return a.buckets[customer].take(now)
}

// Tick implements VM: it forgets demand and reports it.
func (a *assigned) Tick(now types.Instant) {
	forget := 1 - now.Sub(a.demandAt).Seconds()/demandTime.Seconds()
	a.demandAt = now
	for k := range a.demand {
		a.demand[k] *= forget
	}
	if now < a.reportAt {
		return
	}
	a.reportAt = now.Add(quota.FarInterval(len(a.sim.VMs)))
	n := 0
	for k := range a.active {
		if a.active[k] {
			n++
		}
	}
	clear(a.active)
	report := demandReport{append([]float64(nil), a.demand...)}
	if a.index == 0 {
		a.Receive(now, 0, report)
		return
	}
	a.sim.Send(a.index, 0, report, datagramBytes+n*shareBytes)
}

// Receive implements VM. The coordinator answers a report with the new shares of its sender.
func (a *assigned) Receive(now types.Instant, from int, message any) {
	switch m := message.(type) {
	case demandReport:
		a.demands[from] = m.demand
		shares := make([]float64, len(m.demand))
		n := 0
		for k := range shares {
			total := 0.0
			for _, d := range a.demands {
				total += d[k]
			}
			shares[k] = 1 / float64(len(a.sim.VMs))
			if total > 0 {
				shares[k] = equalPart*shares[k] + (1-equalPart)*m.demand[k]/total
			}
			if m.demand[k] > 0.1 {
				n++
			}
		}
		if from == 0 {
			a.Receive(now, 0, assignment{shares})
			return
		}
		a.sim.Send(0, from, assignment{shares}, datagramBytes+n*shareBytes)
	case assignment:
		for k, share := range m.shares {
			b := &a.buckets[k]
			b.refill(now)
			limit := a.sim.Customers[k].Limit
			b.rate, b.capacity = limit.Rate*share, max(limit.Burst*share, 1)
		}
	}
}
