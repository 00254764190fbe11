package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/telemetry"
)

// loggedLines returns the decoded lines of a log after fill and a complete stop.
func loggedLines(t *testing.T, fill func(*telemetry.Log)) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	l := telemetry.NewLog(&out, log.Fields{"vm": "vm1"})
	fill(l)
	g := duty.NewGroup()
	g.Add(l.Duty())
	if err := g.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := g.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	var decoded []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(text), &m); err != nil {
			t.Fatal(err)
		}
		decoded = append(decoded, m)
	}
	return decoded
}

// Guards against a decision line without a field that operators search for.
func TestDecisionLineHasAllFields(t *testing.T) {
	is := is.New(t)
	got := loggedLines(t, func(l *telemetry.Log) {
		l.LogDecision(telemetry.Decision{
			Kind: "route", RequestID: "r1", Service: "catalogo", KeyHash: 255, Target: "c-1", VM: "vm2", Epoch: 7,
			Reason: "slot", Outcome: "done", Code: "none", Detail: "d",
		})
	})
	is.Equal(len(got), 1)
	is.Equal(got[0]["message"], "route")
	is.Equal(got[0]["fields"], map[string]any{
		"vm": "vm1", "request": "r1", "service": "catalogo", "keyHash": "00000000000000ff", "target": "c-1",
		"toVM": "vm2", "epoch": 7.0, "reason": "slot", "outcome": "done", "code": "none", "detail": "d",
	})
}

// Guards against lines being dropped silently when the output is slow.
func TestDroppedLinesAreReported(t *testing.T) {
	is := is.New(t)
	const extra = 5
	got := loggedLines(t, func(l *telemetry.Log) {
		for range telemetry.LogCapacity + extra {
			l.LogDecision(telemetry.Decision{Kind: "route"})
		}
		is.Equal(l.Dropped(), uint64(extra))
	})
	is.Equal(len(got), telemetry.LogCapacity+1)
	last := got[len(got)-1]
	is.Equal(last["message"], "log lines dropped")
	is.Equal(last["fields"].(map[string]any)["dropped"], float64(extra))
}

type fakeRingStats struct{ depth int }

func (q fakeRingStats) Depth() int       { return q.depth }
func (q fakeRingStats) Cap() int         { return 4 }
func (q fakeRingStats) Refused() uint64  { return 0 }
func (q fakeRingStats) Replaced() uint64 { return 0 }

// Guards against metrics that still show the former ring of a restarted link.
func TestRingReplacesMetricsOfSameName(t *testing.T) {
	is := is.New(t)
	m := telemetry.NewMetrics()
	m.Ring("link-a", fakeRingStats{depth: 1})
	m.Ring("link-a", fakeRingStats{depth: 3})
	w := httptest.NewRecorder()
	read := func() telemetry.Status { return telemetry.Status{} }
	telemetry.OpsHandler(m, read).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), `sail_ring_depth{ring="link-a"} 3`))
}
