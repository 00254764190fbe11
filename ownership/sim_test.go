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

// sim drives cores and fake targets over a fake store, network and clock. It fails the test as soon as two targets own
// one slot, two dispatchers may send to one target, or the store takes a row that breaks the rules.
type sim struct {
	t       rapid.TB
	rng     *rand.Rand
	now     types.Instant
	queue   events
	serial  int
	cfg     *config.Configuration
	docs    map[DocumentKey]Document
	rev     types.Revision
	procs   []*proc
	targets map[types.TargetID]*fakeTarget
	members []Member
	// faults
	storeDown  bool
	storeDelay time.Duration
	drainDelay time.Duration
	loseCAS    float64
	loseCall   float64
	slowCall   float64 // share of messages that take up to 3 s
	drift      float64 // largest error of a clock rate
	cut        map[[2]types.DataCentre]bool
	cutStore   map[types.VM]bool
	cutStoreDC map[types.DataCentre]bool
	planners   int
	log        []string
	decided    map[Reason]int
	violation  string
}

type proc struct {
	mute bool // its questions and answers are lost
	rate float64
	Member
	core    *Core
	down    bool
	paused  types.Instant // paused until
	offset  types.Instant
	serving map[types.TargetID]Serve
	planner bool
	storeOK types.Instant
}

type fakeTarget struct {
	mute    bool // calls reach it, but its answers are lost
	rate    float64
	id      types.TargetID
	inc     types.Incarnation
	offset  types.Instant
	highest types.Epoch
	grant   types.Epoch
	areas   *Areas
	expires types.Instant // on the target's clock
	used    Token
	last    Token
	frozen  types.Instant // frozen until
	down    bool
}

type event struct {
	at     types.Instant
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// testConfig returns one keyed service with targets in each data centre.
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
		cutStore: map[types.VM]bool{}, cutStoreDC: map[types.DataCentre]bool{}, planners: 1, decided: map[Reason]int{},
	}
	for i := range cfg.Services {
		for _, x := range cfg.Services[i].Targets {
			id := types.TargetID{Service: cfg.Services[i].Name, Target: x.Name}
			s.targets[id] = &fakeTarget{id: id, inc: 1, offset: types.Instant(s.rng.Int63n(1e12))}
		}
	}
	for _, dc := range cfg.DataCentres {
		for i := range vmsPerDC {
			s.start(types.VM(fmt.Sprintf("%s-%d", dc.Name, i)), dc.Name, 1)
		}
	}
	s.control()
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

// setDrift gives every clock another rate; the clocks stay continuous.
func (s *sim) setDrift(largest float64) {
	s.drift = largest
	for _, p := range s.procs {
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

// start runs a new process of a VM; its clock starts anew.
func (s *sim) start(vm types.VM, dc types.DataCentre, inc types.Incarnation) *proc {
	p := &proc{
		Member: Member{Peer: Peer{vm, inc}, DataCentre: dc, State: MemberLive}, offset: types.Instant(s.rng.Int63n(1e12)),
		serving: map[types.TargetID]Serve{}, storeOK: s.now,
	}
	p.core = New(Self{p.Peer, dc}, s.cfg)
	s.procs = append(s.procs, p)
	s.tick(p)
	s.readLoop(p)
	return p
}

func (s *sim) proc(vm types.VM) *proc {
	var found *proc
	for _, p := range s.procs {
		if p.VM == vm {
			found = p
		}
	}
	return found
}

// stop ends a process; its VM restarts with start.
func (s *sim) stop(vm types.VM) {
	p := s.proc(vm)
	p.down = true
	p.planner = false
	clear(p.serving)
}

func (p *proc) clock(now types.Instant) types.Instant { return clock(now, p.rate) + p.offset }

func (t *fakeTarget) clock(now types.Instant) types.Instant { return clock(now, t.rate) + t.offset }

func clock(now types.Instant, rate float64) types.Instant {
	return now + types.Instant(float64(now)*rate)
}

// cutOff cuts a data centre from the others and from the store, or connects it again.
func (s *sim) cutOff(dc types.DataCentre, cut bool) {
	s.cutStoreDC[dc] = cut
	for _, o := range s.cfg.DataCentres {
		if o.Name != dc {
			s.cut[[2]types.DataCentre{dc, o.Name}] = cut
			s.cut[[2]types.DataCentre{o.Name, dc}] = cut
		}
	}
}

// on runs f at the process, after its pause if it is paused.
func (s *sim) on(p *proc, f func()) {
	if p.down {
		return
	}
	if p.paused > s.now {
		s.after(p.paused.Sub(s.now), func() { s.on(p, f) })
		return
	}
	f()
}

func (s *sim) step(p *proc, m Message) {
	s.on(p, func() { s.act(p, p.core.Step(p.clock(s.now), m, nil)) })
}

func (s *sim) tick(p *proc) {
	s.on(p, func() {
		s.act(p, p.core.Tick(p.clock(s.now), nil))
		s.after(TickInterval, func() { s.tick(p) })
	})
}

func (s *sim) readLoop(p *proc) {
	s.on(p, func() {
		s.read(p)
		s.after(100*time.Millisecond, func() { s.readLoop(p) })
	})
}

func (s *sim) storeReachable(p *proc) bool {
	return !s.storeDown && !s.cutStore[p.VM] && !s.cutStoreDC[p.DataCentre]
}

// read is one linearizable read of all documents.
func (s *sim) read(p *proc) {
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
			p.storeOK = s.now
			s.step(p, Message{Kind: KindStoreRead, Read: StoreRead{SentAt: sentAt, Documents: docs}})
		})
	})
}

