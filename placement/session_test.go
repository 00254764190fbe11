package placement_test

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

	"sequoiasail.example/placement"
	"sequoiasail.example/placement/measure"
	"sequoiasail.example/types"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session executes the commands of a recorded session on a fleet of 4 targets with 16 slots.
type session struct {
	fleet *measure.Fleet
	load  map[types.Slot]float32
	out   strings.Builder
}

// Guards against unintended changes of planning decisions: the actions of whole sessions are compared with golden
// files.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/session/*.txtar")
	if len(files) == 0 {
		t.Fatal("no sessions")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runSessionFile(t, file) })
	}
}

// runSessionFile executes the session in file and compares its output with the recorded one.
func runSessionFile(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &session{fleet: measure.NewFleet(16, 4), load: map[types.Slot]float32{}}
	s.fleet.Log = s.log
	for _, line := range strings.Split(strings.TrimSpace(string(archive.Files[0].Data)), "\n") {
		fmt.Fprintf(&s.out, "> %s\n", line)
		if !s.runCommand(strings.Fields(line)) {
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

// runCommand executes one command line, split into words. It returns false for an unknown command.
func (s *session) runCommand(w []string) bool {
	switch w[0] {
	case "state": // TARGET in|cold|straggler|draining|lost
		for k := placement.StateActive; k <= placement.StateLost; k++ {
			if k.String() == w[2] {
				s.fleet.SetState(types.Target(w[1]), k)
			}
		}
	case "add": // TARGET
		s.fleet.Add(types.Target(w[1]), placement.StateCold)
	case "remove": // TARGET
		s.fleet.Remove(types.Target(w[1]))
	case "load": // SLOT=LOAD...: extra load of each slot, as a multiple of the 10 requests a second that every slot gets
		clear(s.load)
		for _, pair := range w[1:] {
			slot, load, _ := strings.Cut(pair, "=")
			n, _ := strconv.Atoi(slot)
			l, _ := strconv.ParseFloat(load, 32)
			s.load[types.Slot(n)] = float32(l)
		}
	case "run": // DURATION
		d, _ := time.ParseDuration(w[1])
		s.run(d)
	default:
		return false
	}
	return true
}

// run advances the fleet by d and reports the load of all slots every 10 s.
func (s *session) run(d time.Duration) {
	for end := s.fleet.Elapsed() + d; s.fleet.Elapsed() < end; {
		s.fleet.Second()
		if s.fleet.Elapsed()%(10*time.Second) == 0 {
			for slot := range types.Slot(16) {
				s.fleet.CountRequests(slot, 100*(1+s.load[slot]))
			}
			s.fleet.SendReports()
		}
	}
}

// log writes an applied action to the output of the session.
func (s *session) log(at types.Instant, a placement.Action) {
	fmt.Fprintf(&s.out, "%v %s %d-%d %s to %s: %s\n",
		at.Sub(types.Instant(time.Hour)), a.Kind, a.First, a.Last, a.From, a.To, a.Reason)
}
