package edge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

func revision(era types.Era, number uint64) types.Revision {
	r, _ := types.NewRevision(era, number)
	return r
}

// eraElection is an election of two VMs at a store that goes back to snapshots. The time of the sessions is set by the test.
type eraElection struct {
	backend       *backend.Server
	address       string
	now           types.Instant
	first, second *session
}

func newEraElection(t *testing.T) *eraElection {
	t.Helper()
	g, b := duty.NewGroup(), backend.New(backend.DefaultHistory)
	l, err := standin.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	g.Add(b.Duty())
	g.Add(standin.StoreDuty(l, b, "vm"))
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Abort(context.Background()) })
	e := &eraElection{backend: b, address: l.Addr().String(), now: telemetry.Now()}
	e.first, e.second = e.process(t, "vm-1"), e.process(t, "vm-2")
	return e
}

// process returns the session of a VM that has read the store.
func (e *eraElection) process(t *testing.T, name types.VM) *session {
	t.Helper()
	client := platform.NewStore(e.address)
	s := newCandidate(client, newRegistryCache(e.now))
	s.storeCache = ring.New[any](64)
	s.coordinator = ring.New[any](64)
	s.entry.VM, s.entry.Incarnation = name, 1
	s.now, s.storeEra, s.continueTime = func() types.Instant { return e.now }, client.Era, 10*time.Second
	e.tell(t, s)
	return s
}

// tell passes the coordinator entry of the store to a session, as the store cache does.
func (e *eraElection) tell(t *testing.T, s *session) {
	t.Helper()
	entry, err := s.store.Get(t.Context(), coordinatorKey)
	state := coordinatorState{revision: max(entry.Revision, 1)}
	if err == nil {
		state, _ = coordinatorStateOf(entry)
	}
	s.updateState(t.Context(), state)
}

// messages returns what a session has told the coordinator duty.
func messages(s *session) (list []any) {
	s.coordinator.Drain(func(m any) { list = append(list, m) })
	return list
}

