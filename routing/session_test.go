package routing_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session runs the commands of a golden file and prints the actions of the Core.
type session struct {
	core     *routing.Core
	now      types.Instant
	revision types.Revision
	leases   map[types.Service]*routing.Leases
	out      strings.Builder
}

// Guards against unintended changes of decisions: the actions of whole sessions are compared with golden files.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/session/*.txtar")
	if len(files) == 0 {
		t.Fatal("no sessions")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runSessionFile(t, file) })
	}
}

func runSessionFile(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &session{core: newReadyCore(smallFleet), now: types.Instant(time.Hour), revision: 1, leases: map[types.Service]*routing.Leases{
		keyedService: leases(keyedService, smallFleet, 1), unkeyedService: leases(unkeyedService, smallFleet, 1),
	}}
	for _, line := range strings.Split(strings.TrimSpace(string(archive.Files[0].Data)), "\n") {
		fmt.Fprintf(&s.out, "> %s\n", line)
		if !s.run(strings.Fields(line)) {
			t.Fatalf("unknown command %q", line)
		}
	}
	got := s.out.String()
	if *update {
		archive.Files[1].Data = []byte(got)
		if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := string(archive.Files[1].Data); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func (s *session) step(m routing.Message) { s.print(s.core.Step(s.now, &m, nil)) }

func (s *session) run(w []string) bool {
	s.revision++
	switch w[0] {
	case "request": // HANDLE SERVICE idempotent|once TIMEOUT
		timeout, _ := time.ParseDuration(w[4])
		s.step(routing.Message{Kind: routing.KindRequest, Request: routing.Request{
			Handle: number(w[1]), Key: types.KeyHash(number(w[1])), Service: types.Service(w[2]),
			Idempotent: w[3] == "idempotent", Deadline: s.now.Add(timeout),
		}})
	case "result": // HANDLE ATTEMPT OUTCOME [CODE]
		r := routing.Result{Handle: number(w[1]), Attempt: uint8(number(w[2])), RetryAllowed: true}
		r.Outcome = map[string]types.Outcome{"done": types.OutcomeDone, "not-run": types.OutcomeNotRun}[w[3]]
		if len(w) > 4 {
			r.Code = types.Code(w[4])
		}
		s.step(routing.Message{Kind: routing.KindResult, Result: r})
	case "cancel": // HANDLE
		s.step(routing.Message{Kind: routing.KindCancel, Handle: number(w[1])})
	case "wait": // DURATION
		s.wait(w[1])
	case "up", "down": // VM
		kind := map[string]routing.Kind{"up": routing.KindLinkUp, "down": routing.KindLinkDown}[w[0]]
		s.step(routing.Message{Kind: kind, VM: types.VM(w[1])})
	case "lease": // SERVICE TARGET-NUMBER VM EPOCH
		l := s.leases[types.Service(w[1])]
		l.Revision = s.revision
		row := &l.Rows[number(w[2])]
		row.VM, row.Epoch = types.VM(w[3]), types.Epoch(number(w[4]))
		s.step(routing.Message{Kind: routing.KindLeases, Leases: l})
	case "slot": // SLOT TARGET|none EPOCH
		t := &routing.Table{
			Service: keyedService, Revision: s.revision, FirstSlot: types.Slot(number(w[1])),
			Targets: []types.Target{types.Target(w[2])}, Owners: []uint16{0}, Epochs: []types.Epoch{types.Epoch(number(w[3]))},
		}
		if w[2] == "none" {
			t.Owners[0] = routing.NoOwner
		}
		s.step(routing.Message{Kind: routing.KindTable, Table: t})
	case "hot": // KEY TARGET EPOCH
		h := &routing.HotKeys{Service: keyedService, Revision: s.revision, Rows: []routing.HotKey{
			{Key: types.KeyHash(number(w[1])), Owner: types.Target(w[2]), Epoch: types.Epoch(number(w[3]))},
		}}
		s.step(routing.Message{Kind: routing.KindHotKeys, HotKeys: h})
	case "centre": // DATA-CENTRE in|draining|out
		state := map[string]routing.State{"draining": routing.StateDraining, "out": routing.StateOutOfService}[w[2]]
		s.step(routing.Message{Kind: routing.KindOperations, Operations: &routing.Operations{
			Revision:    s.revision,
			DataCentres: []routing.DataCentreState{{DataCentre: types.DataCentre(w[1]), State: state}},
		}})
	default:
		return false
	}
	return true
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func (s *session) wait(text string) {
	d, _ := time.ParseDuration(text)
	end := s.now.Add(d)
	for {
		at, ok := s.core.NextTick()
		if !ok || at > end {
			break
		}
		s.now = max(at, s.now)
		s.print(s.core.Tick(s.now, nil))
	}
	s.now = end
}

func (s *session) print(actions []routing.Action) {
	at := s.now.Sub(types.Instant(time.Hour))
	for _, a := range actions {
		switch a.Kind {
		case routing.ActionForward:
			f := a.Forward
			fmt.Fprintf(&s.out, "%v forward %d/%d %s %s slot %d epoch %d lease %d within %v\n",
				at, f.Handle, f.Attempt, f.VM, f.Target, f.Slot, f.SlotEpoch, f.LeaseEpoch, f.Remaining)
		case routing.ActionReply:
			fmt.Fprintf(&s.out, "%v reply %d/%d %s %s\n", at, a.Reply.Handle, a.Reply.Attempt, a.Reply.Outcome, a.Reply.Code)
		case routing.ActionCancel:
			fmt.Fprintf(&s.out, "%v cancel %d/%d %s\n", at, a.Cancel.Handle, a.Cancel.Attempt, a.Cancel.VM)
		case routing.ActionDecision:
			d := a.Decision
			fmt.Fprintf(&s.out, "%v decision %d %s %s %s\n", at, d.Handle, d.Reason, d.Outcome, d.Code)
		}
	}
}
