package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// readFault is what happens to the first read of each prefix that a VM makes after the store has gone silent for others.
type readFault int

const (
	readAnswered readFault = iota
	readRefused
	readUnanswered
)

// propagationCase describes a simulated fleet of one data centre. The store goes silent for all watching VMs and the
// coordinator, and acknowledges a target's leaving shortly after or before.
type propagationCase struct {
	deadline time.Duration
	// silentAt is the time of the silence in a fleet that has settled, leavingAfter that of the leaving from then on.
	silentAt     time.Duration
	leavingAfter time.Duration
	// revoke removes the entries of the VMs that are cut off.
	revoke bool
	// busy changes other registrations all the time, so that the watches pause.
	busy      bool
	firstRead readFault
	// loadReports makes the VMs send load reports, by which the others know them while the store doesn't list them.
	loadReports bool
}

const (
	simVMs = 14
	// simSettleTime is how long the fleet runs before anything is measured.
	simSettleTime = 6 * time.Second
	// simPatience is how long after the leaving the VMs are observed.
	simPatience = 8 * time.Second
	// simStartInterval is the time between the starts of two VMs. The race detector of Go 1.26.8 crashes when timers of a synctest
	// bubble are due at the same instant and one of them starts a goroutine.
	simStartInterval = 10007 * time.Nanosecond
	// simTargets is the number of targets besides the leaving one.
	simTargets = 20
)

// simFleet runs the store caches, watches and sessions of a fleet on simulated time. Datagrams and mirror queries are passed on
// in memory.
type simFleet struct {
	propagationCase
	store *backend.Server
	// groups are the duties of the store and of each VM.
	groups []*duty.Group
	vms    map[types.VM]*simVM
	began  time.Time
	// silent holds the VMs that the store doesn't answer.
	silent atomic.Pointer[map[types.VM]bool]
	// refuses is true if the store refuses the silent VMs at once.
	refuses bool
	// failed holds the first reads that have failed, by VM and prefix.
	failed sync.Map
	// listTime bounds the time that a list takes, in nanoseconds.
	listTime atomic.Int64
}

// simVM is one VM of a simulated fleet.
type simVM struct {
	edge    *Edge
	reports *ring.Ring[report]
	members *ring.Ring[membership]
	heard   *ring.Ring[correspondent]
	// learntAt is when admission was told that the target leaves, as time since the start; 0 while it was not.
	learntAt atomic.Int64
}

// simStore is the store as one VM sees it.
type simStore struct {
	store.Store
	fleet *simFleet
	vm    types.VM
}

// answer delays a call and withholds its answer while the store is silent for the VM.
func (s *simStore) answer(ctx context.Context, took time.Duration, call func() error) error {
	if !duty.Pause(ctx, time.Millisecond+rand.N(4*time.Millisecond)) || s.isSilent() {
		if !s.fleet.refuses {
			<-ctx.Done()
		}
		return types.NewFault(types.CodeStoreUnavailable, "no answer")
	}
	err := call()
	if !duty.Pause(ctx, time.Millisecond+took) || s.isSilent() {
		<-ctx.Done()
		return types.NewFault(types.CodeStoreUnavailable, "no answer")
	}
	return err
}

func (s *simStore) isSilent() bool {
	m := s.fleet.silent.Load()
	return m != nil && (*m)[s.vm]
}

func (s *simStore) List(ctx context.Context, prefix string) (list []store.Entry, r types.Revision, err error) {
	if s.fleet.silent.Load() != nil && !s.isSilent() && s.fleet.firstRead != readAnswered {
		if _, again := s.fleet.failed.LoadOrStore(string(s.vm)+prefix, true); !again {
			if s.fleet.firstRead == readUnanswered {
				<-ctx.Done()
			}
			return nil, 0, types.NewFault(types.CodeStoreUnavailable, "no answer")
		}
	}
	took := rand.N(time.Duration(s.fleet.listTime.Load()))
	err = s.answer(ctx, took, func() error { list, r, err = s.Store.List(ctx, prefix); return err })
	return list, r, err
}

