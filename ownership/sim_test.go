package ownership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"pgregory.net/rapid"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// sim runs cores and fake targets with a simulated store, network and clock. It fails the test as soon as two targets
// own one slot, two dispatchers may send to one target, or a row written to the store violates the rules.
type sim struct {
	t         rapid.TB
	rng       *rand.Rand
	now       types.Instant
	queue     events
	serial    int
	cfg       *config.Configuration
	docs      map[DocumentKey]Document
	rev       types.Revision
	processes []*process
	targets   map[types.TargetID]*fakeTarget
	members   []Member
	// The injected faults.
	storeDown  bool
	storeDelay time.Duration
	drainDelay time.Duration
	loseCAS    float64                      // share of write results that are lost
	loseCall   float64                      // share of messages that are lost
	slowCall   float64                      // share of messages that take up to 3 s
	drift      float64                      // largest error of a clock rate
	cut        map[[2]types.DataCentre]bool // pairs of data centres that are disconnected
	cutStore   map[types.VM]bool            // VMs that cannot reach the store
	cutStoreDC map[types.DataCentre]bool    // data centres that cannot reach the store
	planners   int                          // number of processes that hold the planner lease
	log        []string
	decisions  map[Reason]int
	violation  string // the first violated rule
}

// process is one incarnation of a dispatcher process. Its clock shows the time of the sim times (1 + rate) plus offset.
type process struct {
	messagesLost bool // all messages from and to it are lost
	rate         float64
	Member
	core          *Core
	down          bool
	pausedUntil   types.Instant
	offset        types.Instant
	serving       map[types.TargetID]Serve
	planner       bool
	lastStoreRead types.Instant
}

// fakeTarget implements the target side of TargetCall. rate and offset are those of its clock, as in process.
type fakeTarget struct {
	answersLost   bool // calls reach it, but its answers are lost
	rate          float64
	id            types.TargetID
	incarnation   types.Incarnation
	offset        types.Instant
	highestEpoch  types.Epoch
	grantEpoch    types.Epoch
	keys          *KeySet
	expires       types.Instant // on the target's clock
	lastUsedToken Token
	lastToken     Token
	frozenUntil   types.Instant
	down          bool
}

// event is a function that the sim runs at a time; serial orders events of the same time.
type event struct {
	at     types.Instant
	serial int
	run    func()
}

// events is a heap of events ordered by time and serial.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// testConfig returns a configuration of one keyed service with targets in each data centre.
func testConfig(scope config.GroupScope, slots uint32, targets int, dcs ...types.DataCentre) *config.Configuration {
	s := config.Service{Name: "mapa", Keyed: true, Slots: slots, ChecksGrants: true, Scope: scope}
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{
			Name: types.Target(fmt.Sprintf("t%02d", i)), DataCentre: dcs[i%len(dcs)], Weight: 1,
		})
	}
	cfg := &config.Configuration{
		Services:  []config.Service{s},
		Ownership: config.Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600},
	}
	for _, dc := range dcs {
		cfg.DataCentres = append(cfg.DataCentres, config.DataCentre{Name: dc})
	}
	return cfg
}

