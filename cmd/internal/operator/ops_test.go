package operator_test

import (
	"strings"
	"sync"
	"testing"

	"sequoiasail.example/config"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// startConfigured starts a stand-in store with the joint-venture configuration as version 1.
func startConfigured(t *testing.T) *fixture {
	t.Helper()
	f := startStore(t)
	_, err := f.newOperator("setup", nil).Apply(t.Context(), newApplyRequest(t, 0, 2000))
	f.NoErr(err)
	return f
}

// kladnoOut takes the data centre kladno out of service.
var kladnoOut = operator.Decision{Key: config.DataCentreKey("kladno"), State: config.OpsOut, Note: "power"}

// Guards against losing a decision, and against reporting one as failed because the store's answer was lost.
func TestDecide(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	f.setFaults(standin.Faults{LoseAnswers: 1})
	out, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.True(out.Revision > 0)
	again, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	f.True(again.Unchanged)
	f.Equal(again.Revision, out.Revision)
	returned, err := jana.Decide(t.Context(), operator.Decision{Key: kladnoOut.Key, State: config.OpsIn})
	f.NoErr(err)
	f.Equal(returned.Version, types.Version(2))
	rows, err := jana.Rows(t.Context())
	f.NoErr(err)
	f.Equal(rows.State(kladnoOut.Key), config.OpsIn)
	f.Equal(rows[kladnoOut.Key].History[0].Note, "power")
}

// Guards against reporting success to two operators with opposite decisions when one of them never took effect.
func TestConcurrentDecisions(t *testing.T) {
	f := startConfigured(t)
	for round := range 10 {
		state := []config.OpsState{config.OpsOut, config.OpsDraining}
		var wg sync.WaitGroup
		out := make([]operator.DecisionResult, 2)
		errs := make([]error, 2)
		for i := range 2 {
			o := f.newOperator("operator-"+string(rune('a'+i))+string(rune('0'+round)), nil)
			wg.Go(func() {
				out[i], errs[i] = o.Decide(t.Context(), operator.Decision{Key: kladnoOut.Key, State: state[i]})
			})
		}
		wg.Wait()
		rows, err := f.newOperator("reader", nil).Rows(t.Context())
		f.NoErr(err)
		row := rows[kladnoOut.Key]
		for i := range 2 {
			if errs[i] != nil {
				f.Equal(types.CodeOf(errs[i]), types.CodeConflict)
				continue
			}
			// Either the decision is in force, or the other one replaced it and it is in the row's history.
			f.True(row.State == state[i] || row.History[0].State == state[i])
			f.True(out[i].Version <= row.Version)
		}
		f.True(errs[0] == nil || errs[1] == nil)
		_, err = f.newOperator("reset"+string(rune('0'+round)), nil).Decide(t.Context(), operator.Decision{Key: kladnoOut.Key, State: config.OpsIn})
		f.NoErr(err)
	}
}

// Guards against a wrong result when the answer to a decision is lost and another operator reverses it before it is read
// back.
func TestLostAnswerThenReversedDecision(t *testing.T) {
	f := startConfigured(t)
	petr := f.newOperator("petr", nil)
	jana := f.newOperator("jana", loseFirstAnswer(f, func() {
		_, err := petr.Decide(t.Context(), operator.Decision{Key: kladnoOut.Key, State: config.OpsIn, Note: "needed"})
		f.NoErr(err)
	}))
	out, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy.Operator, "petr")
	f.Equal(out.ReplacedBy.State, config.OpsIn)
}

// Guards against writing a row for a name that does not exist, and against leaving a service without targets unless
// forced.
func TestDecideRefuses(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	_, err := jana.Decide(t.Context(), operator.Decision{Key: config.DataCentreKey("brno"), State: config.OpsOut})
	f.Equal(types.CodeOf(err), types.CodeNotFound)
	for _, name := range []types.DataCentre{"praha-a", "praha-b"} {
		_, err = jana.Decide(t.Context(), operator.Decision{Key: config.DataCentreKey(name), State: config.OpsOut})
		f.NoErr(err)
	}
	_, err = jana.Decide(t.Context(), kladnoOut)
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	f.True(strings.Contains(err.Error(), "services.mapa-skvrn: none of 16 targets would be left in service"))
	forced := kladnoOut
	forced.Force = true
	_, err = jana.Decide(t.Context(), forced)
	f.NoErr(err)
}

// Guards against a damaged row that cannot be replaced, and against a decision that processes ignore as older than one they
// know, after the store lost the rows.
func TestForcedRowSupersedesEarlierRows(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	_, err := f.client.CAS(t.Context(), store.Write{Key: kladnoOut.Key, Value: []byte("out"), WriteID: "x"})
	f.NoErr(err)
	_, err = jana.Decide(t.Context(), kladnoOut)
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	forced := kladnoOut
	forced.Force = true
	first, err := jana.Decide(t.Context(), forced)
	f.NoErr(err)
	f.True(first.Version > 1e9) // above any version that counts decisions
	second, err := jana.Decide(t.Context(), forced)
	f.NoErr(err)
	f.True(second.Version > first.Version) // even within the same second and with the same state
	rows, err := jana.Rows(t.Context())
	f.NoErr(err)
	f.Equal(len(rows[kladnoOut.Key].History), 1)
}
