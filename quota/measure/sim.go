package measure

import (
	"math"
	"strconv"
	"time"

	"sequoiasail.example/quota"
	"sequoiasail.example/types"
)

const (
	// step is the resolution of the simulated time.
	step = 5 * time.Millisecond
	// window is that of the platform's bound.
	window = 5 * time.Second
	// overshoot and slack are the platform's.
	overshoot, slack = 0.1, 20
	// nearLatency and farLatency are the times of a message within a data centre and between two.
	nearLatency, farLatency = 5 * time.Millisecond, 40 * time.Millisecond
	// usualLoad is the usual load of a customer as a share of its rate.
	usualLoad = 1 / 1.6
	// Surge is the load during a burst as a multiple of the usual load.
	Surge = 7.5
	// datagramBytes is added to the content of each message: the headers of UDP and IP and the fixed fields.
	datagramBytes = 28 + 24
)

// Customer is a simulated customer.
type Customer struct {
	Name  types.Customer
	Limit quota.Limit
	// Usual is its load in requests a second. Surge multiplies it from BurstFrom to BurstTo.
	Usual              float64
	BurstFrom, BurstTo time.Duration
	// VMs is the number of VMs at which its requests arrive, 0 for all.
	VMs int

	arrived  []int32
	admitted []int32
}

// Random is a source of random numbers, Source returns a new one that depends on its seed and n only.
type (
	Random interface{ Uint64() uint64 }
	Source func(n uint64) Random
)

// uniform draws uniform numbers from a source.
type uniform struct{ Random }

// Float64 returns a number in [0, 1).
func (u uniform) Float64() float64 { return float64(u.Uint64()>>11) / (1 << 53) }

func (u uniform) intN(n int) int { return int(u.Uint64() % uint64(n)) }

// VM is one simulated VM of a design.
type VM interface {
	// Arrive decides about a request of a customer.
	Arrive(now types.Instant, customer int) bool
	// Tick is called in each step and sends what is due.
	Tick(now types.Instant)
	// Receive takes a message of another VM.
	Receive(now types.Instant, from int, message any)
}

type delivery struct {
	from, to int
	message  any
}

// Sim is a fleet. Its fields may be changed between steps.
type Sim struct {
	Customers   []*Customer
	VMs         []VM
	DataCentres int
	// Loss is the share of the messages that are lost, Cut reports whether two VMs can't reach each other.
	Loss float64
	Cut  func(now time.Duration, a, b int) bool
	// Down VMs get no requests and no messages.
	Down map[int]bool

	source Source
	random uniform
	steps  int
	queue  map[int][]delivery
	// sent holds the bytes that each VM has sent, between those to other data centres.
	sent    map[int]uint64
	between uint64
}

// NewSim returns a fleet without VMs.
func NewSim(dataCentres int, customers []*Customer, source Source) *Sim {
	return &Sim{
		Customers: customers, DataCentres: dataCentres, source: source, random: uniform{source(0)}, queue: make(map[int][]delivery),
		sent: make(map[int]uint64),
		Down: make(map[int]bool),
	}
}

// Now returns the simulated time. It begins at one minute, because an Instant of 0 means never.
func (s *Sim) Now() types.Instant { return types.Instant(time.Minute).Add(s.Elapsed()) }

// Elapsed returns the time since the start of the simulation.
func (s *Sim) Elapsed() time.Duration { return time.Duration(s.steps) * step }

// Near reports whether two VMs are in the same data centre.
func (s *Sim) Near(a, b int) bool { return a%s.DataCentres == b%s.DataCentres }

// Send sends a message of a number of bytes.
func (s *Sim) Send(from, to int, message any, bytes int) {
	s.sent[from] += uint64(bytes)
	if !s.Near(from, to) {
		s.between += uint64(bytes)
	}
	if (s.Cut != nil && s.Cut(s.Elapsed(), from, to)) || (s.Loss > 0 && s.random.Float64() < s.Loss) {
		return
	}
	latency := farLatency
	if s.Near(from, to) {
		latency = nearLatency
	}
	at := s.steps + int(latency/step)
	s.queue[at] = append(s.queue[at], delivery{from, to, message})
}