func newSim(t rapid.TB, seed int64, cfg *config.Configuration, vmsPerDC int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewSource(seed)), cfg: cfg, docs: map[DocumentKey]Document{},
		targets: map[types.TargetID]*fakeTarget{}, cut: map[[2]types.DataCentre]bool{},
		cutStore: map[types.VM]bool{}, cutStoreDC: map[types.DataCentre]bool{}, planners: 1, decisions: map[Reason]int{},
	}
	for i := range cfg.Services {
		for _, x := range cfg.Services[i].Targets {
			id := types.TargetID{Service: cfg.Services[i].Name, Target: x.Name}
			s.targets[id] = &fakeTarget{id: id, incarnation: 1, offset: types.Instant(s.rng.Int63n(1e12))}
		}
	}
	for _, dc := range cfg.DataCentres {
		for i := range vmsPerDC {
			s.start(types.VM(fmt.Sprintf("%s-%d", dc.Name, i)), dc.Name, 1)
		}
	}
	s.updateMembers()
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, event{s.now.Add(d), s.serial, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end && s.violation == "" {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
	if s.violation != "" {
		for _, l := range s.log[max(0, len(s.log)-60):] {
			s.t.Log(l)
		}
		s.t.Fatalf("at %v: %s", time.Duration(s.now), s.violation)
	}
}

func (s *sim) latency() time.Duration {
	if s.slowCall > 0 && s.rng.Float64() < s.slowCall {
		return time.Duration(s.rng.Int63n(int64(3 * time.Second)))
	}
	return time.Millisecond + time.Duration(s.rng.Int63n(int64(4*time.Millisecond)))
}

// setDrift gives every clock another random rate. The clocks stay continuous.
func (s *sim) setDrift(largest float64) {
	s.drift = largest
	for _, p := range s.processes {
		s.changeRate(&p.offset, &p.rate)
	}
	for i := range s.cfg.Services[0].Targets {
		t := s.targets[types.TargetID{Service: s.cfg.Services[0].Name, Target: s.cfg.Services[0].Targets[i].Name}]
		s.changeRate(&t.offset, &t.rate)
	}
}

func (s *sim) changeRate(offset *types.Instant, rate *float64) {
	before := clock(s.now, *rate) + *offset
	*rate = (2*s.rng.Float64() - 1) * s.drift
	*offset = before - clock(s.now, *rate)
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// start runs a new process of a VM with a new clock.
func (s *sim) start(vm types.VM, dc types.DataCentre, incarnation types.Incarnation) *process {
	p := &process{
		Member: Member{Peer: Peer{vm, incarnation}, DataCentre: dc, State: MemberLive}, offset: types.Instant(s.rng.Int63n(1e12)),
		serving: map[types.TargetID]Serve{}, lastStoreRead: s.now,
	}
	p.core = New(Self{p.Peer, dc}, s.cfg)
	s.processes = append(s.processes, p)
	s.tick(p)
	s.readLoop(p)
	return p
}

// process returns the newest process of a VM.
func (s *sim) process(vm types.VM) *process {
	var found *process
	for _, p := range s.processes {
		if p.VM == vm {
			found = p
		}
	}
	return found
}

// stop ends the process of a VM; start restarts the VM.
func (s *sim) stop(vm types.VM) {
	p := s.process(vm)
	p.down = true
	p.planner = false
	clear(p.serving)
}

func (p *process) clock(now types.Instant) types.Instant { return clock(now, p.rate) + p.offset }

func (t *fakeTarget) clock(now types.Instant) types.Instant { return clock(now, t.rate) + t.offset }

// clock returns the time of a clock that deviates by rate.
func clock(now types.Instant, rate float64) types.Instant {
	return now + types.Instant(float64(now)*rate)
}

// cutOff disconnects a data centre from the others and from the store, or connects it again.
func (s *sim) cutOff(dc types.DataCentre, cut bool) {
	s.cutStoreDC[dc] = cut
	for _, o := range s.cfg.DataCentres {
		if o.Name != dc {
			s.cut[[2]types.DataCentre{dc, o.Name}] = cut
			s.cut[[2]types.DataCentre{o.Name, dc}] = cut
		}
	}
}

// runOn runs f at the process, after its pause if it is paused.
func (s *sim) runOn(p *process, f func()) {
	if p.down {
		return
	}
	if p.pausedUntil > s.now {
		s.after(p.pausedUntil.Sub(s.now), func() { s.runOn(p, f) })
		return
	}
	f()
}

func (s *sim) step(p *process, m Message) {
	s.runOn(p, func() { s.perform(p, p.core.Step(p.clock(s.now), m, nil)) })
}

func (s *sim) tick(p *process) {
	s.runOn(p, func() {
		s.perform(p, p.core.Tick(p.clock(s.now), nil))
		s.after(TickInterval, func() { s.tick(p) })
	})
}

func (s *sim) readLoop(p *process) {
	s.runOn(p, func() {
		s.read(p)
		s.after(100*time.Millisecond, func() { s.readLoop(p) })
	})
}

func (s *sim) storeReachable(p *process) bool {
	return !s.storeDown && !s.cutStore[p.VM] && !s.cutStoreDC[p.DataCentre]
}

// read performs one linearizable read of all documents.
func (s *sim) read(p *process) {
	sentAt := p.clock(s.now)
	s.after(s.latency()+s.storeDelay, func() {
		if !s.storeReachable(p) {
			s.step(p, Message{Kind: KindStoreFailed})
			return
		}
		var docs []Document
		for _, d := range s.docs {
			docs = append(docs, d)
		}
		s.after(s.latency(), func() {
			p.lastStoreRead = s.now
			s.step(p, Message{Kind: KindStoreRead, Read: StoreRead{SentAt: sentAt, Documents: docs}})
		})
	})
}

// updateMembers reports the registrations, which expire after 2 s without the store, and assigns the planner lease.
func (s *sim) updateMembers() {
	s.members = nil
	planners := 0
	for _, p := range s.processes {
		m := p.Member
		if s.now.Sub(p.lastStoreRead) > 2*time.Second || p.down {
			if p.State == MemberLive {
				m.State = MemberExpired
			}
		}
		if p.planner && (m.State != MemberLive || planners >= s.planners) {
			p.planner = false
			s.step(p, Message{Kind: KindPlannerLost})
		}
		if p.planner {
			planners++
		}
		s.members = append(s.members, m)
	}
	for i, p := range s.processes {
		if planners < s.planners && !p.planner && !p.down && s.members[i].State == MemberLive && s.storeReachable(p) {
			p.planner = true
			planners++
			s.step(p, Message{Kind: KindPlannerGained})
		}
	}
	for _, p := range s.processes {
		if s.storeReachable(p) {
			s.step(p, Message{Kind: KindMembers, Members: s.members})
		}
	}
	s.after(100*time.Millisecond, s.updateMembers)
}

// perform carries out the actions of a core.
func (s *sim) perform(p *process, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActDecision:
			s.decisions[a.Decision.Reason]++
			s.logf("%s %s %s/%s epoch %d slots %d", p.VM, a.Decision.Reason, a.Decision.Document, a.Decision.Target,
				a.Decision.Epoch, a.Decision.Slots)
		case ActGrant, ActRenew, ActRelease:
			s.call(p, a.Call)
		case ActWrite:
			s.write(p, a.Write)
		case ActReadBack:
			s.readBack(p, a.Write)
		case ActConfirmationRequest:
			s.send(p, a.Confirmation.Member, Message{Kind: KindConfirmationRequest, Confirmation: a.Confirmation})
		case ActConfirmationReply:
			s.send(p, a.ConfirmationReply.Asker, Message{Kind: KindConfirmationReply, ConfirmationReply: a.ConfirmationReply})
		case ActInstall:
			s.send(p, a.Install.Member, Message{Kind: KindInstall, Install: a.Install})
		case ActInstallReply:
			s.send(p, a.InstallReply.Planner, Message{Kind: KindInstallReply, InstallReply: a.InstallReply})
		case ActServe:
			s.serve(p, a.Serve)
		case ActStop:
			delete(p.serving, a.Serve.Target)
			s.drain(p, a.Serve)
		}
	}
}

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", time.Duration(s.now).Seconds())+fmt.Sprintf(format, args...))
}

