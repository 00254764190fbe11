package dispatch

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"sequoiasail.example/types"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against unnoticed changes in whole sessions: the actions, their times and the log lines.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txtar")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			actions, log := runSession(t, string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "actions", Data: actions}, txtar.File{Name: "log", Data: log})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
				return
			}
			is.Equal(string(actions), string(archive.Files[1].Data))
			is.Equal(string(log), string(archive.Files[2].Data))
		})
	}
}

// runSession executes lines of the form "MILLISECOND KIND ARGUMENT...". It returns the actions and the log lines.
func runSession(t *testing.T, input string) ([]byte, []byte) {
	f := newFixture(t)
	var actions, log bytes.Buffer
	write := func() {
		for _, a := range f.out {
			at := f.now.Sub(start).Milliseconds()
			if a.Kind == ActionDecision {
				fmt.Fprintf(&log, "%d request=%d id=%s attempt=%d target=%v epoch=%d reason=%v code=%s outcome=%v\n",
					at, a.Handle, a.ID, a.Attempt, a.Target, a.Epoch, a.Reason, a.Code, a.Outcome)
				continue
			}
			fmt.Fprintf(&actions, "%d %s\n", at, describe(a))
		}
		f.out = nil
	}
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		at, err := strconv.Atoi(words[0])
		f.NoErr(err)
		for end := start.Add(time.Duration(at) * time.Millisecond); f.now < end; write() {
			wake, set := f.core.NextWake()
			if !set || wake > end {
				wake = end
			}
			f.now = max(f.now, wake)
			f.collect(f.core.Tick(f.now, nil))
		}
		f.step(parseMessage(f, words[1], parseArguments(words[2:])))
		write()
	}
	return actions.Bytes(), log.Bytes()
}

func describe(a Action) string {
	switch a.Kind {
	case ActionSend:
		return fmt.Sprintf("send %d attempt=%d target=%v connection=%d new-connection=%v", a.Handle, a.Attempt, a.Target, a.Connection, a.NewConnection)
	case ActionCancelSend:
		return fmt.Sprintf("cancel-send %d attempt=%d connection=%d", a.Handle, a.Attempt, a.Connection)
	case ActionReply:
		return fmt.Sprintf("reply %d %v code=%s replay=%d", a.Handle, a.Outcome, a.Code, a.Replay)
	case ActionStoreCopy:
		return fmt.Sprintf("store-copy %d id=%s state=%d", a.Handle, a.Entry.ID, a.Entry.State)
	case ActionForget:
		return fmt.Sprintf("forget %d", a.Handle)
	case ActionAnnounceQuarantine:
		return fmt.Sprintf("announce fingerprint=%d deaths=%d", a.Quarantine.Fingerprint, a.Quarantine.Deaths)
	case ActionSlotIdle:
		return fmt.Sprintf("slot-idle %v slot=%d", a.Target, a.Slot)
	}
	return fmt.Sprintf("report %v %v", a.Target, a.Condition)
}

type arguments map[string]int

// parseArguments reads name=number pairs. A bare word counts as 1.
func parseArguments(words []string) arguments {
	all := arguments{}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			n = 1
		}
		all[name] = n
	}
	return all
}

var resultNames = []string{"answered", "refused", "not-written", "broken", "timed-out", "cut-body", "not-started"}

// parseMessage returns the message of one input line. All sessions use the target objednavky/a.
func parseMessage(f *fixture, kind string, a arguments) Message {
	m := Message{Handle: Handle(a["h"]), Target: unkeyedA}
	switch kind {
	case "lookup", "order":
		m.Kind = MessageRequest
		m.Request = lookup(unkeyedA)
		if kind == "order" {
			m.Request = f.order(unkeyedA, name("o", a["id"]))
		}
		m.Request.MintedMs = startWall + int64(a["minted"])
		m.Request.Fingerprint = Fingerprint(a["fingerprint"])
		m.Request.Deadline = f.now.Add(time.Duration(a["timeout"]) * time.Millisecond)
		m.Request.LeaseEpoch = types.Epoch(max(a["epoch"], 7))
	case "copied":
		m.Kind, m.Stored = MessageCopyDone, true
	case "cancel":
		m.Kind = MessageCancel
	case "serve":
		valid := f.now.Add(time.Duration(a["valid"]) * time.Millisecond)
		m.Kind = MessageServe
		m.Lease = Lease{Epoch: types.Epoch(a["epoch"]), ValidUntil: valid, WallMs: f.wall(), Warm: a["warm"] > 0}
	case "stop":
		m.Kind = MessageStopServing
	case "drain":
		m.Kind, m.Drain = MessageDrain, Drain{Target: unkeyedA, Off: a["off"] > 0}
	case "tick":
		m.Kind = MessageNone
	default:
		m.Kind = MessageResult
		m.Result = Result{
			Attempt: Attempt(max(a["attempt"], 1)), Connection: a["connection"], Load: LoadUnknown,
			Latency: time.Duration(a["latency"]) * time.Millisecond, Incarnation: types.Incarnation(a["incarnation"]),
		}
		for n, known := range resultNames {
			if kind == known {
				m.Result.Kind = ResultKind(n)
				return m
			}
		}
		f.Fail() // unknown kind of line
	}
	return m
}