// restore makes the store go back to a content without any entry.
func (e *eraElection) restore(t *testing.T) {
	t.Helper()
	if err := e.backend.Restore(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Fails if the VM that is the coordinator when the store goes back doesn't become it again at once, or goes on under its old lease.
func TestCoordinatorIsElectedAgainInTheNextEra(t *testing.T) {
	is := is.New(t)
	e := newEraElection(t)
	is.NoErr(e.first.renew(t.Context()))
	e.first.campaign(t.Context())
	is.True(e.first.elected)
	old, oldEntry := e.first.roleLease, e.first.lease
	messages(e.first)
	e.restore(t)
	e.first.renewDue(t.Context())
	is.True(e.first.elected)
	is.True(e.first.roleLease > old && e.first.lease > oldEntry)
	is.True(e.first.registered)
	elected, ok := messages(e.first)[0].(keyspace.Elected)
	is.True(ok && elected.Acquired)
	is.Equal(elected.Era, types.Era(1))
	e.tell(t, e.first)
	is.True(e.first.elected)
}

// Fails if a VM that knows of a coordinator of the earlier era stands for election before that one's role has expired, or never.
func TestOtherVMsWaitForTheCoordinatorOfTheEarlierEra(t *testing.T) {
	is := is.New(t)
	e := newEraElection(t)
	e.first.campaign(t.Context())
	e.tell(t, e.second)
	is.NoErr(e.second.renew(t.Context()))
	e.restore(t)
	began := e.now
	for e.now.Sub(began) < roleTTL {
		e.second.renewDue(t.Context())
		e.tell(t, e.second)
		is.True(!e.second.elected)
		e.now = e.now.Add(100 * time.Millisecond)
	}
	e.second.renewDue(t.Context())
	is.True(e.second.elected)
	e.first.renewDue(t.Context()) // its role has expired
	is.True(!e.first.elected && !e.first.continuing)
}

// Fails if a coordinator whose role had expired when it saw the new era, or that finds another one, goes on from what it knows.
func TestLaterCoordinatorEndsContinuation(t *testing.T) {
	is := is.New(t)
	e := newEraElection(t)
	e.first.campaign(t.Context())
	e.restore(t)
	// The second VM knows of no coordinator, so it doesn't wait.
	e.tell(t, e.second)
	e.second.campaign(t.Context())
	is.True(e.second.elected)
	messages(e.first)
	e.first.renewDue(t.Context())
	is.True(!e.first.elected && !e.first.continuing)
	is.Equal(messages(e.first), []any{keyspace.Deposed{}})
	e.tell(t, e.first)
	is.True(!e.first.mayCampaign())
}

// Fails if the coordinator entry of a snapshot counts as that of a coordinator, or keeps the VMs from electing one.
func TestCoordinatorEntryOfTheSnapshotIsReplaced(t *testing.T) {
	is := is.New(t)
	e := newEraElection(t)
	e.second.campaign(t.Context())
	is.NoErr(e.backend.Snapshot(t.Context()))
	is.NoErr(e.second.store.RevokeLease(t.Context(), e.second.roleLease))
	e.first.campaign(t.Context())
	is.True(e.first.elected)
	e.restore(t)
	entry, err := e.first.store.Get(t.Context(), coordinatorKey)
	is.NoErr(err)
	state, err := coordinatorStateOf(entry)
	is.NoErr(err)
	is.True(!state.present && state.ofEarlierEra)
	e.first.renewDue(t.Context())
	is.True(e.first.elected)
	entry, err = e.first.store.Get(t.Context(), coordinatorKey)
	is.NoErr(err)
	state, err = coordinatorStateOf(entry)
	is.NoErr(err)
	is.True(state.present)
	is.Equal(state.entry.VM, types.VM("vm-1"))
}

// restoredCache is a store cache that knows a snapshot of each prefix from the first era.
func restoredCache(t *testing.T, now *types.Instant, entries map[string][]store.Entry) *storeCache {
	t.Helper()
	sc := newRegistryCache(*now)
	sc.session = ring.New[coordinatorState](1)
	sc.now = func() types.Instant { return *now }
	for _, prefix := range watchedPrefixes {
		sc.apply(t.Context(), update{prefix: prefix, snapshot: true, revision: revision(0, 20), entries: entries[prefix]})
	}
	return sc
}

// list passes what the restored store holds of a prefix to a cache.
func (sc *storeCache) list(t *testing.T, prefix string, number uint64, entries ...store.Entry) {
	t.Helper()
	sc.apply(t.Context(), update{prefix: prefix, snapshot: true, revision: revision(1, number), entries: entries})
}

func evacuation(era types.Era) store.Entry {
	return store.Entry{Key: "op/evacuate/north", Revision: revision(era, 5)}
}

// evacuated reports whether the only target's data centre is out of service.
func (sc *storeCache) evacuated() bool { return sc.registry.List()[0].Evacuated }

// Guards against an older configuration that comes into force again, and against requests to a data centre whose evacuation the
// snapshot lacks, before the operator could write it again.
func TestOperatorEntriesOutliveTheReturnToASnapshot(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	configuration := func(version uint32, era types.Era) store.Entry {
		return store.Entry{Key: standin.ConfigurationKey, Value: standin.Configuration(version, nil, nil), Revision: revision(era, 4)}
	}
	sc := restoredCache(t, &now, map[string][]store.Entry{
		platform.OperatorPrefix: {configuration(9, 0), evacuation(0)}, platform.TargetPrefix: {goodRegistration("i-1", 6)},
	})
	is.True(sc.evacuated())
	sc.list(t, platform.OperatorPrefix, 10, configuration(8, 1))
	is.Equal(sc.configuration.Version(), types.Version(9))
	is.True(sc.evacuated())
	now = now.Add(4900 * time.Millisecond)
	sc.registry.Expire(now)
	is.True(sc.evacuated())
	now = now.Add(200 * time.Millisecond)
	is.True(sc.registry.Expire(now))
	is.True(!sc.evacuated())
	// An evacuation that the snapshot brings back counts until the operator removes it.
	sc.list(t, platform.OperatorPrefix, 11, configuration(9, 1), evacuation(1))
	is.True(sc.evacuated())
}

// Guards against an evacuation that ends although the operator has written it again, or that stays although the operator has removed
// it.
func TestEvacuationWrittenAgainStays(t *testing.T) {
	for _, deleted := range []bool{false, true} {
		t.Run(fmt.Sprint("deleted ", deleted), func(t *testing.T) {
			is := is.New(t)
			now := telemetry.Now()
			sc := restoredCache(t, &now, map[string][]store.Entry{
				platform.OperatorPrefix: {evacuation(0)}, platform.TargetPrefix: {goodRegistration("i-1", 6)},
			})
			sc.list(t, platform.OperatorPrefix, 4)
			again := evacuation(1)
			sc.apply(t.Context(), update{prefix: platform.OperatorPrefix, events: []store.Event{{Entry: again, Deleted: deleted}}})
			now = now.Add(6 * time.Second)
			sc.registry.Expire(now)
			is.Equal(sc.evacuated(), !deleted)
		})
	}
}

// registrationOf returns the registration of a target with a sequence number.
func registrationOf(t types.Target, era types.Era, incarnation, sequence int64, draining bool) store.Entry {
	s := standin.TargetSettings{Target: t, Incarnation: incarnation, Sequence: sequence, Service: "maps", DataCentre: "north", Slots: 4}
	key, value := standin.Registration(s, "127.0.0.9:"+fmt.Sprint(8000+len(t)), draining, 0)
	return store.Entry{Key: key, Value: value, Revision: revision(era, 6)}
}

// Guards against registrations of the snapshot that count as news of their targets: requests then went to targets that drain or have
// gone.
func TestRegistrationsOfTheSnapshotAreRecognized(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	sc := restoredCache(t, &now, map[string][]store.Entry{platform.TargetPrefix: {
		registrationOf("drain", 0, 1, 7, true), registrationOf("gone", 0, 1, 7, false), registrationOf("missing", 0, 1, 2, false),
	}})
	gone := registrationOf("gone", 0, 1, 7, false)
	sc.apply(t.Context(), update{prefix: platform.TargetPrefix, events: []store.Event{{Entry: gone, Deleted: true}}})
	states := func() map[types.Target]bool {
		m := make(map[types.Target]bool)
		for _, l := range sc.registry.List() {
			m[l.Target] = l.Draining
		}
		return m
	}
	sc.list(t, platform.TargetPrefix, 8, registrationOf("drain", 1, 1, 6, false), registrationOf("gone", 1, 1, 7, false))
	is.Equal(states(), map[types.Target]bool{"drain": true, "missing": false})
	// A registration that the snapshot lacks is kept for 2.2 s, while the store answers.
	for range 21 {
		now = now.Add(100 * time.Millisecond)
		sc.registry.StoreAnswered(now)
	}
	sc.registry.Expire(now)
	is.Equal(len(states()), 2)
	now = now.Add(200 * time.Millisecond)
	sc.registry.StoreAnswered(now)
	sc.registry.Expire(now)
	is.Equal(states(), map[types.Target]bool{"drain": true})
	// The targets' own later registrations count: a higher number, or a newer start.
	later := []store.Entry{registrationOf("drain", 1, 1, 8, false), registrationOf("gone", 1, 2, 1, false)}
	later[0].Revision, later[1].Revision = revision(1, 11), revision(1, 12)
	sc.list(t, platform.TargetPrefix, 12, later...)
	is.Equal(states(), map[types.Target]bool{"drain": false, "gone": false})
}

// Guards against VMs that leave the list because the snapshot lacks them, and against VMs that stay in it without an entry.
func TestVMsOfTheEarlierEraAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	entry := func(name types.VM, era types.Era) store.Entry {
		v := vmEntry{VM: name, DataCentre: "north", Incarnation: 1, Cores: 1, PeerAddress: "127.0.0.2:7540", MirrorAddress: "127.0.0.2:8544"}
		return store.Entry{Key: vmPrefix + string(name), Value: encodeJSON(v), Revision: revision(era, 6)}
	}
	sc := restoredCache(t, &now, map[string][]store.Entry{daemonPrefix: {entry("vm-3", 0), entry("vm-4", 0)}})
	sc.list(t, daemonPrefix, 10)
	is.Equal(len(sc.vms), 2)
	sc.apply(t.Context(), update{prefix: daemonPrefix, events: []store.Event{{Entry: entry("vm-3", 1)}}})
	now = now.Add(vmGrace)
	sc.expireVMs(t.Context(), now)
	is.Equal(sc.vmNames(), []types.VM{"vm-3"})
}

// Guards against a change read before the store went back that is applied after the list of the restored store.
func TestChangesOfTheEarlierEraAreDropped(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	sc := restoredCache(t, &now, map[string][]store.Entry{platform.TargetPrefix: {goodRegistration("i-1", 6)}})
	sc.list(t, platform.TargetPrefix, 10, registrationOf("i-1", 1, 1, 2, false))
	late := store.Event{Entry: store.Entry{Key: "servers/i-1", Revision: revision(0, 30)}, Deleted: true}
	sc.apply(t.Context(), update{prefix: platform.TargetPrefix, events: []store.Event{late}})
	is.Equal(len(sc.registry.List()), 1)
}

// Guards against a fleet that loses keys, the configuration or its own entries when the store comes back from a snapshot that is older
// than all of them, also twice in a row.
func TestFleetOutlivesTheReturnToASnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.check(c.store.Snapshot(t.Context()))
	c.target("maps", "i-m", true, 0)
	c.target("maps", "i-n", true, 0)
	c.configure(10, route("/maps/", true, "maps"))
	vms := []*vm{c.start("vm-1"), c.start("vm-2")}
	for _, v := range vms {
		eventually(t, "readiness", 10*time.Second, v.isReady)
	}
	// A coordinator knows all grants once the terms of earlier ones have ended for certain.
	time.Sleep(roleTTL)
	operator := c.store.Client("operator")
	rewrite, _, err := operator.List(t.Context(), "")
	is.NoErr(err)
	for era := types.Era(1); era <= 2; era++ {
		c.check(c.store.Restore(t.Context()))
		// Operators and targets write their entries again.
		for _, e := range rewrite {
			if strings.HasPrefix(e.Key, platform.OperatorPrefix) || strings.HasPrefix(e.Key, platform.TargetPrefix) {
				c.put(e.Key, e.Value)
			}
		}
		failed := 0
		for i := range 40 {
			time.Sleep(50 * time.Millisecond)
			for _, v := range vms {
				if res, _, err := v.call("GET", "/maps/1", fmt.Sprintf("r%d-%d", era, i), i*1600, ""); err != nil || res.StatusCode != 200 {
					failed++
				}
			}
		}
		is.Equal(failed, 0)
		eventually(t, "the table of the era", 3*time.Second, func() bool {
			e, err := operator.Get(t.Context(), ownersKey("maps"))
			if err != nil {
				return false
			}
			table, err := decodeTable(e.Value)
			return err == nil && table.NextFence >= era.FirstEpoch()
		})
		for _, key := range []string{coordinatorKey, vmPrefix + "vm-1", vmPrefix + "vm-2"} {
			_, err := operator.Get(t.Context(), key)
			is.NoErr(err)
		}
		for _, v := range vms {
			is.Equal(v.metric("sail_store_era"), fmt.Sprint(era))
			is.True(v.isReady())
		}
	}
}