// drain reports after a delay that no request outside the keys of v is in flight.
func (s *sim) drain(p *process, v Serve) {
	s.after(s.latency()+s.drainDelay, func() {
		s.step(p, Message{Kind: KindDrained, Drained: Drained{Target: v.Target, Number: v.Number}})
	})
}

// serve records a Serve and checks that no other dispatcher may send to the target.
func (s *sim) serve(p *process, v Serve) {
	if p.serving[v.Target].Number != v.Number {
		s.drain(p, v)
	}
	p.serving[v.Target] = v
	for _, o := range s.processes {
		w, ok := o.serving[v.Target]
		if o != p && ok && !o.down && w.ValidUntil > o.clock(s.now) && v.ValidUntil > p.clock(s.now) {
			s.fail("%s and %s may both send to %s", p.VM, o.VM, v.Target)
		}
	}
}

// send delivers a message to the VM of a process, whichever incarnation runs there.
func (s *sim) send(from *process, to Peer, m Message) {
	o := s.process(to.VM)
	if o == nil || from.messagesLost || o.messagesLost || s.cut[[2]types.DataCentre{from.DataCentre, o.DataCentre}] || s.rng.Float64() < s.loseCall {
		return
	}
	s.after(s.latency(), func() {
		if !s.cut[[2]types.DataCentre{from.DataCentre, o.DataCentre}] {
			s.step(o, m)
		}
	})
}

