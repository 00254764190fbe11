package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// mirrorOnce makes sc ask the other VM for a prefix and apply the answer, and returns the answer.
func mirrorOnce(t *testing.T, sc, other *storeCache, now types.Instant, prefix string) MirrorAnswer {
	t.Helper()
	sc.queueMirrorRequest(prefix, "vm-2")
	request, _ := sc.mirrorRequests.TryGet()
	q := mirrorQuery{question: request.question, reply: make(chan MirrorAnswer, 1)}
	other.answerMirrorQuery(now, q)
	a := <-q.reply
	query := func(_ context.Context, _ string, _ MirrorQuestion) (MirrorAnswer, error) { return a, nil }
	client := newMirrorClient(nil, ring.New[any](4), query, telemetry.NewLog(io.Discard, nil))
	if err := client.handle(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	client.out.Drain(func(m any) { sc.apply(t.Context(), m.(update)) })
	return a
}

// drained gives the rings of a store cache room for any number of messages.
func drained(sc *storeCache) {
	sc.admission, sc.coordinator = ring.New[any](4096), ring.New[any](4096)
	sc.memberships = ring.New[membership](1)
}

// mirrorPair returns a store cache and one that follows the store, both at the given time.
func mirrorPair(now types.Instant) (sc, other *storeCache) {
	sc, _ = newTestCache(now)
	other, _ = newTestCache(now)
	for _, c := range []*storeCache{other, sc} {
		drained(c)
		c.now = func() types.Instant { return now }
	}
	followAll(other, now)
	return sc, other
}

// Guards against neighbours that transfer all registrations after each change: 601 targets in a data centre of 39 VMs fill the
// link of the VM that answers for seconds. And against copies that differ afterwards.
func TestMirrorTellsChangesOnly(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	r := rand.New(rand.NewPCG(3, 4))
	sc, other := mirrorPair(now)
	const targets = 601
	name := func() types.Target { return types.Target(fmt.Sprintf("i-%d", r.IntN(targets))) }
	revision := types.Revision(1000)
	var all []store.Entry
	for i := range targets {
		all = append(all, goodRegistration(types.Target(fmt.Sprintf("i-%d", i)), types.Revision(100+i)))
	}
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, entries: all, revision: revision})
	is.True(!mirrorOnce(t, sc, other, now, platform.TargetPrefix).Partial) // a VM that knows nothing gets all entries
	for round := range 100 {
		u := update{prefix: platform.TargetPrefix}
		for range 1 + r.IntN(5) {
			revision++
			e := store.Event{Entry: goodRegistration(name(), revision), Deleted: r.IntN(3) == 0}
			u.events = append(u.events, e)
		}
		other.apply(t.Context(), u)
		if round%3 == 0 {
			continue
		}
		a := mirrorOnce(t, sc, other, now, platform.TargetPrefix)
		if !a.Partial || len(a.Changes) > 15 {
			t.Fatalf("round %d: %d changes, partial %v, %d entries", round, len(a.Changes), a.Partial, len(a.Entries))
		}
		own, its := sc.prefixCache[platform.TargetPrefix], other.prefixCache[platform.TargetPrefix]
		is.Equal(own.digest("").sameEntries(its.digest("")), true)
		is.Equal(own.knownRevision, its.knownRevision)
		is.Equal(own.incomplete, false)
		is.Equal(len(sc.registry.List()), len(other.registry.List()))
	}
}

// Guards against a copy that lacks a change which the watch of the answering VM has missed and an audit has found later: its
// revision is lower than those that the caller knows, so that the changes do not contain it.
func TestMissedChangeMakesMirrorSendAllEntries(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	sc, other := mirrorPair(now)
	a, b := goodRegistration("i-a", 11), goodRegistration("i-b", 12)
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, entries: []store.Entry{a, b}, revision: 20})
	mirrorOnce(t, sc, other, now, platform.TargetPrefix)
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, events: []store.Event{{Entry: goodRegistration("i-c", 32)}}})
	mirrorOnce(t, sc, other, now, platform.TargetPrefix)
	// Revision 31 of i-a was missed by the watch.
	audited := []store.Entry{goodRegistration("i-a", 31), b, goodRegistration("i-c", 32)}
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, audit: true, entries: audited, revision: 33})
	d := other.prefixCache[platform.TargetPrefix].digest(platform.TargetPrefix)
	is.True(sc.prefixCache[platform.TargetPrefix].isBehind(d)) // count and newest revision are the same
	mirrorOnce(t, sc, other, now, platform.TargetPrefix)
	is.True(sc.prefixCache[platform.TargetPrefix].incomplete)
	is.True(!mirrorOnce(t, sc, other, now, platform.TargetPrefix).Partial)
	is.Equal(sc.prefixCache[platform.TargetPrefix].digest("").sameEntries(other.prefixCache[platform.TargetPrefix].digest("")), true)
}

