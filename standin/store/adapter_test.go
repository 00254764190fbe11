package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shortDeadline ends calls that are never answered. No result depends on its length.
const shortDeadline = 50 * time.Millisecond

type fixture struct {
	*is.I
	t       *testing.T
	address string
	client  *store.HTTP
}

func start(t *testing.T, o standin.Options) *fixture {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	g := duty.NewGroup()
	address, err := standin.Start(t.Context(), g, o)
	f := &fixture{I: is.New(t), t: t, address: address}
	f.NoErr(err)
	f.client = store.NewHTTP(store.Options{Address: address, Name: "vm-1"})
	t.Cleanup(func() {
		f.client.Close()
		http.DefaultClient.CloseIdleConnections()
		f.NoErr(g.Stop(context.Background()))
	})
	return f
}

func (f *fixture) post(path string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	f.NoErr(err)
	res, err := http.Post("http://"+f.address+path, "application/json", bytes.NewReader(data))
	f.NoErr(err)
	f.NoErr(res.Body.Close())
	f.Equal(res.StatusCode, http.StatusOK)
}

func (f *fixture) setFaults(v standin.Faults) { f.t.Helper(); f.post(standin.PathFaults, v) }

func (f *fixture) put(key string, expected types.Revision) types.Revision {
	f.t.Helper()
	r, err := f.client.CAS(f.t.Context(), store.Write{Key: key, Expected: expected, Value: []byte(key), WriteID: "w-" + key})
	f.NoErr(err)
	return r
}

// Guards against a conflicting write that succeeds or changes the key.
func TestCASAcceptsOnlyTheExpectedRevision(t *testing.T) {
	f := start(t, standin.Options{})
	first := f.put("a", 0)
	_, err := f.client.CAS(t.Context(), store.Write{Key: "a", Value: []byte("other"), WriteID: "w2"})
	f.Equal(types.CodeOf(err), types.CodeConflict)
	e, err := f.client.Get(t.Context(), "a")
	f.NoErr(err)
	f.Equal(e, store.Entry{Key: "a", Value: []byte("a"), Revision: first, WriteID: "w-a"})
	f.True(f.put("a", first) > first)
}

// Guards against a deletion that keeps the key or that a watch reports as a write.
func TestDelete(t *testing.T) {
	f := start(t, standin.Options{})
	r := f.put("a", 0)
	deleted, err := f.client.CAS(t.Context(), store.Write{Key: "a", Expected: r, WriteID: "w2", Delete: true})
	f.NoErr(err)
	_, err = f.client.Get(t.Context(), "a")
	f.Equal(types.CodeOf(err), types.CodeNotFound)
	events, next, err := f.client.Watch(t.Context(), "", r)
	f.NoErr(err)
	f.Equal(next, deleted)
	f.Equal(events, []store.Event{{Entry: store.Entry{Key: "a", Revision: deleted, WriteID: "w2"}, Deleted: true}})
}

// Guards against lists that lack keys, contain keys with other prefixes or are not sorted.
func TestListIsSortedAndLimitedToThePrefix(t *testing.T) {
	f := start(t, standin.Options{})
	f.put("x/b", 0)
	f.put("x/a", 0)
	last := f.put("y", 0)
	entries, revision, err := f.client.List(t.Context(), "x/")
	f.NoErr(err)
	f.Equal(revision, last)
	f.Equal(len(entries), 2)
	f.Equal(entries[0].Key, "x/a")
	f.Equal(entries[1].Key, "x/b")
}

// Guards against refusing a value of the largest size, and against accepting a larger one.
func TestValueLimit(t *testing.T) {
	f := start(t, standin.Options{})
	value := bytes.Repeat([]byte{0xff}, store.MaxValueBytes)
	_, err := f.client.CAS(t.Context(), store.Write{Key: "a", Value: value, WriteID: "w1"})
	f.NoErr(err)
	e, err := f.client.Get(t.Context(), "a")
	f.NoErr(err)
	f.Equal(len(e.Value), store.MaxValueBytes)
	_, err = f.client.CAS(t.Context(), store.Write{Key: "b", Value: append(value, 0), WriteID: "w2"})
	f.Equal(types.CodeOf(err), types.CodeBodyTooLarge)
}

// Guards against a watch that misses a change made while it waits.
func TestWatchWaitsForAChange(t *testing.T) {
	f := start(t, standin.Options{})
	got := make(chan []store.Event, 1)
	go func() {
		events, _, _ := f.client.Watch(context.Background(), "x/", 0)
		got <- events
	}()
	f.put("y", 0)
	r := f.put("x/a", 0)
	events := <-got
	f.Equal(len(events), 1)
	f.Equal(events[0].Revision, r)
}

// Guards against a watch that silently skips changes that are no longer in the history.
func TestWatchRefusesCompactedHistory(t *testing.T) {
	f := start(t, standin.Options{History: 2})
	for _, key := range []string{"a", "b", "c"} {
		f.put(key, 0)
	}
	_, _, err := f.client.Watch(t.Context(), "", 0)
	f.Equal(types.CodeOf(err), types.CodeNotFound)
	events, _, err := f.client.Watch(t.Context(), "", 1)
	f.NoErr(err)
	f.Equal(len(events), 2)
}