func (s *sim) write(p *process, w Write) {
	result := WriteResult{Key: w.Document.Key, ID: w.ID, Status: WriteUnknown}
	if !s.storeReachable(p) {
		s.after(300*time.Millisecond, func() { s.step(p, Message{Kind: KindWriteResult, Write: result}) })
		return
	}
	s.after(s.latency()+s.storeDelay, func() {
		result.Status = WriteConflict
		if s.docs[w.Document.Key].Store == w.Document.Store {
			s.apply(w.Document)
			result.Status, result.Store = WriteConfirmed, s.rev
		}
		delay := s.latency()
		if s.rng.Float64() < s.loseCAS {
			result.Status, delay = WriteUnknown, 300*time.Millisecond
		}
		s.after(delay, func() { s.step(p, Message{Kind: KindWriteResult, Write: result}) })
	})
}

func (s *sim) readBack(p *process, w Write) {
	s.after(s.latency()+s.storeDelay, func() {
		r := ReadBackResult{Document: s.docs[w.Document.Key], Failed: !s.storeReachable(p)}
		r.Document.Key = w.Document.Key
		s.after(s.latency(), func() { s.step(p, Message{Kind: KindReadBack, ReadBack: r}) })
	})
}

// apply stores a document after checking that its rows are valid successors of the stored ones.
func (s *sim) apply(d Document) {
	old := s.docs[d.Key]
	if d.Header().Epoch != old.Header().Epoch+1 {
		s.fail("%s: epoch %d after %d", d.Key, d.Header().Epoch, old.Header().Epoch)
	}
	if d.Leases != nil {
		s.checkLeases(old.Leases, d.Leases)
	}
	if d.Slots != nil && old.Slots != nil {
		s.checkSlots(d.Key.Service, old.Slots, d.Slots)
	}
	s.rev++
	d.Store = s.rev
	s.docs[d.Key] = d
	for _, p := range s.processes {
		if s.storeReachable(p) && !p.down {
			s.runOn(p, func() { s.read(p) })
		}
	}
}

func (s *sim) checkLeases(old, d *LeaseDocument) {
	for _, l := range d.Leases {
		before, _ := old.Find(l.Target)
		if l != before && (l.Epoch != d.Epoch || l.Term < before.Term) {
			s.fail("lease %s: %+v after %+v", l.Target, l, before)
		}
	}
}

// checkSlots checks that an owner only loses a slot by release or because its term ended.
func (s *sim) checkSlots(service types.Service, old, d *SlotDocument) {
	for _, r := range d.Runs {
		for slot := r.First; slot < r.End(); slot++ {
			before, _ := old.Find(slot)
			if before.Ownership == r.Ownership {
				continue
			}
			l, _ := s.docs[LeasesKey(service)].Leases.Find(before.Owner)
			kept := before.Owner == r.Owner && before.Term == r.Term
			if r.Epoch != d.Epoch || !kept && before.State == SlotOwned && l.Term <= before.Term {
				s.fail("slot %d: %+v after %+v", slot, r, before)
			}
		}
	}
}

func (s *sim) call(p *process, c TargetCall) {
	t := s.targets[c.Target]
	s.after(s.latency(), func() { s.deliver(p, t, c) })
}

// deliver makes the target handle a call once it is no longer frozen.
func (s *sim) deliver(p *process, t *fakeTarget, c TargetCall) {
	if t.frozenUntil > s.now {
		s.after(t.frozenUntil.Sub(s.now), func() { s.deliver(p, t, c) })
		return
	}
	if t.down || s.rng.Float64() < s.loseCall || s.cut[[2]types.DataCentre{p.DataCentre, s.dataCentre(t.id)}] {
		return
	}
	r := t.handle(t.clock(s.now), c)
	s.checkOwners(t)
	if !t.answersLost && s.rng.Float64() >= s.loseCall {
		s.after(s.latency(), func() { s.step(p, Message{Kind: KindCallResult, Call: r}) })
	}
}

