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

func startApplied(t *testing.T) *fixture {
	t.Helper()
	f := start(t)
	_, err := f.person("setup", nil).Apply(t.Context(), revision(t, 0, 2000))
	f.NoErr(err)
	return f
}

var takeOut = operator.Decision{Key: config.DataCentreKey("kladno"), State: config.OpsOut, Note: "power"}

// Guards against a decision that is lost, or that a lost answer reports as failed.
func TestDecide(t *testing.T) {
	f := startApplied(t)
	jana := f.person("jana", nil)
	f.faults(standin.Faults{LoseAnswers: 1})
	out, err := jana.Decide(t.Context(), takeOut)
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.True(out.Revision > 0)
	again, err := jana.Decide(t.Context(), takeOut)
	f.NoErr(err)
	f.True(again.Unchanged)
	f.Equal(again.Revision, out.Revision)
	back, err := jana.Decide(t.Context(), operator.Decision{Key: takeOut.Key, State: config.OpsIn})
	f.NoErr(err)
	f.Equal(back.Version, types.Version(2))
	rows, err := jana.Rows(t.Context())
	f.NoErr(err)
	f.Equal(rows.State(takeOut.Key), config.OpsIn)
	f.Equal(rows[takeOut.Key].History[0].Note, "power")
}

// Guards against operators with opposite decisions who both believe that theirs holds.
func TestRacingDecisions(t *testing.T) {
	f := startApplied(t)
	for round := range 10 {
		state := []config.OpsState{config.OpsOut, config.OpsDraining}
		var wg sync.WaitGroup
		out := make([]operator.DecisionResult, 2)
		errs := make([]error, 2)
		for i := range 2 {
			o := f.person("operator-"+string(rune('a'+i))+string(rune('0'+round)), nil)
			wg.Go(func() {
				out[i], errs[i] = o.Decide(t.Context(), operator.Decision{Key: takeOut.Key, State: state[i]})
			})
		}
		wg.Wait()
		rows, err := f.person("reader", nil).Rows(t.Context())
		f.NoErr(err)
		row := rows[takeOut.Key]
		for i := range 2 {
			if errs[i] != nil {
				f.Equal(types.CodeOf(errs[i]), types.CodeConflict)
				continue
			}
			// Either the decision holds, or it was followed by the other one and is in the row's history.
			f.True(row.State == state[i] || row.History[0].State == state[i])
			f.True(out[i].Version <= row.Version)
		}
		f.True(errs[0] == nil || errs[1] == nil)
		_, err = f.person("reset"+string(rune('0'+round)), nil).Decide(t.Context(), operator.Decision{Key: takeOut.Key, State: config.OpsIn})
		f.NoErr(err)
	}
}

// Guards against a decision that took effect, was reversed by another operator, and is reported as if neither happened.
func TestLostAnswerAndReversed(t *testing.T) {
	f := startApplied(t)
	petr := f.person("petr", nil)
	jana := f.person("jana", lost(f, func() {
		_, err := petr.Decide(t.Context(), operator.Decision{Key: takeOut.Key, State: config.OpsIn, Note: "needed"})
		f.NoErr(err)
	}))
	out, err := jana.Decide(t.Context(), takeOut)
	f.NoErr(err)
	f.Equal(out.Version, types.Version(1))
	f.Equal(out.ReplacedBy.Operator, "petr")
	f.Equal(out.ReplacedBy.State, config.OpsIn)
}

// Guards against a row for a name that does not exist, and against a service without targets by mistake.
func TestDecideRefuses(t *testing.T) {
	f := startApplied(t)
	jana := f.person("jana", nil)
	_, err := jana.Decide(t.Context(), operator.Decision{Key: config.DataCentreKey("brno"), State: config.OpsOut})
	f.Equal(types.CodeOf(err), types.CodeNotFound)
	for _, name := range []types.DataCentre{"praha-a", "praha-b"} {
		_, err = jana.Decide(t.Context(), operator.Decision{Key: config.DataCentreKey(name), State: config.OpsOut})
		f.NoErr(err)
	}
	_, err = jana.Decide(t.Context(), takeOut)
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	f.True(strings.Contains(err.Error(), "services.mapa-skvrn: none of 16 targets would be left in service"))
	forced := takeOut
	forced.Force = true
	_, err = jana.Decide(t.Context(), forced)
	f.NoErr(err)
}

// Guards against a damaged row that nobody can replace, and against a decision that processes ignore as too old after
// the store lost the rows.
func TestForcedRowSupersedesAll(t *testing.T) {
	f := startApplied(t)
	jana := f.person("jana", nil)
	_, err := f.client.CAS(t.Context(), store.Write{Key: takeOut.Key, Value: []byte("out"), WriteID: "x"})
	f.NoErr(err)
	_, err = jana.Decide(t.Context(), takeOut)
	f.Equal(types.CodeOf(err), types.CodeBadConfiguration)
	forced := takeOut
	forced.Force = true
	first, err := jana.Decide(t.Context(), forced)
	f.NoErr(err)
	f.True(first.Version > 1e9) // above any count of decisions
	second, err := jana.Decide(t.Context(), forced)
	f.NoErr(err)
	f.True(second.Version > first.Version) // also within the same second, and with the same state
	rows, err := jana.Rows(t.Context())
	f.NoErr(err)
	f.Equal(len(rows[takeOut.Key].History), 1)
}
