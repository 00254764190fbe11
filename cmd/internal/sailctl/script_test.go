package sailctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/sailctl"
)

// TestScripts runs each command line of testdata/script against a stand-in store and processes that follow it, and
// compares what operators and scripts see. It guards against output, exit codes and effects that change unnoticed.
// UPDATE_SCRIPTS=1 go test rewrites the expected output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       os.Getenv("UPDATE_SCRIPTS") != "",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"sailctl": runSailctl, "store": setStore, "process": setProcess, "clock": moveClock, "settings": writeSettings,
		},
	})
}

// world is what one script works on.
type world struct {
	mu        sync.Mutex
	now       time.Time
	writes    int
	address   string
	client    *store.HTTP
	processes []*process
}

// process is a gateway or dispatcher that follows the store at once.
type process struct {
	vm, role, centre string
	server           *httptest.Server
	w                *world
	mode             string
	admitted         uint64
}

type worldKey struct{}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func setup(env *testscript.Env) error {
	w := &world{now: time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)}
	g := duty.NewGroup()
	address, err := standin.Start(context.Background(), g, standin.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		return err
	}
	w.address, w.client = address, store.NewHTTP(store.Options{Address: address, Name: "processes"})
	for i, centre := range []string{"praha-a", "praha-b", "kladno"} {
		for _, role := range []string{"gateway", "dispatcher"} {
			p := &process{vm: "vm-" + strconv.Itoa(i+1), role: role, centre: centre, w: w}
			p.server = httptest.NewServer(p)
			w.processes = append(w.processes, p)
		}
	}
	env.Defer(func() {
		for _, p := range w.processes {
			p.server.Close()
		}
		w.client.Close()
		_ = g.Stop(context.Background())
	})
	env.Values[worldKey{}] = w
	return copyExamples(env.WorkDir)
}

func copyExamples(dir string) error {
	for _, user := range []string{"joint-venture", "semillas"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", user, "answers.json"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, user+".json"), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP answers GET /status.
func (p *process) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.mode == "down" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s := telemetry.Status{VM: p.vm, Role: p.role, DataCentre: p.centre, Incarnation: 1, Ready: true}
	if e, err := p.w.client.Get(context.Background(), config.KeyCurrent); err == nil && p.mode != "behind" {
		c, _ := config.Parse(e.Value)
		s.ConfigVersion = uint64(c.Version)
	}
	if _, at, err := p.w.client.List(context.Background(), config.PrefixOps); err == nil && p.mode != "behind" {
		s.OpsRevision = uint64(at)
	}
	if p.role == "dispatcher" {
		if p.mode == "busy" {
			p.admitted++
		}
		s.Leases = []telemetry.Lease{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", LeaseEpoch: 4, Slots: 64}}
		s.Queues = []telemetry.QueueStatus{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", Limit: 4, Admitted: p.admitted}}
	}
	_ = json.NewEncoder(w).Encode(s)
}

// runSailctl is "sailctl CODE ARGS...": it runs one command line and expects the exit code.
func runSailctl(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	if neg || len(args) < 2 {
		ts.Fatalf("usage: sailctl CODE ARGS...")
	}
	for i, a := range args {
		if strings.HasSuffix(a, ".json") {
			args[i] = ts.MkAbs(a)
		}
	}
	var out, errs bytes.Buffer
	code := sailctl.Run(context.Background(), sailctl.Environment{
		Args: args[1:], Stdout: &out, Stderr: &errs, Poll: time.Millisecond,
		Now: func() time.Time { w.mu.Lock(); defer w.mu.Unlock(); return w.now },
		NewWriteID: func(operator string) func() string {
			return func() string { w.writes++; return operator + "-" + strconv.Itoa(w.writes) }
		},
	})
	strip := strings.NewReplacer(ts.MkAbs(".")+string(filepath.Separator), "")
	fmt.Fprint(ts.Stdout(), strip.Replace(out.String()))
	fmt.Fprint(ts.Stderr(), strip.Replace(errs.String()))
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s\n%s%s", code, args[0], out.String(), errs.String())
	}
}

// setStore is "store up|down|lose N|put KEY VALUE".
func setStore(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	f := standin.Faults{Down: args[0] == "down"}
	switch args[0] {
	case "lose":
		f.LoseAnswers, _ = strconv.Atoi(args[1])
	case "put":
		at := types.Revision(0)
		if e, err := w.client.Get(context.Background(), args[1]); err == nil {
			at = e.Revision
		}
		_, err := w.client.CAS(context.Background(), store.Write{Key: args[1], Expected: at, Value: []byte(args[2]), WriteID: "script"})
		ts.Check(err)
		return
	}
	data, err := json.Marshal(f)
	ts.Check(err)
	res, err := http.Post("http://"+w.address+standin.PathFaults, "application/json", bytes.NewReader(data))
	ts.Check(err)
	ts.Check(res.Body.Close())
}

// setProcess is "process VM up|down|behind|busy".
func setProcess(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.vm == args[0] {
			p.mode = args[1]
		}
	}
}

// moveClock is "clock DURATION".
func moveClock(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// writeSettings is "settings FILE OPERATOR": it writes a settings file for the stand-ins.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	s := sailctl.Settings{
		Store: "", Operator: args[1], StoreTimeoutMs: 500, StatusTimeoutMs: 500, PictureFile: ts.MkAbs("picture"),
	}
	data, err := json.Marshal(s)
	ts.Check(err)
	var root map[string]any
	ts.Check(json.Unmarshal(data, &root))
	root["store"] = w.address
	list := []any{}
	for _, p := range w.processes {
		list = append(list, map[string]any{"vm": p.vm, "role": p.role, "ops": strings.TrimPrefix(p.server.URL, "http://")})
	}
	root["processes"] = list
	data, err = json.Marshal(root)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), data, 0o600))
}