func (s *simStore) Get(ctx context.Context, key string) (e store.Entry, err error) {
	err = s.answer(ctx, 0, func() error { e, err = s.Store.Get(ctx, key); return err })
	return e, err
}

func (s *simStore) CAS(ctx context.Context, w store.Write) (r types.Revision, err error) {
	err = s.answer(ctx, 0, func() error { r, err = s.Store.CAS(ctx, w); return err })
	return r, err
}

func (s *simStore) GrantLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.answer(ctx, 0, func() error { id, err = s.Store.GrantLease(ctx, ttl); return err })
	return id, err
}

func (s *simStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.answer(ctx, 0, func() error { return s.Store.KeepAlive(ctx, id) })
}

func (s *simStore) Watch(ctx context.Context, prefix string, after types.Revision) (list []store.Event, r types.Revision, err error) {
	err = s.answer(ctx, 0, func() error { list, r, err = s.Store.Watch(ctx, prefix, after); return err })
	return list, r, err
}

// newSimFleet starts a fleet in the current synctest bubble.
func newSimFleet(ctx context.Context, t *testing.T, c propagationCase) *simFleet {
	f := &simFleet{
		propagationCase: c, store: backend.New(backend.DefaultHistory),
		vms: make(map[types.VM]*simVM), began: time.Now(),
	}
	f.listTime.Store(int64(150 * time.Millisecond))
	f.start(ctx, t, f.store.Duty())
	f.put(ctx, t, standin.ConfigurationKey, standin.Configuration(1, nil, []standin.Service{{Name: "orders"}}))
	for i := range simTargets {
		f.register(ctx, t, fmt.Sprintf("i-%d", i), 1, false)
	}
	f.register(ctx, t, "leaving", 1, false)
	for i := range simVMs {
		duty.Pause(ctx, simStartInterval)
		f.startVM(ctx, t, types.VM(fmt.Sprintf("vm-%02d", i)))
	}
	return f
}

// start runs duties until stop is called.
func (f *simFleet) start(ctx context.Context, t *testing.T, duties ...duty.Duty) {
	g := duty.NewGroup()
	for _, d := range duties {
		g.Add(d)
	}
	f.launch(ctx, t, g)
}

func (f *simFleet) launch(ctx context.Context, t *testing.T, g *duty.Group) {
	f.groups = append(f.groups, g)
	if err := g.Start(ctx); err != nil {
		t.Fatal(err)
	}
}

// stop ends all duties, those of the store last.
func (f *simFleet) stop(ctx context.Context, t *testing.T) {
	for _, g := range slices.Backward(f.groups) {
		if err := g.Abort(ctx); err != nil {
			t.Error(err)
		}
	}
}

func (f *simFleet) put(ctx context.Context, t *testing.T, key string, value []byte) {
	t.Helper()
	if err := standin.Replace(ctx, f.store.Client("operator"), store.Write{Key: key, Value: value}); err != nil {
		t.Fatal(err)
	}
}

// register writes a registration. Its text differs from that of another number of slots.
func (f *simFleet) register(ctx context.Context, t *testing.T, id string, slots int, draining bool) {
	t.Helper()
	s := standin.TargetSettings{Target: types.Target(id), Incarnation: 1, Service: "orders", DataCentre: "north", Slots: slots}
	key, value := standin.Registration(s, "10.0.0.1:"+fmt.Sprint(1000+len(id)), draining, 0)
	f.put(ctx, t, key, value)
}

func (f *simFleet) now() types.Instant { return types.Instant(time.Hour + time.Since(f.began)) }

// simLog is where the log lines of the VMs go, for a closer look at a failing case.
func simLog() io.Writer {
	if os.Getenv("PROPAGATION_LOG") != "" {
		return os.Stdout
	}
	return io.Discard
}

// simMirrorAddress returns the mirror address of a VM, simMirrorVM the VM at such an address.
func simMirrorAddress(name types.VM) string {
	return "10.0.0.1:1" + strings.TrimPrefix(string(name), "vm-")
}

