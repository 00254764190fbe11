package ownership

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

	"sequoiasail.example/types"
)

var update = flag.Bool("update", false, "rewrite the actions of the golden sessions")

// TestGoldenSessions guards the order and content of the actions, which other tests only check by their effects. Each
// line of the input is a time in milliseconds, a command and its arguments; the actions follow below the line that
// caused them.
func TestGoldenSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			got := runSession(newSingleCore(t), string(archive.Files[0].Data))
			if *update {
				archive.Files[1].Data = []byte(got)
				err = os.WriteFile(name, txtar.Format(archive), 0o644)
			}
			if want := string(archive.Files[1].Data); err != nil || got != want {
				t.Fatalf("%v got:\n%s\nwant:\n%s", err, got, want)
			}
		})
	}
}

// runSession applies the commands of input and returns them with the resulting actions.
func runSession(s *singleCore, input string) string {
	var b strings.Builder
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		ms, _ := strconv.Atoi(f[0])
		s.now = types.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
		s.command(f[1], f[2:])
		fmt.Fprintln(&b, strings.Join(f, " "))
		for _, a := range s.out {
			fmt.Fprintln(&b, "    "+describe(a))
		}
	}
	return b.String()
}

func (s *singleCore) command(command string, args []string) {
	switch command {
	case "tick":
		s.out = s.Tick(s.now, s.out[:0])
	case "read":
		s.read(s.now, documents(args)...)
	case "install":
		s.step(Message{Kind: KindInstall, Install: Install{Documents: documents(args)}})
	case "answer":
		status := map[string]CallStatus{"accepted": CallAccepted, "stale-token": CallStaleToken, "expired": CallExpired}[args[0]]
		token, _ := strconv.Atoi(args[1])
		s.step(Message{Kind: KindCallResult, Call: CallResult{
			Target: types.TargetID{Service: "mapa", Target: "t00"}, Number: s.holder.callNumber, Status: status,
			Token: Token(token), Incarnation: 1,
		}})
	case "drained":
		n, _ := strconv.ParseUint(args[0], 10, 64)
		s.step(Message{Kind: KindDrained, Drained: Drained{Target: types.TargetID{Service: "mapa", Target: "t00"}, Number: n}})
	case "write":
		w := s.writer.pending[0].write
		status := map[string]WriteStatus{"confirmed": WriteConfirmed, "conflict": WriteConflict, "unknown": WriteUnknown}[args[0]]
		s.step(Message{Kind: KindWriteResult, Write: WriteResult{Key: w.Document.Key, ID: w.ID, Status: status, Store: 99}})
	}
}

// documents parses "leases=EPOCH:STATE" and "slots=EPOCH:STATE".
func documents(args []string) (out []Document) {
	for _, a := range args {
		kind, rest, _ := strings.Cut(a, "=")
		epoch, state, _ := strings.Cut(rest, ":")
		n, _ := strconv.Atoi(epoch)
		if kind == "slots" {
			states := map[string]SlotState{"free": SlotFree, "owned": SlotOwned, "releasing": SlotReleasing}
			out = append(out, slotsDocument(types.Epoch(n), states[state]))
			continue
		}
		d := leasesDocument(types.Epoch(n), Peer{"vm", 1})
		row := &d.Leases.Leases[0]
		row.Epoch = types.Epoch(n)
		switch state {
		case "ending":
			row.State, row.EndsTerm = LeaseRevoked, true
		case "next":
			row.State, row.NextHolder = LeaseRevoked, Peer{"other", 1}
		}
		out = append(out, d)
	}
	return out
}

// describe formats an action for the golden file.
func describe(a Action) string {
	switch a.Kind {
	case ActGrant, ActRenew, ActRelease:
		return fmt.Sprintf("%s epoch=%d token=%d keys=%v", a.Kind, a.Call.Epoch, a.Call.Token, a.Call.KeySet)
	case ActServe, ActStop:
		until := a.Serve.ValidUntil.Sub(types.Instant(time.Hour)).Milliseconds()
		return fmt.Sprintf("%s number=%d epoch=%d until=%d keys=%v", a.Kind, a.Serve.Number, a.Serve.Epoch, max(until, 0), a.Serve.KeySet)
	case ActWrite, ActReadBack:
		d := a.Write.Document
		if d.Leases != nil {
			return fmt.Sprintf("%s %s expects=%d %+v", a.Kind, d.Key, d.Store, d.Leases.Leases)
		}
		return fmt.Sprintf("%s %s expects=%d %+v", a.Kind, d.Key, d.Store, d.Slots.Runs)
	case ActInstallReply:
		return fmt.Sprintf("%s %v", a.Kind, a.InstallReply.Versions)
	}
	return fmt.Sprintf("%s %s epoch=%d slots=%d", a.Kind, a.Decision.Reason, a.Decision.Epoch, a.Decision.Slots)
}