// Guards against keys that outlive their lease, and against renewals of a revoked lease.
func TestRevokedLeaseDeletesItsKeys(t *testing.T) {
	f := start(t, standin.Options{})
	id, err := f.client.GrantLease(t.Context(), time.Hour)
	f.NoErr(err)
	f.NoErr(f.client.KeepAlive(t.Context(), id))
	_, err = f.client.CAS(t.Context(), store.Write{Key: "planner", Lease: id, WriteID: "w1"})
	f.NoErr(err)
	f.NoErr(f.client.RevokeLease(t.Context(), id))
	_, err = f.client.Get(t.Context(), "planner")
	f.Equal(types.CodeOf(err), types.CodeNotFound)
	f.Equal(types.CodeOf(f.client.KeepAlive(t.Context(), id)), types.CodeNotFound)
}

// Guards against an outage that is reported as a lost answer, and against an outage that does not end.
func TestStoreDown(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFaults(standin.Faults{Down: true})
	_, err := f.client.CAS(t.Context(), store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeStoreUnavailable)
	f.setFaults(standin.Faults{})
	_, err = f.client.Get(t.Context(), "a")
	f.Equal(types.CodeOf(err), types.CodeNotFound)
}

// Guards against a lost answer being reported as a failed write. Reading the key finds the write identifier.
func TestLostAnswerOfAWriteThatTookEffect(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFaults(standin.Faults{LoseAnswers: 1})
	_, err := f.client.CAS(t.Context(), store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeAnswerLost)
	e, err := f.client.Get(t.Context(), "a")
	f.NoErr(err)
	f.Equal(e.WriteID, "w1")
}

// Guards against a cut that affects other clients, and against a read that reports a lost answer.
func TestCutReachesOnlyTheNamedClient(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFaults(standin.Faults{CutClients: []string{"vm-1"}})
	_, err := f.client.Get(t.Context(), "a")
	f.Equal(types.CodeOf(err), types.CodeStoreUnavailable)
	_, err = f.client.CAS(t.Context(), store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeAnswerLost)
	other := store.NewHTTP(store.Options{Address: f.address, Name: "vm-2"})
	defer other.Close()
	_, err = other.Get(t.Context(), "a")
	f.Equal(types.CodeOf(err), types.CodeNotFound)
}

// Guards against a write without an answer being reported as not performed.
func TestSilentClientTimesOut(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFaults(standin.Faults{SilentClients: []string{"*"}})
	ctx, cancel := context.WithTimeout(t.Context(), shortDeadline)
	defer cancel()
	_, err := f.client.Get(ctx, "a")
	f.Equal(types.CodeOf(err), types.CodeTimeout)
	ctx, cancel = context.WithTimeout(t.Context(), shortDeadline)
	defer cancel()
	_, err = f.client.CAS(ctx, store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeAnswerLost)
}

// Guards against a slow answer after the deadline that is not reported as a timeout, and against a delayed call that fails.
func TestSlowStore(t *testing.T) {
	f := start(t, standin.Options{})
	f.setFaults(standin.Faults{SlowMs: time.Hour.Milliseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), shortDeadline)
	defer cancel()
	_, err := f.client.Get(ctx, "a")
	f.Equal(types.CodeOf(err), types.CodeTimeout)
	f.setFaults(standin.Faults{SlowMs: 1})
	f.put("a", 0)
}

// Guards against a write that never reached the store being reported as possibly performed.
func TestUnreachable(t *testing.T) {
	f := start(t, standin.Options{})
	unreachable := store.NewHTTP(store.Options{Address: "127.0.0.1:1", Name: "vm-1"})
	_, err := unreachable.CAS(t.Context(), store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeStoreUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.client.CAS(ctx, store.Write{Key: "a", WriteID: "w1"})
	f.Equal(types.CodeOf(err), types.CodeCancelled)
}

// Guards against an outage that does not end waiting watches.
func TestDownEndsWaitingWatches(t *testing.T) {
	f := start(t, standin.Options{})
	failed := make(chan error, 1)
	go func() {
		_, _, err := f.client.Watch(context.Background(), "", 0)
		failed <- err
	}()
	for f.calls()["watch"] == 0 {
		f.NoErr(t.Context().Err())
	}
	f.setFaults(standin.Faults{Down: true})
	f.Equal(types.CodeOf(<-failed), types.CodeStoreUnavailable)
}

func (f *fixture) calls() map[string]int {
	f.t.Helper()
	res, err := http.Get("http://" + f.address + standin.PathCalls)
	f.NoErr(err)
	defer res.Body.Close()
	var counts map[string]int
	f.NoErr(json.NewDecoder(res.Body).Decode(&counts))
	return counts
}

// Guards against calls that the store does not count.
func TestCallCounters(t *testing.T) {
	f := start(t, standin.Options{})
	f.put("a", 0)
	_, _, err := f.client.Watch(t.Context(), "", 0)
	f.NoErr(err)
	_, err = f.client.VMs(t.Context())
	f.NoErr(err)
	counts := f.calls()
	f.Equal(counts["cas"], 1)
	f.Equal(counts["watch"], 1)
	f.Equal(counts["vms"], 1)
	f.Equal(counts["get"], 0)
}

// Guards against a VM list that ignores VMListLagMs.
func TestVMList(t *testing.T) {
	f := start(t, standin.Options{})
	vms := []store.VMStatus{{VM: "vm-1", DataCentre: "kladno", State: store.VMLeaving}}
	f.post(store.PathVMs, store.VMsResponse{VMs: vms})
	got, err := f.client.VMs(t.Context())
	f.NoErr(err)
	f.Equal(got, vms)
	f.setFaults(standin.Faults{VMListLagMs: time.Hour.Milliseconds()})
	got, err = f.client.VMs(t.Context())
	f.NoErr(err)
	f.Equal(len(got), 0)
}