// Guards against a copy that counts as current although it lacks a change that the VM which told the others knows: the VM would
// not look for the change, and would count the time in which a leaving target may get requests from too late.
func TestIncompleteCopyIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	now := types.Instant(time.Hour)
	later := now.Add(time.Second)
	sc, other := mirrorPair(now)
	sc.changeDeadline = 2500 * time.Millisecond
	c := sc.prefixCache[platform.TargetPrefix]
	a, b := goodRegistration("i-a", 11), goodRegistration("i-b", 12)
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, entries: []store.Entry{a, b}, revision: 20})
	mirrorOnce(t, sc, other, now, platform.TargetPrefix)
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, events: []store.Event{{Entry: goodRegistration("i-c", 32)}}})
	mirrorOnce(t, sc, other, now, platform.TargetPrefix)
	is.Equal(c.confirmedAt, now)
	// Revision 31 of i-a was missed by the watch.
	audited := []store.Entry{goodRegistration("i-a", 31), b, goodRegistration("i-c", 32)}
	for _, cache := range []*storeCache{sc, other} {
		cache.now = func() types.Instant { return later }
	}
	other.apply(t.Context(), update{prefix: platform.TargetPrefix, snapshot: true, audit: true, entries: audited, revision: 33})
	is.True(mirrorOnce(t, sc, other, later, platform.TargetPrefix).Partial)
	is.True(c.incomplete)
	is.Equal(c.confirmedAt, now)
	mirrorOnce(t, sc, other, later, platform.TargetPrefix)
	is.Equal(c.confirmedAt, later)
	is.Equal(sc.leavingUntil, leavingUntil(now, sc.changeDeadline))
}

// Guards against a copy that goes back to an older state: a late answer holds changes that are known already.
func TestLateChangesDoNotReplaceNewerEntries(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache()
	c.apply(update{snapshot: true, revision: 10, entries: []store.Entry{{Key: "k", Revision: 5}}})
	c.apply(update{events: []store.Event{{Entry: store.Entry{Key: "k", Revision: 12}}}})
	late := []store.Event{{Entry: store.Entry{Key: "k", Revision: 11}}, {Entry: store.Entry{Key: "k", Revision: 9}, Deleted: true}}
	is.Equal(len(c.unknown(late)), 0)
	is.Equal(len(c.unknown([]store.Event{{Entry: store.Entry{Key: "k", Revision: 13}, Deleted: true}})), 1)
}

// Guards against answers with gaps after more removals than are kept.
func TestManyRemovalsAreNotToldAsChanges(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache()
	var entries []store.Entry
	for i := range maxRemovals + 10 {
		entries = append(entries, store.Entry{Key: fmt.Sprint(i), Revision: types.Revision(1 + i)})
	}
	c.apply(update{snapshot: true, revision: 1000, entries: entries})
	for i, e := range entries {
		c.apply(update{events: []store.Event{{Entry: store.Entry{Key: e.Key, Revision: types.Revision(1001 + i)}, Deleted: true}}})
	}
	_, ok := c.changesSince(1000)
	is.True(!ok)
	events, ok := c.changesSince(1010)
	is.True(ok)
	is.Equal(len(events), maxRemovals)
	is.Equal(len(c.removals), maxRemovals)
}

// BenchmarkUnchangedRegistrations is the work for a complete list of 601 registrations of which one has changed.
func BenchmarkUnchangedRegistrations(b *testing.B) {
	sc, _ := newTestCache(types.Instant(time.Hour))
	drained(sc)
	var all []store.Entry
	for i := range 601 {
		all = append(all, goodRegistration(types.Target(fmt.Sprintf("i-%d", i)), types.Revision(100+i)))
	}
	revision := types.Revision(1000)
	for b.Loop() {
		revision++
		all[0] = goodRegistration("i-0", revision)
		sc.apply(b.Context(), update{prefix: platform.TargetPrefix, snapshot: true, entries: all, revision: revision})
		sc.admission.Drain(func(any) {})
		sc.coordinator.Drain(func(any) {})
	}
}
