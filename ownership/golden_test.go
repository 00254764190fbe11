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

// Golden sessions fix the order and content of the actions, which other tests only check by their effects. Each line of
// the input is a time in milliseconds, a verb and its arguments; the actions follow below the line that caused them.
func TestGoldenSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			got := session(newSolo(t), string(archive.Files[0].Data))
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

func session(s *solo, input string) string {
	var b strings.Builder
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		ms, _ := strconv.Atoi(f[0])
		s.now = types.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
		s.verb(f[1], f[2:])
		fmt.Fprintln(&b, strings.Join(f, " "))
		for _, a := range s.out {
			fmt.Fprintln(&b, "    "+describe(a))
		}
	}
	return b.String()
}

func (s *solo) verb(verb string, args []string) {
	switch verb {
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
			Target: types.TargetID{Service: "mapa", Target: "t00"}, Number: s.holder.calls, Status: status,
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

// documents reads "leases=EPOCH:STATE" and "slots=EPOCH:STATE".
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
			row.State, row.Ending = LeaseRevoked, true
		case "next":
			row.State, row.Next = LeaseRevoked, Peer{"other", 1}
		}
		out = append(out, d)
	}
	return out
}

func describe(a Action) string {
	switch a.Kind {
	case ActGrant, ActRenew, ActRelease:
		return fmt.Sprintf("%s epoch=%d token=%d areas=%v", a.Kind, a.Call.Epoch, a.Call.Token, a.Call.Areas)
	case ActServe, ActStop:
		until := a.Serve.ValidUntil.Sub(types.Instant(time.Hour)).Milliseconds()
		return fmt.Sprintf("%s number=%d epoch=%d until=%d areas=%v", a.Kind, a.Serve.Number, a.Serve.Epoch, max(until, 0), a.Serve.Areas)
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
