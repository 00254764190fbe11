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

// Guards against two operators who both believe that their revision of one version is in force, and against a version
// that is given twice.
func TestRacingOperatorsGetTrueAnswers(t *testing.T) {
	f := start(t)
	const rounds, operators = 5, 6
	for round := range types.Version(rounds) {
		var wg sync.WaitGroup
		accepted := make([]operator.ApplyResult, operators)
		errs := make([]error, operators)
		for i := range operators {
			r := revision(t, round, int64(1000+100*int(round)+i))
			o := f.person("operator-"+string(rune('a'+i))+string(rune('0'+round)), nil)
			wg.Go(func() { accepted[i], errs[i] = o.Apply(t.Context(), r) })
		}
		wg.Wait()
		won := 0
		for i := range operators {
			if errs[i] == nil {
				won++
				f.Equal(accepted[i].Version, round+1)
				now, err := f.person("reader", nil).Current(t.Context())
				f.NoErr(err)
				f.Equal(now.WriteID, accepted[i].WriteID) // who was told "accepted" is in force
				continue
			}
			f.Equal(types.CodeOf(errs[i]), types.CodeConflict)
		}
		f.Equal(won, 1)
	}
	records, err := f.person("reader", nil).History(t.Context(), 20)
	f.NoErr(err)
	f.Equal(len(records), rounds)
	for i, r := range records {
		f.Equal(r.Version, types.Version(rounds-i))
		f.True(strings.HasPrefix(r.Operator, "operator-"))
	}
}

// Guards against "failed" for a revision that is in force because only the store's answer was lost.
func TestLostAnswerOfAcceptedRevision(t *testing.T) {
	f := start(t)
	f.faults(standin.Faults{LoseAnswers: 1})
	out, err := f.person("jana", nil).Apply(t.Context(), revision(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy, types.Version(0))
	records, err := f.person("petr", nil).History(t.Context(), 5)
	f.NoErr(err)
	f.Equal(len(records), 1)
	f.Equal(records[0].Operator, "jana")
}

// lost performs w and loses the answer, then runs next before the writer can read back.
func lost(f *fixture, next func()) operator.Store {
	used := false
	return &hooked{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		revision, err := f.client.CAS(ctx, w)
		if used || w.Key != config.KeyCurrent && !strings.HasPrefix(w.Key, config.PrefixOps) {
			return revision, err
		}
		used = true
		next()
		return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
	}}
}

// Guards against a lost answer that is settled wrongly because another operator's revision followed meanwhile.
func TestLostAnswerAndReplaced(t *testing.T) {
	f := start(t)
	petr := f.person("petr", nil)
	jana := f.person("jana", lost(f, func() {
		_, err := petr.Apply(t.Context(), revision(t, 1, 1600))
		f.NoErr(err)
	}))
	out, err := jana.Apply(t.Context(), revision(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy, types.Version(2))
	records, err := petr.History(t.Context(), 5)
	f.NoErr(err)
	f.Equal(records[1].Operator, "jana") // completed after petr had to write it without knowing who decided
	f.Equal(records[1].Note, "late after 1500")
}

// Guards against "accepted" for a write that never arrived while another operator's did.
func TestLostWriteAndOtherOperatorFirst(t *testing.T) {
	f := start(t)
	used := false
	jana := f.person("jana", &hooked{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		if used {
			return f.client.CAS(ctx, w)
		}
		used = true
		_, err := f.person("petr", nil).Apply(ctx, revision(t, 0, 1600))
		f.NoErr(err)
		return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
	}})
	_, err := jana.Apply(t.Context(), revision(t, 0, 1500))
	f.Equal(types.CodeOf(err), types.CodeConflict)
	f.True(strings.Contains(err.Error(), "version 1 is in force, applied by petr at 2026-12-04T11:00:00Z, not 0"))
}

// Guards against a write that takes effect twice when it was only delayed and the operator sends it again.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	f := start(t)
	var delayed *store.Write
	jana := f.person("jana", &hooked{Store: f.client, cas: func(ctx context.Context, w store.Write) (types.Revision, error) {
		if delayed == nil {
			delayed = &w
			return 0, types.NewFault(types.CodeAnswerLost, "connection closed")
		}
		return f.client.CAS(ctx, w)
	}})
	out, err := jana.Apply(t.Context(), revision(t, 0, 1500))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	_, err = f.client.CAS(t.Context(), *delayed)
	f.Equal(types.CodeOf(err), types.CodeConflict)
}