func simMirrorVM(address string) types.VM {
	return types.VM("vm-" + strings.TrimPrefix(address, "10.0.0.1:1"))
}

func (f *simFleet) startVM(ctx context.Context, t *testing.T, name types.VM) {
	v := &simVM{
		reports: ring.New[report](reportCapacity), members: ring.New[membership](1), heard: ring.New[correspondent](correspondentCapacity),
	}
	f.vms[name] = v
	e := &Edge{
		settings: platform.Settings{
			VM: name, DataCentre: "north", Cores: 1, IP: "10.0.0.1", PeerPort: 1, MirrorAddress: simMirrorAddress(name),
			MinLeaseTTL: time.Second, ChangeDeadline: f.deadline,
		},
		log: telemetry.NewLog(simLog(), log.Fields{"vm": name}), metrics: telemetry.NewMetrics(), group: duty.NewGroup(), clock: f.now, queryMirror: f.queryMirror,
		admission: ring.New[any](admissionCapacity), coordinator: ring.New[any](coordinatorCapacity),
	}
	e.store = &meteredStore{Store: &simStore{Store: f.store.Client(string(name)), fleet: f, vm: name}, metrics: e.metrics, log: e.log}
	v.edge = e
	e.addStoreCache(v.members, v.reports)
	e.addSession()
	e.group.Add(e.log.Duty())
	e.group.Add(duty.Duty{Name: "peers", Run: func(ctx context.Context) error { return f.passReports(ctx, name, v) }})
	if f.loadReports {
		e.group.Add(duty.Duty{Name: "load-reports", Run: v.reportLoad})
	}
	e.group.Add(duty.Duty{Name: "admission", Run: func(ctx context.Context) error { return f.observe(ctx, v) }})
	e.group.Add(duty.Duty{Name: "coordinator", Run: func(ctx context.Context) error {
		e.coordinator.Serve(ctx, func(any) error { return nil })
		return nil
	}})
	f.launch(ctx, t, e.group)
}

// reportLoad sends load reports until ctx ends.
func (v *simVM) reportLoad(ctx context.Context) error {
	for duty.Pause(ctx, reportRefresh) {
		_ = v.reports.Replace(report{to: toDataCentre, load: &admission.PeerReport{VM: v.edge.settings.VM}})
	}
	return nil
}

// passReports passes the reports of a VM to their recipients.
func (f *simFleet) passReports(ctx context.Context, name types.VM, v *simVM) error {
	sender := &peerSender{vm: name, dataCentre: "north", now: f.now, log: v.edge.log, correspondents: make(map[types.VM]correspondent)}
	send := func(r report) {
		data, err := encodeReport(name, r)
		if err != nil {
			panic(err)
		}
		for _, remote := range sender.remotes {
			if sender.isRecipient(r, remote) {
				f.deliver(ctx, data, remote.VM)
			}
		}
		for _, c := range sender.unlisted(f.now()) {
			if sender.isUnlistedRecipient(r, c) {
				f.deliver(ctx, data, c.vm)
			}
		}
	}
	for {
		v.members.Drain(sender.setMembers)
		v.heard.Drain(sender.addCorrespondent)
		v.reports.Drain(send)
		select {
		case <-v.reports.Ready():
		case <-v.members.Ready():
		case <-v.heard.Ready():
		case <-ctx.Done():
			return nil
		}
	}
}

// deliver passes an encoded report to a VM after the delay of the network.
func (f *simFleet) deliver(ctx context.Context, data []byte, name types.VM) {
	to := f.vms[name]
	if to == nil {
		return
	}
	receiver := peerReceiver{admission: to.edge.admission, coordinator: to.edge.coordinator, storeCache: to.edge.storeCache.in}
	time.AfterFunc(time.Millisecond+rand.N(9*time.Millisecond), func() {
		if from, r, err := decodeReport(data); err == nil {
			_ = to.heard.TryPut(correspondent{vm: from, neighbour: r.load != nil, heardAt: f.now()})
			receiver.dispatch(ctx, from, r)
		}
	})
}

