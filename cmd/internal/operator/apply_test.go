package operator_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoiasail.example/config"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// Guards against accepting requests of two concurrent operators that expect the same version, and against a version
// number that is used twice.
func TestConcurrentApplyAcceptsOne(t *testing.T) {
	f := startStore(t)
	const rounds, operators = 5, 6
	for round := range types.Version(rounds) {
		var wg sync.WaitGroup
		accepted := make([]operator.ApplyResult, operators)
		errs := make([]error, operators)
		for i := range operators {
			r := newApplyRequest(t, round, int64(1000+100*int(round)+i))
			o := f.newOperator("operator-"+string(rune('a'+i))+string(rune('0'+round)), nil)
			wg.Go(func() { accepted[i], errs[i] = o.Apply(t.Context(), r) })
		}
		wg.Wait()
		won := 0
		for i := range operators {
			if errs[i] == nil {
				won++
				f.Equal(accepted[i].Version, round+1)
				now, err := f.newOperator("reader", nil).Current(t.Context())
				f.NoErr(err)
				f.Equal(now.WriteID, accepted[i].WriteID) // the accepted write is the one in force
				continue
			}
			f.Equal(types.CodeOf(errs[i]), types.CodeConflict)
		}
		f.Equal(won, 1)
	}
	records, err := f.newOperator("reader", nil).History(t.Context(), 20)
	f.NoErr(err)
	f.Equal(len(records), rounds)
	for i, r := range records {
		f.Equal(r.Version, types.Version(rounds-i))
		f.True(strings.HasPrefix(r.Operator, "operator-"))
	}
}

// Guards against an error for a configuration that is in force although the store's answer was lost.
func TestApplySucceedsAfterLostAnswer(t *testing.T) {
	f := startStore(t)
	f.setFaults(standin.Faults{LoseAnswers: 1})
	out, err := f.newOperator("jana", nil).Apply(t.Context(), newApplyRequest(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy, types.Version(0))
	records, err := f.newOperator("petr", nil).History(t.Context(), 5)
	f.NoErr(err)
	f.Equal(len(records), 1)
	f.Equal(records[0].Operator, "jana")
}

// loseFirstAnswer returns a store that loses the answer to the first write of a configuration or row. The write takes
// effect, and next runs before the writer can read it back.
func loseFirstAnswer(f *fixture, next func()) operator.Store {
	used := false
	return &casHook{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		revision, err := f.client.CAS(ctx, w)
		if used || w.Key != config.KeyCurrent && !strings.HasPrefix(w.Key, config.PrefixOps) {
			return revision, err
		}
		used = true
		next()
		return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
	}}
}

// Guards against a wrong result when the answer to a write is lost and another operator's version replaces it before it
// is read back.
func TestLostAnswerThenReplaced(t *testing.T) {
	f := startStore(t)
	petr := f.newOperator("petr", nil)
	jana := f.newOperator("jana", loseFirstAnswer(f, func() {
		_, err := petr.Apply(t.Context(), newApplyRequest(t, 1, 1600))
		f.NoErr(err)
	}))
	out, err := jana.Apply(t.Context(), newApplyRequest(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy, types.Version(2))
	records, err := petr.History(t.Context(), 5)
	f.NoErr(err)
	f.Equal(records[1].Operator, "jana") // completed by jana after petr had written it without an operator
	f.Equal(records[1].Note, "late after 1500")
}

// Guards against success for a write that never arrived while another operator's write did.
func TestLostWriteThenConflict(t *testing.T) {
	f := startStore(t)
	used := false
	jana := f.newOperator("jana", &casHook{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		if used {
			return f.client.CAS(ctx, w)
		}
		used = true
		_, err := f.newOperator("petr", nil).Apply(ctx, newApplyRequest(t, 0, 1600))
		f.NoErr(err)
		return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
	}})
	_, err := jana.Apply(t.Context(), newApplyRequest(t, 0, 1500))
	f.Equal(types.CodeOf(err), types.CodeConflict)
	f.True(strings.Contains(err.Error(), "version 1 is in force, applied by petr at 2026-12-04T11:00:00Z, not 0"))
}

