package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sequoiasail.example/types"
)

// The simulation runs two keepers against targets whose clocks are up to 2% slow, that crash and start anew, lose
// answers and apply orders late, and a store whose answers get lost. It checks after each step that no key is held by
// two targets and that fences rise.

var simNames = []types.Target{"t0", "t1", "t2", "t3", "t4"}

const simStep = 10 * time.Millisecond

type simTarget struct {
	owner Owner
	up    bool
	slow  float64
	// holds maps the first key of a range to its hold; ranges of a grant are kept as they were granted.
	until map[Key]types.Instant
	fence map[Key]types.Epoch
}

type simEvent struct {
	at types.Instant
	do func()
}

type sim struct {
	t       *testing.T
	seed    uint64
	r       *rand.Rand
	now     types.Instant
	targets map[types.Target]*simTarget
	table   Table
	found   bool
	rev     int
	keepers [2]*simKeeper
	lease   int
	leaseTo types.Instant
	events  []simEvent
	top     map[Key]types.Epoch
	topBy   map[Key]Owner
	// lossy is the share of calls that go wrong.
	lossy float64
	// calm runs have neither crashes nor changes of the keeper.
	calm bool
	// away is true while the store refuses all calls.
	away   bool
	serial uint64
}

type simConn struct {
	life   int64
	serial uint64
}

type simKeeper struct {
	// conns holds the open connection to each target.
	conns map[types.Target]simConn
	core  *Core
	rev   int
	until types.Instant
	on    bool
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{
		t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 1)), targets: make(map[types.Target]*simTarget), lease: -1,
		top: make(map[Key]types.Epoch), topBy: make(map[Key]Owner), lossy: 0.05, now: types.Instant(time.Hour),
	}
	for i := range 5 {
		name := types.Target(fmt.Sprintf("t%d", i))
		s.targets[name] = &simTarget{
			owner: Owner{Target: name, Life: 1}, up: true, slow: 1 + 0.02*s.r.Float64(),
			until: make(map[Key]types.Instant), fence: make(map[Key]types.Epoch),
		}
	}
	settings := Defaults(4 * time.Second)
	settings.RangesPerTarget = 3
	for i := range s.keepers {
		s.keepers[i] = &simKeeper{conns: make(map[types.Target]simConn), core: New(fmt.Sprintf("k%d", i), "/health", settings)}
	}
	return s
}

func (s *sim) later(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{at: s.now.Add(d), do: do})
}

func (s *sim) perform(k *simKeeper, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Load:
			if s.away {
				s.later(s.delay(), func() { s.step(k, LoadFailed{}) })
				continue
			}
			t, found, rev := s.table.Clone(), s.found, s.rev
			s.later(s.delay(), func() {
				k.rev = rev
				s.step(k, Loaded{Table: t, Found: found})
			})
		case Commit:
			s.commit(k, a.Table.Clone())
		case Batch:
			s.batch(k, a)
		}
	}
}

func (s *sim) step(k *simKeeper, m Message) { s.perform(k, k.core.Step(s.now, m)) }

func (s *sim) delay() time.Duration { return time.Duration(1+s.r.IntN(40)) * time.Millisecond }

// commit applies a write under its condition. The adapter reads back when an answer is lost, so that the keeper learns
// the truth or nothing.
func (s *sim) commit(k *simKeeper, t Table) {
	expected := k.rev
	s.later(s.delay(), func() {
		if s.away {
			s.later(s.delay(), func() { s.step(k, Committed{Err: types.NewFault(types.CodeStoreUnavailable, "away")}) })
			return
		}
		if s.rev != expected {
			s.later(s.delay(), func() { s.step(k, Committed{Err: types.NewFault(types.CodeConflict, "changed")}) })
			return
		}
		s.rev++
		rev := s.rev
		s.table, s.found = t, true
		if s.r.Float64() < s.lossy {
			s.later(time.Second, func() { s.step(k, Committed{Err: types.NewFault(types.CodeAnswerLost, "lost")}) })
			return
		}
		s.later(s.delay(), func() {
			k.rev = rev
			s.step(k, Committed{})
		})
	})
}

func (s *sim) batch(k *simKeeper, b Batch) {
	broken := false
	var next func(i int)
	next = func(i int) {
		if i == len(b.Calls) {
			s.perform(k, k.core.BatchDone(s.now, b.Owner))
			return
		}
		if broken {
			// The rest of a batch is not sent after a call that went wrong.
			s.step(k, Called{Call: b.Calls[i], Result: CallNotSent})
			next(i + 1)
			return
		}
		s.call(k, b.Calls[i], func(r CallResult) {
			broken = r == CallNotSent || r == CallUnanswered
			next(i + 1)
		})
	}
	next(0)
}