// observe records when the VM's admission learns that the target leaves.
func (f *simFleet) observe(ctx context.Context, v *simVM) error {
	seen := false
	v.edge.admission.Serve(ctx, func(m any) error {
		list, ok := m.(admission.Targets)
		if !ok {
			return nil
		}
		usable := false
		for _, target := range list.Targets {
			usable = usable || (target.Target == "leaving" && !target.Draining)
		}
		seen = seen || usable
		if seen && !usable && v.learntAt.Load() == 0 {
			v.learntAt.Store(int64(time.Since(f.began)))
		}
		return nil
	})
	return nil
}

// queryMirror is the simulated network between the mirror clients and services.
func (f *simFleet) queryMirror(ctx context.Context, address string, q MirrorQuestion) (a MirrorAnswer, err error) {
	duty.Pause(ctx, 2*time.Millisecond+rand.N(20*time.Millisecond))
	m := &Mirror{storeCache: f.vms[simMirrorVM(address)].edge.storeCache.in}
	err = m.Read(q, &a)
	duty.Pause(ctx, 2*time.Millisecond+rand.N(20*time.Millisecond))
	return a, err
}

// watchingVMs returns the VMs that watch the store by rank, and the coordinator.
func (f *simFleet) watchingVMs(ctx context.Context, t *testing.T) map[types.VM]bool {
	silent := make(map[types.VM]bool)
	for i := range watcherCount(simVMs - 1) {
		silent[types.VM(fmt.Sprintf("vm-%02d", i))] = true
	}
	e, err := f.store.Client("operator").Get(ctx, coordinatorKey)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decodeJSON[coordinatorEntry](e.Value)
	if err != nil {
		t.Fatal(err)
	}
	silent[c.VM] = true
	return silent
}

// silence makes the store silent for the given VMs and removes their entries if the case says so.
func (f *simFleet) silence(ctx context.Context, t *testing.T, vms map[types.VM]bool) {
	f.silent.Store(&vms)
	if !f.revoke {
		return
	}
	for name := range vms {
		if err := standin.Replace(ctx, f.store.Client("operator"), store.Write{Key: vmPrefix + string(name), Delete: true}); err != nil {
			t.Fatal(err)
		}
	}
	if err := standin.Replace(ctx, f.store.Client("operator"), store.Write{Key: coordinatorKey, Delete: true}); err != nil {
		t.Fatal(err)
	}
}

// changeOthers changes registrations of other targets until ctx ends.
func (f *simFleet) changeOthers(ctx context.Context, t *testing.T) {
	for n := 2; duty.Pause(ctx, 150*time.Millisecond); n++ {
		f.register(context.WithoutCancel(ctx), t, fmt.Sprintf("i-%d", n%simTargets), n, false)
	}
}

// calls returns the number of calls to the store of all VMs, by kind.
func (f *simFleet) calls() (n [storeCallKinds]uint64) {
	for _, v := range f.vms {
		for k := range n {
			n[k] += v.edge.store.counts[k].Load()
		}
	}
	return n
}

// run plays the case and returns how long after the acknowledgement the last VM that the store answers learnt of the leaving.
func (f *simFleet) run(ctx context.Context, t *testing.T) time.Duration {
	if f.busy {
		others, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.changeOthers(others, t)
		}()
		defer func() { cancel(); <-done }()
	}
	duty.Pause(ctx, simSettleTime+f.silentAt)
	silent := f.watchingVMs(ctx, t)
	if f.leavingAfter < 0 {
		f.register(ctx, t, "leaving", 1, true)
	}
	acknowledgedAt := time.Since(f.began)
	if f.leavingAfter < 0 {
		duty.Pause(ctx, -f.leavingAfter)
	}
	f.silence(ctx, t, silent)
	if f.leavingAfter >= 0 {
		duty.Pause(ctx, f.leavingAfter)
		f.register(ctx, t, "leaving", 1, true)
		acknowledgedAt = time.Since(f.began)
	}
	for time.Since(f.began) < acknowledgedAt+simPatience && duty.Pause(ctx, 100*time.Millisecond) {
		if latest, all := f.learnt(silent); all {
			return latest - acknowledgedAt
		}
	}
	return simPatience
}