// Guards against a write that takes effect twice because it was repeated while the first copy was only delayed.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	f := startStore(t)
	var delayed *store.Write
	jana := f.newOperator("jana", &casHook{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		if delayed == nil {
			delayed = &w
			return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
		}
		return f.client.CAS(ctx, w)
	}})
	out, err := jana.Apply(t.Context(), newApplyRequest(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	_, err = f.client.CAS(t.Context(), *delayed)
	f.Equal(types.CodeOf(err), types.CodeConflict)
}

// Guards against reporting success or failure when the store goes down between a write and its answer, so that the result
// is unknown.
func TestStoreDownAfterWriteReportsAnswerLost(t *testing.T) {
	f := startStore(t)
	jana := f.newOperator("jana", loseFirstAnswer(f, func() { f.setFaults(standin.Faults{Down: true}) }))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := jana.Apply(ctx, newApplyRequest(t, 0, 1500))
	f.Equal(types.CodeOf(err), types.CodeAnswerLost)
	f.True(strings.Contains(err.Error(), "jana-1"))
	f.setFaults(standin.Faults{})
	now, err := jana.Current(t.Context())
	f.NoErr(err)
	f.Equal(now.WriteID, "jana-1")
}

// Guards against losing the content and the write identifier of a version whose writer failed before it wrote the history
// record.
func TestNextOperatorWritesMissingRecord(t *testing.T) {
	f := startStore(t)
	c := newApplyRequest(t, 0, 1500).Configuration.WithVersion(1)
	_, err := f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Value: config.Canonical(c), WriteID: "crashed-1"})
	f.NoErr(err)
	petr := f.newOperator("petr", nil)
	_, err = petr.Apply(t.Context(), newApplyRequest(t, 1, 1600))
	f.NoErr(err)
	r, err := petr.Record(t.Context(), 1)
	f.NoErr(err)
	f.Equal(r.WriteID, "crashed-1")
	f.Equal(config.Canonical(r.Configuration), config.Canonical(c))
}

// Guards against reusing a version number that processes have seen with other content, after the current key was lost or
// restored from an older copy.
func TestVersionsAreNotReused(t *testing.T) {
	f := startStore(t)
	jana := f.newOperator("jana", nil)
	for v := range types.Version(3) {
		_, err := jana.Apply(t.Context(), newApplyRequest(t, v, int64(1500+v)))
		f.NoErr(err)
	}
	e, err := f.client.Get(t.Context(), config.KeyCurrent)
	f.NoErr(err)
	_, err = f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Expected: e.Revision, Delete: true, WriteID: "x"})
	f.NoErr(err)
	out, err := jana.Apply(t.Context(), newApplyRequest(t, 0, 1700))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(4))
	jana.Fleet = &fakeFleet{names: []string{"vm-1", "vm-2"}, status: func(_ int, name string) telemetry.Status {
		if name == "vm-2" {
			return telemetry.Status{}
		}
		return telemetry.Status{VM: name, ConfigVersion: 11}
	}}
	out, err = jana.Apply(t.Context(), newApplyRequest(t, 4, 1800))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(12)) // the history ends at version 4, but a process follows version 11
}

// Guards against a reapplied version that keeps its old number or has other content.
func TestReapply(t *testing.T) {
	f := startStore(t)
	jana := f.newOperator("jana", nil)
	for v := range types.Version(2) {
		_, err := jana.Apply(t.Context(), newApplyRequest(t, v, int64(1500+v)))
		f.NoErr(err)
	}
	out, err := jana.Reapply(t.Context(), 1, 2, "the new deadline was too short")
	f.NoErr(err)
	f.Equal(out.Version, types.Version(3))
	first, err := jana.Record(t.Context(), 1)
	f.NoErr(err)
	third, err := jana.Record(t.Context(), 3)
	f.NoErr(err)
	f.Equal(third.ReapplyOf, types.Version(1))
	f.True(config.Diff(first.Configuration, third.Configuration).Empty())
	out, err = jana.Reapply(t.Context(), 1, 3, "")
	f.NoErr(err)
	f.True(out.Unchanged)
	_, err = jana.Reapply(t.Context(), 9, 3, "")
	f.Equal(types.CodeOf(err), types.CodeNotFound)
}

// Guards against a history that grows without bound.
func TestHistoryIsBounded(t *testing.T) {
	f := startStore(t)
	jana := f.newOperator("jana", nil)
	const extra = 3
	put := func(key string, value []byte) {
		_, err := f.client.CAS(t.Context(), store.Write{Key: key, Value: value, WriteID: "setup"})
		f.NoErr(err)
	}
	for v := range types.Version(extra + 1) {
		c := newApplyRequest(t, 0, 1500).Configuration.WithVersion(v + 1)
		put(config.HistoryKey(v+1), config.Record{Version: v + 1, WriteID: "w", Configuration: c}.Encode())
	}
	last := newApplyRequest(t, 0, 1500).Configuration.WithVersion(operator.MaxHistoryRecords)
	put(config.KeyCurrent, config.Canonical(last))
	for v := range types.Version(extra) {
		_, err := jana.Apply(t.Context(), newApplyRequest(t, operator.MaxHistoryRecords+v, int64(1600+v)))
		f.NoErr(err)
	}
	entries, _, err := f.client.List(t.Context(), config.PrefixHistory)
	f.NoErr(err)
	f.Equal(len(entries), 1+1+extra) // version 4, the first one in force, and the new ones
	f.Equal(entries[0].Key, config.HistoryKey(extra+1))
}

// Guards against overwriting a damaged configuration without an error.
func TestDamagedConfigurationIsReported(t *testing.T) {
	f := startStore(t)
	_, err := f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Value: []byte(`{"version":3}`), WriteID: "x"})
	f.NoErr(err)
	_, err = f.newOperator("jana", nil).Apply(t.Context(), newApplyRequest(t, 3, 1500))
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
}