func (s *sim) call(k *simKeeper, c Call, done func(CallResult)) {
	serial := uint64(0)
	answer := func(d time.Duration, r CallResult, handover string) {
		s.later(d, func() {
			s.step(k, Called{Call: c, Result: r, Handover: handover, Slowness: 1, Connection: serial})
			done(r)
		})
	}
	if !s.now.Before(k.until) {
		answer(simStep, CallNotSent, "")
		return
	}
	t := s.targets[c.Owner.Target]
	conn, connected := k.conns[c.Owner.Target]
	if connected && (!t.up || t.owner.Life != conn.life) {
		delete(k.conns, c.Owner.Target)
		connected = false
	}
	switch {
	case connected && (!c.Renewal || c.Connection == conn.serial):
	case c.Renewal:
		answer(simStep, CallReconnect, "")
		return
	case !t.up:
		answer(simStep, CallNotSent, "")
		return
	default:
		s.serial++
		conn = simConn{life: t.owner.Life, serial: s.serial}
		k.conns[c.Owner.Target] = conn
	}
	sentTo := t.owner.Life
	serial = conn.serial
	s.later(s.delay(), func() {
		arrived := s.now
		switch {
		case !t.up || t.owner.Life != sentTo:
			delete(k.conns, c.Owner.Target)
			answer(time.Second, CallUnanswered, "")
		case s.r.Float64() < s.lossy/2:
			delete(k.conns, c.Owner.Target)
			answer(time.Second, CallUnanswered, "")
		case s.r.Float64() < s.lossy:
			delete(k.conns, c.Owner.Target)
			s.later(time.Duration(2+s.r.IntN(4))*time.Second, func() {
				if t.owner.Life == sentTo {
					s.apply(c, arrived)
				}
			})
			answer(time.Second, CallUnanswered, "")
		default:
			r := s.apply(c, arrived)
			answer(s.delay(), r, "h")
		}
	})
}

// apply carries a call out at a target as the platform describes it.
func (s *sim) apply(c Call, arrived types.Instant) CallResult {
	t := s.targets[c.Owner.Target]
	if !t.up {
		return CallUnanswered
	}
	if t.owner.Life > c.Owner.Life && c.Kind == CallGrant {
		// The target can't tell that the grant was meant for its former life.
		c.Owner = t.owner
	}
	switch c.Kind {
	case CallGrant:
		for k := int(c.From); k <= int(c.To); k++ {
			if t.fence[Key(k)] > c.Fence {
				return CallFenced
			}
		}
		for k := int(c.From); k <= int(c.To); k += simGrain {
			s.take(t, Key(k), c, arrived)
		}
	case CallRelease:
		for k := int(c.From); k <= int(c.To); k += simGrain {
			delete(t.until, Key(k))
		}
	}
	return CallDone
}

// simGrain is the size of the ranges that the simulation follows one by one.
const simGrain = 1

func (s *sim) take(t *simTarget, k Key, c Call, arrived types.Instant) {
	until := arrived.Add(time.Duration(float64(c.Hold) * t.slow))
	if !s.now.Before(until) {
		return
	}
	for _, o := range s.targets {
		if o != t && o.up && s.now.Before(o.until[k]) {
			s.t.Fatalf("seed %d at %v: key %d granted to %v while %v holds it for %v", s.seed, s.now, k, t.owner, o.owner, o.until[k].Sub(s.now))
		}
	}
	if s.topBy[k] != c.Owner && c.Fence <= s.top[k] {
		s.t.Fatalf("seed %d: key %d granted to %v with fence %d, %v had %d", s.seed, k, t.owner, c.Fence, s.topBy[k], s.top[k])
	}
	if c.Fence > s.top[k] {
		s.top[k], s.topBy[k] = c.Fence, c.Owner
	}
	t.fence[k] = c.Fence
	t.until[k] = max(t.until[k], until)
}

func (s *sim) members() Members {
	var m Members
	for _, name := range simNames {
		t := s.targets[name]
		if t.up {
			m.Members = append(m.Members, Member{Owner: t.owner, Slots: 2, Usable: true})
		}
	}
	return m
}