// Guards against a guess when the store goes down between a write and its answer.
func TestStoreDownAfterWriteIsNotGuessed(t *testing.T) {
	f := start(t)
	jana := f.person("jana", lost(f, func() { f.faults(standin.Faults{Down: true}) }))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := jana.Apply(ctx, revision(t, 0, 1500))
	f.Equal(types.CodeOf(err), types.CodeAnswerLost)
	f.True(strings.Contains(err.Error(), "jana-1"))
	f.faults(standin.Faults{})
	now, err := jana.Current(t.Context())
	f.NoErr(err)
	f.Equal(now.WriteID, "jana-1")
}

// Guards against a version whose content and write are lost because its writer failed before it wrote the history.
func TestNextOperatorWritesMissingRecord(t *testing.T) {
	f := start(t)
	c := revision(t, 0, 1500).Configuration.WithVersion(1)
	_, err := f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Value: config.Canonical(c), WriteID: "crashed-1"})
	f.NoErr(err)
	petr := f.person("petr", nil)
	_, err = petr.Apply(t.Context(), revision(t, 1, 1600))
	f.NoErr(err)
	r, err := petr.Record(t.Context(), 1)
	f.NoErr(err)
	f.Equal(r.WriteID, "crashed-1")
	f.Equal(config.Canonical(r.Configuration), config.Canonical(c))
}

// Guards against a version number that processes have seen already with another content, after the current key was
// lost or restored from an older copy.
func TestVersionsAreNotReused(t *testing.T) {
	f := start(t)
	jana := f.person("jana", nil)
	for v := range types.Version(3) {
		_, err := jana.Apply(t.Context(), revision(t, v, int64(1500+v)))
		f.NoErr(err)
	}
	e, err := f.client.Get(t.Context(), config.KeyCurrent)
	f.NoErr(err)
	_, err = f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Expected: e.Revision, Delete: true, WriteID: "x"})
	f.NoErr(err)
	out, err := jana.Apply(t.Context(), revision(t, 0, 1700))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(4))
	jana.Fleet = &fakeFleet{names: []string{"vm-1", "vm-2"}, ask: func(_ int, name string) telemetry.Status {
		if name == "vm-2" {
			return telemetry.Status{}
		}
		return telemetry.Status{VM: name, ConfigVersion: 11}
	}}
	out, err = jana.Apply(t.Context(), revision(t, 4, 1800))
	f.NoErr(err)
	f.Equal(out.Version, types.Version(12)) // the history is lost too, but a process follows version 11
}

// Guards against a reapplied version that gets its old number, or other content.
func TestReapply(t *testing.T) {
	f := start(t)
	jana := f.person("jana", nil)
	for v := range types.Version(2) {
		_, err := jana.Apply(t.Context(), revision(t, v, int64(1500+v)))
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
	f := start(t)
	jana := f.person("jana", nil)
	const extra = 3
	put := func(key string, value []byte) {
		_, err := f.client.CAS(t.Context(), store.Write{Key: key, Value: value, WriteID: "setup"})
		f.NoErr(err)
	}
	for v := range types.Version(extra + 1) {
		c := revision(t, 0, 1500).Configuration.WithVersion(v + 1)
		put(config.HistoryKey(v+1), config.Record{Version: v + 1, WriteID: "w", Configuration: c}.Encode())
	}
	last := revision(t, 0, 1500).Configuration.WithVersion(operator.MaxRecords)
	put(config.KeyCurrent, config.Canonical(last))
	for v := range types.Version(extra) {
		_, err := jana.Apply(t.Context(), revision(t, operator.MaxRecords+v, int64(1600+v)))
		f.NoErr(err)
	}
	entries, _, err := f.client.List(t.Context(), config.PrefixHistory)
	f.NoErr(err)
	f.Equal(len(entries), 1+1+extra) // version 4, the first one in force, and the new ones
	f.Equal(entries[0].Key, config.HistoryKey(extra+1))
}

// Guards against an operator who overwrites a damaged configuration without noticing.
func TestDamagedConfigurationIsReported(t *testing.T) {
	f := start(t)
	_, err := f.client.CAS(t.Context(), store.Write{Key: config.KeyCurrent, Value: []byte(`{"version":3}`), WriteID: "x"})
	f.NoErr(err)
	_, err = f.person("jana", nil).Apply(t.Context(), revision(t, 3, 1500))
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
}
