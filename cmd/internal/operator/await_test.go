package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

const pollInterval = time.Millisecond

// Guards against reporting a version as in force while a process does not answer or follows an older version.
func TestAwaitVersion(t *testing.T) {
	is := is.New(t)
	fleet := &fakeFleet{names: []string{"vm-1", "vm-2", "vm-3"}, status: func(round int, name string) telemetry.Status {
		switch {
		case name == "vm-2" && round < 3:
			return telemetry.Status{VM: name, ConfigVersion: 6}
		case name == "vm-3" && round < 5:
			return telemetry.Status{}
		}
		return telemetry.Status{VM: name, ConfigVersion: 7 + uint64(round)}
	}}
	o := &operator.Operator{Fleet: fleet}
	var seen []operator.Progress
	_, err := o.AwaitVersion(t.Context(), 7, pollInterval, func(p operator.Progress) { seen = append(seen, p) })
	is.NoErr(err)
	is.Equal(len(seen), 3) // shown when the progress changed, not after every poll
	is.Equal(seen[0].Pending, []string{"vm-2/dispatcher: follows version 6"})
	is.Equal(seen[0].Unreachable, []string{"vm-3/dispatcher"})
	is.True(seen[2].Complete())
}

// Guards against a wait that never ends, and against one that times out without an error.
func TestAwaitVersionTimesOut(t *testing.T) {
	is := is.New(t)
	fleet := &fakeFleet{names: []string{"vm-1", "vm-2"}, status: func(_ int, name string) telemetry.Status {
		if name == "vm-2" {
			return telemetry.Status{}
		}
		return telemetry.Status{VM: name, ConfigVersion: 7}
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	p, err := (&operator.Operator{Fleet: fleet}).AwaitVersion(ctx, 7, pollInterval, func(operator.Progress) {})
	is.Equal(types.CodeOf(err), types.CodeDeadlineExceeded)
	is.Equal(p.Unreachable, []string{"vm-2/dispatcher"})
}

// Guards against reporting a data centre as out of service while a process still has or admits requests for it.
func TestAwaitDecision(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	out, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	const target = "mapa-skvrn-03" // in kladno
	jana.Fleet = &fakeFleet{names: []string{"vm-1"}, status: func(round int, name string) telemetry.Status {
		s := telemetry.Status{VM: name, Incarnation: 1, OpsRevision: uint64(out.Revision)}
		q := telemetry.QueueStatus{Service: "mapa-skvrn", Target: target, Admitted: 9}
		// The target of this queue is in another data centre, so its requests must not count.
		other := telemetry.QueueStatus{Service: "mapa-skvrn", Target: "mapa-skvrn-01", InFlight: 4, Admitted: uint64(100 * round)}
		switch round {
		case 1:
			q.Admitted = 4
			s.OpsRevision--
		case 2:
			q.Waiting, q.InFlight, q.Admitted = 2, 1, 5
		case 3:
			q.Admitted = 8
		}
		s.Queues = []telemetry.QueueStatus{other, q}
		return s
	}}
	var seen []string
	_, err = jana.AwaitDecision(t.Context(), out, pollInterval, func(p operator.Progress) { seen = append(seen, p.Pending...) })
	f.NoErr(err)
	f.Equal(jana.Fleet.(*fakeFleet).round, 5)
	f.Equal(seen, []string{"vm-1/dispatcher: has not seen the decision"})
}

// Guards against reporting all requests since the start of a process as new when it is polled for the first time.
func TestAwaitDecisionComparesTwoRounds(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	out, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	jana.Fleet = &fakeFleet{names: []string{"vm-1"}, status: func(_ int, name string) telemetry.Status {
		s := telemetry.Status{VM: name, Incarnation: 1, OpsRevision: uint64(out.Revision)}
		s.Queues = []telemetry.QueueStatus{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", Admitted: 152}}
		return s
	}}
	var seen []string
	_, err = jana.AwaitDecision(t.Context(), out, pollInterval, func(p operator.Progress) { seen = append(seen, p.Pending...) })
	f.NoErr(err)
	f.Equal(seen, []string{"vm-1/dispatcher: no work in hand; asking again whether it admits any"})
}

// Guards against missing new requests after a restart, when the admission counter starts at 0 again.
func TestAwaitDecisionSeesWorkAfterRestart(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	out, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	jana.Fleet = &fakeFleet{names: []string{"vm-1"}, status: func(round int, name string) telemetry.Status {
		s := telemetry.Status{VM: name, Incarnation: uint64(round), OpsRevision: uint64(out.Revision)}
		s.Queues = []telemetry.QueueStatus{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", Admitted: 5}}
		return s
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	p, err := jana.AwaitDecision(ctx, out, pollInterval, func(operator.Progress) {})
	f.Equal(types.CodeOf(err), types.CodeDeadlineExceeded)
	f.True(strings.Contains(p.Pending[0], "requests admitted since it was last asked: 5"))
}

// Guards against a process that does not respond and delays the results of the others, against its late answer being
// taken for the answer to a later query, and against refusing the status of a newer process because of an unknown
// field.
func TestQueryReturnsDespiteUnresponsiveProcess(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		_ = json.NewEncoder(w).Encode(telemetry.Status{VM: "vm-2"})
	}))
	defer unresponsive.Close()
	defer close(release)
	responsive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vm":"vm-1","configVersion":3,"addedLater":true}`))
	}))
	defer responsive.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	fleet, err := operator.StartFleet(t.Context(), []operator.Process{
		{VM: "vm-1", Role: "gateway", Address: address(responsive)},
		{VM: "vm-2", Role: "gateway", Address: address(unresponsive)},
		{VM: "vm-3", Role: "gateway", Address: "127.0.0.1:1"},
	}, operator.FleetOptions{Timeout: time.Second, Now: time.Now})
	is.NoErr(err)
	reports := fleet.Query(t.Context())
	is.Equal(reports[0].Status.ConfigVersion, uint64(3))
	is.Equal(types.CodeOf(reports[1].Err), types.CodePeerUnavailable)
	is.Equal(types.CodeOf(reports[2].Err), types.CodePeerUnavailable)
	reports = fleet.Query(t.Context())
	is.NoErr(reports[1].Err)
	is.NoErr(fleet.Stop(t.Context()))
}