// holdRecorder checks the grants of targets: no key may have two holders.
type holdRecorder struct {
	mu      sync.Mutex
	holds   []standin.KeysGranted
	overlap string
}

func (h *holdRecorder) record(event any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch e := event.(type) {
	case standin.KeysReleased:
		var rest []standin.KeysGranted
		for _, g := range h.holds {
			if g.Target != e.Target || g.To < e.From || e.To < g.From {
				rest = append(rest, g)
				continue
			}
			before, after := g, g
			if before.To = e.From - 1; g.From < e.From {
				rest = append(rest, before)
			}
			if after.From = e.To + 1; e.To < g.To {
				rest = append(rest, after)
			}
		}
		h.holds = rest
	case standin.KeysGranted:
		for _, g := range h.holds {
			if g.Target != e.Target && g.From <= e.To && e.From <= g.To && e.At.Before(g.Until) {
				h.overlap = fmt.Sprintf("keys %d-%d granted to %s while %s holds them for %v", e.From, e.To, e.Target, g.Target, g.Until.Sub(e.At))
			}
		}
		h.holds = slices.DeleteFunc(h.holds, func(g standin.KeysGranted) bool { return !e.At.Before(g.Until) })
		h.holds = append(h.holds, e)
	}
}

func (h *holdRecorder) fault() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overlap
}