// learnt returns when the last VM that the store answers learnt of the leaving, as time since the start, and whether all did.
func (f *simFleet) learnt(silent map[types.VM]bool) (latest time.Duration, all bool) {
	for name, v := range f.vms {
		at := time.Duration(v.learntAt.Load())
		if at == 0 && !silent[name] {
			return 0, false
		}
		if !silent[name] {
			latest = max(latest, at)
		}
	}
	return latest, true
}

// Guards against store calls, which are priced, that a fleet makes without need while nothing fails.
func TestCalmFleetMakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t.Context(), t, propagationCase{deadline: 2500 * time.Millisecond})
		defer f.stop(context.Background(), t)
		duty.Pause(t.Context(), simSettleTime)
		before := f.calls()
		const measured = 20 * time.Second
		duty.Pause(t.Context(), measured)
		for kind, n := range f.calls() {
			t.Logf("start %d, %.2f a second: %s", before[kind], float64(n-before[kind])/measured.Seconds(), storeCallNames[kind])
		}
		price := f.callPrice(before) / measured.Seconds()
		if price > calmCallPrice {
			t.Errorf("%.2f calls a second in renewals of a tenth, at most %.2f wanted", price, calmCallPrice)
		}
	})
}

// callPrice returns the price of the store calls that the VMs made since the given numbers, in calls of full price.
func (f *simFleet) callPrice(before [storeCallKinds]uint64) (price float64) {
	for kind, n := range f.calls() {
		weight := 1.0
		if storeCallKind(kind) == callRenewal {
			weight = renewalPrice
		}
		price += weight * float64(n-before[kind])
	}
	return price
}

// renewalPrice is the price of a renewal relative to other calls.
const renewalPrice = 0.1

// Guards against VMs that start and stop their watches again and again after the watching VMs were cut off, since each start costs a
// read and a watch call for each prefix.
func TestFleetSettlesWithoutWatchers(t *testing.T) {
	for _, revoke := range []bool{true, false} {
		t.Run(fmt.Sprintf("revoke=%v", revoke), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t.Context(), t, propagationCase{deadline: 2500 * time.Millisecond, revoke: revoke, leavingAfter: time.Millisecond})
				defer f.stop(context.Background(), t)
				duty.Pause(t.Context(), simSettleTime)
				before := f.calls()
				f.silence(t.Context(), t, f.watchingVMs(t.Context(), t))
				duty.Pause(t.Context(), simSettleTime)
				price := f.callPrice(before)
				t.Logf("calls of full price: %.1f", price)
				if price > silenceCallPrice {
					t.Errorf("calls of full price in %v: %.1f, at most %.1f wanted", simSettleTime, price, silenceCallPrice)
				}
			})
		})
	}
}