func (s *sim) crash(name types.Target) {
	t := s.targets[name]
	if !t.up {
		return
	}
	t.up = false
	clear(t.until)
	clear(t.fence)
	s.later(time.Duration(500+s.r.IntN(3000))*time.Millisecond, func() {
		t.up = true
		t.owner.Life++
		s.tell()
	})
	s.later(time.Duration(s.r.IntN(1500))*time.Millisecond, s.tell)
}

func (s *sim) tell() {
	for _, k := range s.keepers {
		s.step(k, s.members())
	}
}

// elect renews the lease of the keeper or lets the other one take it after it has run out. A lease may be taken away
// early, without the keeper's knowledge.
func (s *sim) elect() {
	s.later(500*time.Millisecond, s.elect)
	term := s.keepers[0].core.settings.Term
	if s.lease >= 0 && !s.calm && s.r.Float64() < 0.03 {
		s.lease, s.leaseTo = 1-s.lease, 0
	} else if s.lease < 0 {
		s.lease = 0
	}
	k := s.keepers[s.lease]
	acquired := !k.on || s.leaseTo == 0
	s.leaseTo = s.now.Add(term)
	k.until, k.on = s.leaseTo.Add(-200*time.Millisecond), true
	s.step(k, Elected{Until: k.until, Acquired: acquired})
	other := s.keepers[1-s.lease]
	if other.on && !s.now.Before(other.until) {
		other.on = false
		s.step(other, Deposed{})
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	s.tell()
	s.elect()
	for s.now.Before(end) {
		s.tick()
		if s.calm {
			continue
		}
		if s.r.Float64() < 0.004 {
			s.crash(simNames[s.r.IntN(len(simNames))])
		}
		if s.r.Float64() < 0.002 {
			s.away = !s.away
		}
		if s.r.Float64() < 0.2 {
			hot := Key(s.r.IntN(4)*1000 + s.r.IntN(20))
			for _, k := range s.keepers {
				s.step(k, Requested{Keys: []Key{hot, hot, Key(s.r.IntN(Keys))}})
			}
		}
	}
}

// Guards against two targets that hold the same key and against fences that do not rise, while keepers change, targets
// crash, calls are lost or applied late and writes to the store lose their answers.
func TestNoKeyHasTwoHolders(t *testing.T) {
	for seed := range uint64(simSeeds) {
		newSim(t, seed).run(25 * time.Second)
	}
}

// tick lets one step pass.
func (s *sim) tick() {
	s.now = s.now.Add(simStep)
	due := s.events
	s.events = nil
	for _, e := range due {
		if s.now.Before(e.at) {
			s.events = append(s.events, e)
		} else {
			e.do()
		}
	}
	for _, k := range s.keepers {
		s.perform(k, k.core.Tick(s.now))
	}
}

// quiet runs without faults and without changes of the keeper.
func (s *sim) quiet(d time.Duration) {
	s.lossy, s.away = 0, false
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
	}
}

// unheld counts the keys that no target holds.
func (s *sim) unheld() int {
	n := Keys
	for k := range Keys {
		for _, t := range s.targets {
			if t.up && s.now.Before(t.until[Key(k)]) {
				n--
				break
			}
		}
	}
	return n
}

// Guards against keys that stay without a holder once the faults have ended.
func TestAllKeysAreHeldAfterFaults(t *testing.T) {
	s := newSim(t, 77)
	s.run(15 * time.Second)
	s.quiet(12 * time.Second)
	if n := s.unheld(); n > 0 {
		t.Fatalf("%d keys are held by nobody", n)
	}
}

// Guards against a keeper that stops renewing, or leaves released keys without an owner, while the store refuses calls
// and its lease is paused.
func TestStoreOutageKeepsKeysHeld(t *testing.T) {
	s := newSim(t, 5)
	s.lossy = 0
	s.calm = true
	s.run(8 * time.Second)
	s.away = true
	since := s.now
	for range 600 {
		s.tick()
		if s.r.Float64() < 0.3 {
			s.step(s.keepers[0], Requested{Keys: []Key{100, 101, 102, 103}})
		}
		if s.unheld() == 0 {
			since = s.now
		}
		// A move that the outage has interrupted is undone after the refusal of its write.
		if s.now.Sub(since) > 700*time.Millisecond {
			t.Fatalf("%d keys are held by nobody for %v", s.unheld(), s.now.Sub(since))
		}
	}
}

const simSeeds = 6