// Run simulates for a time.
func (s *Sim) Run(d time.Duration) {
	for range int(d / step) {
		s.step()
	}
}

func (s *Sim) step() {
	now := s.Now()
	for _, m := range s.queue[s.steps] {
		if !s.Down[m.to] && m.to < len(s.VMs) {
			s.VMs[m.to].Receive(now, m.from, m.message)
		}
	}
	delete(s.queue, s.steps)
	for i, c := range s.Customers {
		n := s.arrivals(c)
		c.arrived = append(c.arrived, int32(n))
		admitted := int32(0)
		for range n {
			if vm := s.place(c); s.VMs[vm].Arrive(now, i) {
				admitted++
			}
		}
		c.admitted = append(c.admitted, admitted)
	}
	for i, vm := range s.VMs {
		if !s.Down[i] {
			vm.Tick(now)
		}
	}
	s.steps++
}

// arrivals draws the number of requests of a customer in one step.
func (s *Sim) arrivals(c *Customer) int {
	rate := c.Usual
	if now := s.Elapsed(); now >= c.BurstFrom && now < c.BurstTo {
		rate *= Surge
	}
	// Knuth's method: the mean of a step is small.
	limit, product, n := math.Exp(-rate*step.Seconds()), s.random.Float64(), 0
	for product > limit {
		product *= s.random.Float64()
		n++
	}
	return n
}

// place chooses the VM at which a request arrives.
func (s *Sim) place(c *Customer) int {
	n := len(s.VMs)
	if c.VMs > 0 {
		n = min(n, c.VMs)
	}
	for try := 0; ; try++ {
		if try == 100 {
			// The VMs of the customer are down: its requests go to the others.
			n = len(s.VMs)
		}
		if vm := s.random.intN(n); !s.Down[vm] {
			return vm
		}
	}
}

// BytesPerVM returns the bytes a second that a VM has sent on average.
func (s *Sim) BytesPerVM() float64 {
	total := uint64(0)
	for _, n := range s.sent {
		total += n
	}
	return float64(total) / s.Elapsed().Seconds() / float64(len(s.VMs))
}

// MostBytes returns the bytes a second of the VM that has sent the most, BetweenPerVM those that a VM has sent to other data
// centres on average.
func (s *Sim) MostBytes() float64 {
	most := uint64(0)
	for _, n := range s.sent {
		most = max(most, n)
	}
	return float64(most) / s.Elapsed().Seconds()
}

// BetweenPerVM is described at MostBytes.
func (s *Sim) BetweenPerVM() float64 {
	return float64(s.between) / s.Elapsed().Seconds() / float64(len(s.VMs))
}

// WorstWindow returns the largest number of requests that were admitted within a window that ends after a time.
func (c *Customer) WorstWindow(from time.Duration) int {
	size, sum, worst := int(window/step), 0, 0
	for i, n := range c.admitted {
		sum += int(n)
		if i >= size {
			sum -= int(c.admitted[i-size])
		}
		if i >= int(from/step) {
			worst = max(worst, sum)
		}
	}
	return worst
}

// Nominal returns what the limit allows within a window, Bound what the platform tolerates.
func Nominal(l quota.Limit) float64 { return l.Rate*window.Seconds() + l.Burst }

// Bound returns the largest number of requests within a window that the platform tolerates.
func Bound(l quota.Limit) float64 { return Nominal(l)*(1+overshoot) + slack }

// Counts returns the requests that arrived and that were admitted between two times, and those that a single bucket for the
// whole fleet would have admitted.
func (c *Customer) Counts(from, to time.Duration) (arrived, admitted, ideal int) {
	level := c.Limit.Burst
	for i := range c.arrived {
		level = min(level+c.Limit.Rate*step.Seconds(), max(c.Limit.Burst, 1))
		passed := min(int(c.arrived[i]), int(max(level, 0)))
		level -= float64(passed)
		if i >= int(from/step) && i < int(to/step) {
			arrived += int(c.arrived[i])
			admitted += int(c.admitted[i])
			ideal += passed
		}
	}
	return arrived, admitted, ideal
}

func vmName(i int) types.VM { return types.VM("vm-" + strconv.Itoa(i)) }
