package measure

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/dispatch"
)

func source(seed uint64) dispatch.Random { return rand.NewPCG(seed, 0) }

// Guards against a slow target that delays requests for keys of other targets.
func TestStragglersDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	r := MeasureStragglers(source, 1)
	t.Logf("%v", r)
	is.True(r[0].Ratio() <= 2)
	is.True(r[1].Ratio() > 2) // the measurement detects the baseline's shared queue
}

// Guards against sending a restarted target more requests than it can handle while cold (R3).
func TestColdTargetIsNeverOverAdmitted(t *testing.T) {
	is := is.New(t)
	r := MeasureColdStart(source, 1)
	t.Logf("%v", r)
	is.True(r[0].Received > 100)
	is.True(r[1].OverAdmitted > 0)
	is.True(r[2].OverAdmitted < r[3].OverAdmitted)
	for seed := range uint64(4) {
		is.Equal(runColdStart(source(seed), "core", coldWarmUp, crashAndRestart).OverAdmitted, 0)
	}
}

// Guards against congestion collapse and late refusals at twice the capacity.
func TestOverload(t *testing.T) {
	is := is.New(t)
	r := MeasureOverload(source, 1)
	t.Logf("%v", r)
	is.True(r[0].Goodput >= 0.95)
	is.True(r[0].FailureP99 <= refusalGoal)
	is.True(r[1].Goodput < 0.95)
}

// Guards against orders that run twice, are reported as done but never ran, or are reported as not run but did (R6, R7).
func TestOrdersRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	r := MeasureOrders(source, 1, 30_000)
	t.Logf("%v", r)
	for _, core := range r[:2] {
		is.Equal(core.Doubled, 0)
		is.Equal(core.Lost, 0)
		is.Equal(core.FalseNotRun, 0)
		is.True(core.Done > 0.5)
	}
	is.True(r[0].DispatcherLosses > 0)
	is.True(r[2].Doubled > 0)
}

// BenchmarkMeasure logs the results of all measurements at full size.
func BenchmarkMeasure(b *testing.B) {
	for b.Loop() {
		var lines []string
		for _, r := range All(source, 1) {
			lines = append(lines, r.String())
		}
		b.Log("\n" + strings.Join(lines, "\n"))
	}
}