// Guards against VMs that go on watching although enough others do. In a trial on zcsp-brana-grown ten VMs of a data centre
// watched instead of three: each digest that arrived put off the decision.
func TestFrequentDigestsDoNotDelayDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() types.Instant { return types.Instant(time.Hour + time.Since(began)) }
		sc, _ := newTestCache(now())
		sc.now, sc.in = now, ring.New[any](updateCapacity)
		sc.admission, sc.coordinator, sc.memberships = ring.New[any](64), ring.New[any](64), ring.New[membership](1)
		for _, name := range []types.VM{"vm-0a", "vm-0b", "vm-2"} {
			sc.vms[name] = vmEntry{VM: name, DataCentre: "north", Cores: 1}
		}
		sc.coordinatorVM = "vm-9"
		g := duty.NewGroup()
		g.Add(sc.duty())
		if err := g.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = g.Abort(context.Background()) }()
		duty.Pause(t.Context(), sc.reliance+maintenanceInterval)
		orders := make(map[string]watchOrder)
		for _, prefix := range watchedPrefixes {
			o, ok := sc.watchOrders[prefix].TryGet()
			if !ok || o.ctx.Err() != nil {
				t.Fatalf("%s is not watched, although no neighbour is heard", prefix)
			}
			orders[prefix] = o
			_ = sc.in.Put(t.Context(), update{prefix: prefix, order: o.number})
		}
		for began := time.Now(); time.Since(began) < time.Second; duty.Pause(t.Context(), 50*time.Millisecond) {
			for _, prefix := range watchedPrefixes {
				for _, name := range []types.VM{"vm-0a", "vm-0b"} {
					_ = sc.in.Put(t.Context(), peerDigest{from: name, digest: digest{prefix: prefix}})
				}
			}
		}
		for prefix, o := range orders {
			if o.ctx.Err() == nil {
				t.Errorf("%s is still watched", prefix)
			}
		}
	})
}

// Guards against store calls of a VM that is cut off from the store, and to which watching VMs send no digests because its entry
// is gone: it asks its neighbours, and their answer that nothing has changed counts.
func TestMirrorAnswerConfirmsTheSameCopy(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	other, _ := newTestCache(now)
	followAll(other, now)
	sc, _ := newTestCache(now)
	// The other VM has read the prefix at a later revision, without a change of it.
	other.prefixCache[platform.OperatorPrefix].knownRevision = 9
	sc.queueMirrorRequest(platform.OperatorPrefix, "vm-2")
	request, _ := sc.mirrorRequests.TryGet()
	q := mirrorQuery{question: request.question, reply: make(chan MirrorAnswer, 2)}
	other.answerMirrorQuery(now.Add(time.Millisecond), q)
	a := <-q.reply
	is.True(a.Same)
	is.Equal(a.Age, time.Millisecond)
	sc.now = func() types.Instant { return now.Add(2 * time.Millisecond) }
	sc.apply(t.Context(), update{prefix: platform.OperatorPrefix, mirrored: true, same: a.Same, revision: q.question.Known, age: a.Age})
	is.Equal(sc.prefixCache[platform.OperatorPrefix].confirmedAt, now.Add(time.Millisecond))
	other.answerMirrorQuery(now.Add(other.reliance+time.Millisecond), q)
	a = <-q.reply
	is.True(!a.Same && !a.Newer)
}

// silenceCallPrice bounds the calls of the simulated fleet in simSettleTime after the watching VMs were cut off.
const silenceCallPrice = 170.0

// calmCallPrice bounds the priced store calls of the simulated fleet, a second: renewals of all VMs and of the coordinator,
// and the reads of the coordinator.
const calmCallPrice = 5.0

// Guards against requests to a leaving target after the platform's bound, because all VMs that watch the store for their data
// centre were cut off right before it left. In the test run zcsp-brana-grown trouble-1 (seed 133855392612) VMs that had just
// begun to watch heard of each other and stopped again, and the others relied on them.
func TestLeavingTargetIsKnownInTimeWithoutWatchers(t *testing.T) {
	for _, deadline := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		for seed := range 12 {
			c := propagationCase{
				deadline: deadline, silentAt: time.Duration(seed) * 80 * time.Millisecond, revoke: seed%2 == 0, busy: seed%4 >= 2,
				firstRead: readFault(seed / 2 % 3), leavingAfter: []time.Duration{time.Millisecond, 120 * time.Millisecond, -time.Millisecond}[seed%3],
			}
			t.Run(fmt.Sprintf("%v/%d", deadline, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimFleet(t.Context(), t, c)
					defer f.stop(context.Background(), t)
					took := f.run(t.Context(), t)
					if took > deadline-forwardingReserve {
						t.Errorf("the last VM learnt of the leaving %v after it; bound %v less %v", took, deadline, forwardingReserve)
					}
				})
			})
		}
	}
}