// Guards against two holders of a key, and against keys that stay without one, when the store goes back while the coordinator is cut
// off from it and another VM has to take the role.
func TestOtherVMTakesTheKeysAfterTheReturnToASnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.check(c.store.Snapshot(t.Context()))
	recorder := &holdRecorder{}
	for _, id := range []types.Target{"i-m", "i-n", "i-o"} {
		l, err := standin.Listen(t.Context())
		c.check(err)
		s := standin.TargetSettings{Target: id, Incarnation: 1, Service: "maps", DataCentre: "north", Keyed: true, Slots: 4, QueueLimit: 4}
		c.launch(standin.TargetDuties(l, s, recorder.record)...)
		c.put(standin.Registration(s, l.Addr().String(), false, 0))
	}
	c.configure(10, route("/maps/", true, "maps"))
	vms := make(map[types.VM]*vm)
	for _, name := range []types.VM{"vm-1", "vm-2"} {
		l, err := standin.Listen(t.Context())
		c.check(err)
		c.storeAddress = l.Addr().String()
		c.launch(standin.StoreDuty(l, c.store, string(name)))
		vms[name] = c.start(name)
	}
	for _, v := range vms {
		eventually(t, "readiness", 10*time.Second, v.isReady)
	}
	time.Sleep(roleTTL)
	operator := c.store.Client("operator")
	entry, err := operator.Get(t.Context(), coordinatorKey)
	is.NoErr(err)
	coordinator, err := decodeCoordinatorEntry(entry.Value)
	is.NoErr(err)
	other := types.VM("vm-1")
	if coordinator.VM == other {
		other = "vm-2"
	}
	written, _, err := operator.List(t.Context(), "")
	is.NoErr(err)
	c.check(c.store.SetFaults(t.Context(), backend.Faults{CutClients: []string{string(coordinator.VM)}}))
	c.check(c.store.Restore(t.Context()))
	for _, e := range written {
		if strings.HasPrefix(e.Key, platform.OperatorPrefix) || strings.HasPrefix(e.Key, platform.TargetPrefix) {
			c.put(e.Key, e.Value)
		}
	}
	eventually(t, "the table of another coordinator", 20*time.Second, func() bool {
		e, err := operator.Get(t.Context(), ownersKey("maps"))
		if err != nil {
			return false
		}
		table, err := decodeTable(e.Value)
		return err == nil && table.NextFence >= types.Era(1).FirstEpoch() && strings.HasPrefix(table.Writer, string(other)+"/")
	})
	eventually(t, "answers for all keys", 5*time.Second, func() bool {
		for key := range 16 {
			if res, _, err := vms[other].call("GET", "/maps/1", fmt.Sprintf("k%d", key), key*4096, ""); err != nil || res.StatusCode != 200 {
				return false
			}
		}
		return true
	})
	is.Equal(recorder.fault(), "")
}