func (s *sim) dataCentre(id types.TargetID) types.DataCentre {
	for _, t := range s.cfg.Services[0].Targets {
		if t.Name == id.Target {
			return t.DataCentre
		}
	}
	return ""
}

// handle answers a call by the rules of TargetCall.
func (t *fakeTarget) handle(now types.Instant, c TargetCall) CallResult {
	r := CallResult{Target: t.id, Number: c.Number, Incarnation: t.incarnation}
	ends := types.Instant(c.Token).Add(milliseconds(c.TTLMs))
	switch {
	case c.Epoch < t.highestEpoch:
		r.Status = CallStaleEpoch
	case c.Epoch == t.highestEpoch && t.grantEpoch == c.Epoch && now >= t.expires:
		r.Status = CallExpired
	case c.Incarnation != t.incarnation || c.Token <= t.lastUsedToken || now >= ends, c.Kind == CallRenew && c.Epoch != t.grantEpoch:
		r.Status = CallStaleToken
	default:
		r.Status = CallAccepted
		t.lastUsedToken, t.highestEpoch, t.grantEpoch, t.expires = c.Token, c.Epoch, c.Epoch, ends
		if c.Kind == CallGrant {
			t.keys = c.KeySet
		}
		if c.Kind == CallRelease {
			t.expires = now
		}
	}
	t.lastToken = max(t.lastToken+1, Token(now))
	r.Token = t.lastToken
	return r
}

// restart starts a new incarnation that knows no grants.
func (t *fakeTarget) restart() {
	*t = fakeTarget{id: t.id, incarnation: t.incarnation + 1, offset: t.offset + types.Instant(time.Hour), rate: t.rate, frozenUntil: t.frozenUntil}
}

func (t *fakeTarget) owns(now types.Instant) bool {
	return !t.down && t.clock(now) < t.expires && !t.keys.Empty()
}

// checkOwners checks that no other target owns a key of t.
func (s *sim) checkOwners(t *fakeTarget) {
	if !t.owns(s.now) {
		return
	}
	for _, o := range s.targets {
		if o == t || !o.owns(s.now) {
			continue
		}
		if both := intersectSlots(t.keys.Slots, o.keys.Slots); len(both) > 0 {
			s.fail("%s and %s own slots %v", t.id, o.id, both)
		}
		for _, k := range t.keys.Keys {
			if o.keys.HasKey(k.Key, types.SlotOf(k.Key, s.cfg.Services[0].Slots)) {
				s.fail("%s and %s own key %d", t.id, o.id, k.Key)
			}
		}
	}
}

// served returns the number of slots that a dispatcher may send to a target that accepts them.
func (s *sim) served() int {
	n := 0
	size := s.cfg.Services[0].Slots
	for _, p := range s.processes {
		if p.down || p.pausedUntil > s.now {
			continue
		}
		for id, v := range p.serving {
			t := s.targets[id]
			if v.ValidUntil <= p.clock(s.now) || t.frozenUntil > s.now || !t.owns(s.now) || t.grantEpoch != v.Epoch {
				continue
			}
			for _, r := range intersect(v.KeySet, t.keys, size).Slots {
				n += int(r.Count)
			}
		}
	}
	return n
}

// outage runs for d and returns the longest time during which some slot was not served, and whether all slots are
// served at the end.
func (s *sim) outage(d time.Duration) (longest time.Duration, recovered bool) {
	var gap time.Duration
	for end := s.now.Add(d); s.now < end; {
		s.run(10 * time.Millisecond)
		gap += 10 * time.Millisecond
		if s.served() == int(s.cfg.Services[0].Slots) {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest, gap == 0
}

// owner returns the target of a slot in the store and the lease of that target.
func (s *sim) owner(slot types.Slot) (types.TargetID, Lease) {
	service := s.cfg.Services[0].Name
	run, _ := s.docs[SlotsKey(service, uint16(slot/SlotsPerDocument))].Slots.Find(slot)
	l, _ := s.docs[LeasesKey(service)].Leases.Find(run.Owner)
	return types.TargetID{Service: service, Target: run.Owner}, l
}

// planner returns the process that holds the planner lease.
func (s *sim) planner() *process {
	i := slices.IndexFunc(s.processes, func(p *process) bool { return p.planner })
	if i < 0 {
		return nil
	}
	return s.processes[i]
}