// Guards against a snapshot that is empty while the store is down, or that does not show the age of its values.
func TestSnapshotDuringOutage(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	_, err := jana.Decide(t.Context(), kladnoOut)
	f.NoErr(err)
	answers := true
	jana.Fleet = &fakeFleet{names: []string{"vm-1"}, status: func(_ int, name string) telemetry.Status {
		if !answers {
			return telemetry.Status{}
		}
		return telemetry.Status{VM: name, ConfigVersion: 1}
	}}
	first := jana.Snapshot(t.Context(), nil)
	f.True(first.InForce())
	f.setFaults(standin.Faults{Down: true})
	second := jana.Snapshot(t.Context(), &first)
	f.True(second.Store.Error != "")
	f.Equal(second.Store.Rows[kladnoOut.Key].State, config.OpsOut)
	f.Equal(second.Store.SeenAt, first.Store.SeenAt)
	f.Equal(second.Processes[0].Status.ConfigVersion, uint64(1))
	f.True(!second.InForce())
	answers = false
	third := jana.Snapshot(t.Context(), &second)
	f.Equal(third.Processes[0].SeenAt, second.Processes[0].SeenAt)
	f.True(third.Processes[0].Error != "")
}

// Guards against a watch that misses or repeats changes, also across an outage of the store.
func TestWatchAcrossOutage(t *testing.T) {
	f := startConfigured(t)
	jana := f.newOperator("jana", nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var seen []string
	step := 0
	err := jana.Watch(ctx, func(n operator.WatchEvent) {
		seen = append(seen, n.Key+" "+n.Text)
		step++
		switch step {
		case 1:
			_, err := jana.Decide(t.Context(), kladnoOut)
			f.NoErr(err)
		case 2:
			f.setFaults(standin.Faults{Down: true})
		case 4: // both watches have reported the outage
			f.setFaults(standin.Faults{})
		case 6: // both watches have reported its end
			_, err := jana.Decide(t.Context(), operator.Decision{Key: kladnoOut.Key, State: config.OpsIn})
			f.NoErr(err)
		case 7:
			cancel()
		}
	})
	f.NoErr(err)
	f.Equal(seen[0], "config/current in force")
	f.Equal(seen[1], "ops/dc/kladno out by jana: power")
	f.True(strings.Contains(seen[2], "does not answer") && strings.Contains(seen[3], "does not answer"))
	f.True(strings.Contains(seen[4], "answers again") && strings.Contains(seen[5], "answers again"))
	f.Equal(seen[6], "ops/dc/kladno in by jana")
}

// Guards against a watch that polls an empty store in a loop instead of waiting for a change.
func TestWatchOfEmptyStoreWaits(t *testing.T) {
	f := startStore(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f.NoErr(f.newOperator("jana", nil).Watch(ctx, func(operator.WatchEvent) {}))
	res, err := http.Get("http://" + f.address + standin.PathCalls)
	f.NoErr(err)
	defer res.Body.Close()
	var calls map[string]int
	f.NoErr(json.NewDecoder(res.Body).Decode(&calls))
	f.Equal(calls["list"], 2) // one for each of the two watched prefixes
	f.Equal(calls["watch"], 2)
}