// Guards against an owner table of one era that is taken for one of the next era: its grants would be renewed although they may have
// been replaced. The floors of fencing tokens contain the time of day.
func TestTokensOfAnEraAreBelowThoseOfTheNext(t *testing.T) {
	is := is.New(t)
	const assigned = 1 << 32 // far more than one era assigns
	for era := types.Era(0); era < 3; era++ {
		is.True(fenceFloor(era, time.Now())+assigned < (era + 1).FirstEpoch())
	}
	const exactIntegers = 1 << 53 // up to which JSON numbers are exact
	is.True(fenceFloor(types.MaxExactEra, time.Now())+assigned < exactIntegers)
}

// Guards against a deployment that waits for 13 s before it grants any key because its store begins with an era above 0, and against a
// VM that spares the wait although grants of an earlier era may hold.
func TestOnlyTheFirstStartBeginsWithTheEraOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name         string
		firstStart   bool
		answersAfter time.Duration
		begins       bool
	}{
		{"first start", true, 900 * time.Millisecond, true},
		{"first start, late answer", true, 1100 * time.Millisecond, false},
		{"later start", false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sc := newRegistryCache(telemetry.Now())
			sc.firstStart, sc.registrationsRead, sc.configuration = c.firstStart, false, nil
			sc.session = ring.New[coordinatorState](1)
			start := telemetry.Now()
			sc.watchState.startedAt = start
			keeper := &coordinator{log: sc.log, keyedServices: make(map[types.Service]*keyedService)}
			sc.beginEra(t.Context(), start.Add(c.answersAfter), 3)
			sc.coordinator.Drain(func(m any) { keeper.handle(t.Context(), m) })
			is.Equal(keeper.settings.FirstEra == 3, c.begins)
			sc.registrationsRead = true
			sc.beginEra(t.Context(), start.Add(c.answersAfter), 4)
			sc.coordinator.Drain(func(m any) { keeper.handle(t.Context(), m) })
			is.True(keeper.settings.FirstEra < 4) // the store has come back from a snapshot
		})
	}
}

// Guards against a live target that is lost after the grace period because it writes its registration again as it was: the number of a
// registration rises only when its content changes or with the next heartbeat.
func TestRegistrationWrittenAgainUnchangedCounts(t *testing.T) {
	is := is.New(t)
	now := telemetry.Now()
	sc := restoredCache(t, &now, map[string][]store.Entry{platform.TargetPrefix: {registrationOf("i-1", 0, 1, 5, false)}})
	sc.list(t, platform.TargetPrefix, 8)
	again := registrationOf("i-1", 1, 1, 5, false)
	again.Revision = revision(1, 9)
	sc.apply(t.Context(), update{prefix: platform.TargetPrefix, events: []store.Event{{Entry: again}}})
	now = now.Add(3 * time.Second)
	sc.registry.Expire(now)
	is.Equal(len(sc.registry.List()), 1)
}