// control reports registrations, which lapse after 2 s without the store, and hands out the planner lease.
func (s *sim) control() {
	s.members = nil
	planners := 0
	for _, p := range s.procs {
		m := p.Member
		if s.now.Sub(p.storeOK) > 2*time.Second || p.down {
			if p.State == MemberLive {
				m.State = MemberLost
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
	for i, p := range s.procs {
		if planners < s.planners && !p.planner && !p.down && s.members[i].State == MemberLive && s.storeReachable(p) {
			p.planner = true
			planners++
			s.step(p, Message{Kind: KindPlannerGained})
		}
	}
	for _, p := range s.procs {
		if s.storeReachable(p) {
			s.step(p, Message{Kind: KindMembers, Members: s.members})
		}
	}
	s.after(100*time.Millisecond, s.control)
}

func (s *sim) act(p *proc, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActDecision:
			s.decided[a.Decision.Reason]++
			s.note("%s %s %s/%s epoch %d slots %d", p.VM, a.Decision.Reason, a.Decision.Document, a.Decision.Target,
				a.Decision.Epoch, a.Decision.Slots)
		case ActGrant, ActRenew, ActRelease:
			s.call(p, a.Call)
		case ActWrite:
			s.write(p, a.Write)
		case ActReadBack:
			s.readBack(p, a.Write)
		case ActVouch:
			s.send(p, a.Vouch.Member, Message{Kind: KindVouchRequest, Vouch: a.Vouch})
		case ActVouchReply:
			s.send(p, a.VouchReply.Asker, Message{Kind: KindVouchReply, VouchReply: a.VouchReply})
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

func (s *sim) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", time.Duration(s.now).Seconds())+fmt.Sprintf(format, args...))
}

func (s *sim) drain(p *proc, v Serve) {
	s.after(s.latency()+s.drainDelay, func() {
		s.step(p, Message{Kind: KindDrained, Drained: Drained{Target: v.Target, Number: v.Number}})
	})
}

// serve checks that no other dispatcher may send to the target.
func (s *sim) serve(p *proc, v Serve) {
	if p.serving[v.Target].Number != v.Number {
		s.drain(p, v)
	}
	p.serving[v.Target] = v
	for _, o := range s.procs {
		w, ok := o.serving[v.Target]
		if o != p && ok && !o.down && w.ValidUntil > o.clock(s.now) && v.ValidUntil > p.clock(s.now) {
			s.fail("%s and %s may both send to %s", p.VM, o.VM, v.Target)
		}
	}
}

// send delivers a message to the VM of a process, whichever incarnation runs there.
func (s *sim) send(from *proc, to Peer, m Message) {
	o := s.proc(to.VM)
	if o == nil || from.mute || o.mute || s.cut[[2]types.DataCentre{from.DataCentre, o.DataCentre}] || s.rng.Float64() < s.loseCall {
		return
	}
	s.after(s.latency(), func() {
		if !s.cut[[2]types.DataCentre{from.DataCentre, o.DataCentre}] {
			s.step(o, m)
		}
	})
}

func (s *sim) write(p *proc, w Write) {
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

func (s *sim) readBack(p *proc, w Write) {
	s.after(s.latency()+s.storeDelay, func() {
		r := ReadBackResult{Document: s.docs[w.Document.Key], Failed: !s.storeReachable(p)}
		r.Document.Key = w.Document.Key
		s.after(s.latency(), func() { s.step(p, Message{Kind: KindReadBack, ReadBack: r}) })
	})
}

// apply stores a document after checking that its rows follow from the present ones.
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
	for _, p := range s.procs {
		if s.storeReachable(p) && !p.down {
			s.on(p, func() { s.read(p) })
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

func (s *sim) call(p *proc, c TargetCall) {
	t := s.targets[c.Target]
	s.after(s.latency(), func() { s.deliver(p, t, c) })
}

// deliver runs a call at the target, once it is no longer frozen.
func (s *sim) deliver(p *proc, t *fakeTarget, c TargetCall) {
	if t.frozen > s.now {
		s.after(t.frozen.Sub(s.now), func() { s.deliver(p, t, c) })
		return
	}
	if t.down || s.rng.Float64() < s.loseCall || s.cut[[2]types.DataCentre{p.DataCentre, s.dataCentre(t.id)}] {
		return
	}
	r := t.handle(t.clock(s.now), c)
	s.checkOwners(t)
	if !t.mute && s.rng.Float64() >= s.loseCall {
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

// handle is the contract of TargetCall.
func (t *fakeTarget) handle(now types.Instant, c TargetCall) CallResult {
	r := CallResult{Target: t.id, Number: c.Number, Incarnation: t.inc}
	ends := types.Instant(c.Token).Add(milliseconds(c.TTLMs))
	switch {
	case c.Epoch < t.highest:
		r.Status = CallStaleEpoch
	case c.Epoch == t.highest && t.grant == c.Epoch && now >= t.expires:
		r.Status = CallExpired
	case c.Incarnation != t.inc || c.Token <= t.used || now >= ends, c.Kind == CallRenew && c.Epoch != t.grant:
		r.Status = CallStaleToken
	default:
		r.Status = CallAccepted
		t.used, t.highest, t.grant, t.expires = c.Token, c.Epoch, c.Epoch, ends
		if c.Kind == CallGrant {
			t.areas = c.Areas
		}
		if c.Kind == CallRelease {
			t.expires = now
		}
	}
	t.last = max(t.last+1, Token(now))
	r.Token = t.last
	return r
}

// restart loses the target's memory.
func (t *fakeTarget) restart() {
	*t = fakeTarget{id: t.id, inc: t.inc + 1, offset: t.offset + types.Instant(time.Hour), rate: t.rate, frozen: t.frozen}
}

func (t *fakeTarget) owns(now types.Instant) bool {
	return !t.down && t.clock(now) < t.expires && !t.areas.Empty()
}

func (s *sim) checkOwners(t *fakeTarget) {
	if !t.owns(s.now) {
		return
	}
	for _, o := range s.targets {
		if o == t || !o.owns(s.now) {
			continue
		}
		if both := intersectSlots(t.areas.Slots, o.areas.Slots); len(both) > 0 {
			s.fail("%s and %s own slots %v", t.id, o.id, both)
		}
		for _, k := range t.areas.Keys {
			if o.areas.HasKey(k.Key, types.SlotOf(k.Key, s.cfg.Services[0].Slots)) {
				s.fail("%s and %s own key %d", t.id, o.id, k.Key)
			}
		}
	}
}

// served returns the number of slots that some dispatcher may send to a target that accepts them.
func (s *sim) served() int {
	n := 0
	size := s.cfg.Services[0].Slots
	for _, p := range s.procs {
		if p.down || p.paused > s.now {
			continue
		}
		for id, v := range p.serving {
			t := s.targets[id]
			if v.ValidUntil <= p.clock(s.now) || t.frozen > s.now || !t.owns(s.now) || t.grant != v.Epoch {
				continue
			}
			for _, r := range intersect(v.Areas, t.areas, size).Slots {
				n += int(r.Count)
			}
		}
	}
	return n
}

// outage runs for d and returns the longest time without full service, and the time until it was back at the end.
func (s *sim) outage(d time.Duration) (longest time.Duration, back bool) {
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

// owner returns the target and dispatcher of a slot as the store has them.
func (s *sim) owner(slot types.Slot) (types.TargetID, Lease) {
	service := s.cfg.Services[0].Name
	run, _ := s.docs[SlotsKey(service, uint16(slot/SlotsPerDocument))].Slots.Find(slot)
	l, _ := s.docs[LeasesKey(service)].Leases.Find(run.Owner)
	return types.TargetID{Service: service, Target: run.Owner}, l
}

// planner returns the process with the planner lease.
func (s *sim) planner() *proc {
	i := slices.IndexFunc(s.procs, func(p *proc) bool { return p.planner })
	if i < 0 {
		return nil
	}
	return s.procs[i]
}
