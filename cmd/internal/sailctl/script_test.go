package sailctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// TestScripts runs the command lines of testdata/script against a stand-in store and test processes that follow it. It
// guards against changes of output, exit codes and effects that operators or their scripts depend on.
// UPDATE_SCRIPTS=1 go test rewrites the expected output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       os.Getenv("UPDATE_SCRIPTS") != "",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"sailctl": sailctlCommand, "store": setStore, "process": setProcess, "clock": advanceClock, "settings": writeSettings,
		},
	})
}

// testSystem is the stand-in store, the processes and the clock of one script or page.
type testSystem struct {
	// mu guards now and the processes.
	mu  sync.Mutex
	dir string
	now time.Time
	// writes is the number of write identifiers generated so far.
	writes int
	// address is the listen address of the store.
	address   string
	client    *store.Layout
	processes []*testProcess
}

// testProcess is the status page of a gateway or dispatcher that reads the store before each answer.
type testProcess struct {
	vm, role string
	server   *httptest.Server
	w        *testSystem
	// mode is up, down, behind (does not read the store) or busy (a dispatcher that admits a request per status query).
	mode     string
	admitted uint64
	status   telemetry.Status
}

// systemKey is the key of the testSystem in the values of a script.
type systemKey struct{}

func systemOf(ts *testscript.TestScript) *testSystem { return ts.Value(systemKey{}).(*testSystem) }

func setup(env *testscript.Env) error {
	w, stop, err := newSystem(env.WorkDir)
	if err != nil {
		return err
	}
	env.Defer(stop)
	env.Values[systemKey{}] = w
	return nil
}

// newSystem starts a stand-in store and six processes, and copies the answers of the examples to dir.
func newSystem(dir string) (w *testSystem, stop func(), err error) {
	w = &testSystem{dir: dir, now: time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)}
	g := duty.NewGroup()
	w.address, err = standin.Start(context.Background(), g, standin.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		return nil, nil, err
	}
	w.client = store.Connect(w.address, "processes", store.DefaultTimeout)
	for _, dataCentre := range []string{"praha-a", "praha-b", "kladno"} {
		for _, role := range []string{"gateway", "dispatcher"} {
			p := &testProcess{vm: dataCentre + "-vm1", role: role, w: w}
			p.status = telemetry.Status{VM: p.vm, Role: role, DataCentre: dataCentre, Incarnation: 1, Ready: true}
			p.server = httptest.NewServer(p)
			w.processes = append(w.processes, p)
		}
	}
	return w, func() {
		for _, p := range w.processes {
			p.server.Close()
		}
		w.client.Close()
		_ = g.Stop(context.Background())
	}, copyExamples(dir)
}

func copyExamples(dir string) error {
	for _, example := range []string{"joint-venture", "semillas"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", example, "answers.json"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, example+".json"), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP answers GET /status.
func (p *testProcess) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.mode == "down" {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.updateFromStore()
	s := p.status
	if p.role == "dispatcher" {
		if p.mode == "busy" {
			p.admitted++
		}
		s.Queues = []telemetry.QueueStatus{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", Limit: 4, Admitted: p.admitted}}
	}
	_ = json.NewEncoder(w).Encode(s)
}

// updateFromStore updates the status from the store. If the store cannot be read, the status stays as it is.
func (p *testProcess) updateFromStore() {
	if p.mode == "behind" {
		return
	}
	if e, err := p.w.client.Get(context.Background(), config.KeyCurrent); err == nil {
		c, _ := config.Parse(e.Value)
		p.status.ConfigVersion = uint64(c.Version)
	}
	entries, _, err := p.w.client.List(context.Background(), config.PrefixOps)
	if err != nil {
		return
	}
	rows := config.OpsRows{}
	for _, e := range entries {
		p.status.OpsRevision = max(p.status.OpsRevision, uint64(e.Revision))
		if row, err := config.ParseOpsRow(e.Value); err == nil {
			rows[e.Key] = row
		}
	}
	dataCentre := config.DataCentreKey(types.DataCentre(p.status.DataCentre))
	p.status.Leases = nil
	if p.role == "dispatcher" && rows.State(dataCentre) == config.OpsIn && rows.State(config.VMKey(types.VM(p.vm))) == config.OpsIn {
		p.status.Leases = []telemetry.Lease{{Service: "mapa-skvrn", Target: "mapa-skvrn-03", LeaseEpoch: 4, Slots: 64}}
	}
}

// runSailctl runs one sailctl command line. Names of JSON files are relative to w.dir, and w.dir is removed from the
// output.
func (w *testSystem) runSailctl(args []string, stdout, stderr io.Writer) int {
	args = append([]string(nil), args...)
	for i, a := range args {
		if strings.HasSuffix(a, ".json") || strings.HasSuffix(a, ".jsonl") {
			args[i] = filepath.Join(w.dir, a)
		}
	}
	var out, errs bytes.Buffer
	env := sailctl.Environment{
		Args: args, Stdout: &out, Stderr: &errs, PollInterval: time.Millisecond,
		Now: func() time.Time { w.mu.Lock(); defer w.mu.Unlock(); return w.now },
		NewWriteID: func(operator string) func() string {
			return func() string { w.writes++; return operator + "-" + strconv.Itoa(w.writes) }
		},
	}
	if stdout == stderr {
		env.Stderr = &out
	}
	code := sailctl.Run(context.Background(), env)
	stripDir := strings.NewReplacer(w.dir+string(filepath.Separator), "")
	fmt.Fprint(stdout, stripDir.Replace(out.String()))
	fmt.Fprint(stderr, stripDir.Replace(errs.String()))
	return code
}

// sailctlCommand is the script command "sailctl CODE ARGS...". It runs one command line and checks the exit code.
func sailctlCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: sailctl CODE ARGS...")
	}
	code := systemOf(ts).runSailctl(args[1:], ts.Stdout(), ts.Stderr())
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

func setStore(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).setStore(args))
}

func setProcess(ts *testscript.TestScript, _ bool, args []string) { systemOf(ts).setProcess(args) }

func advanceClock(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).advanceClock(args))
}

func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(systemOf(ts).writeSettings(args))
}

// setStore implements "store up|down|lose N|put KEY VALUE".
func (w *testSystem) setStore(args []string) error {
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
		return err
	}
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+w.address+standin.PathFaults, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// setProcess implements "process VM up|down|behind|busy".
func (w *testSystem) setProcess(args []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.vm == args[0] {
			p.mode = args[1]
		}
	}
}

// advanceClock implements "clock DURATION".
func (w *testSystem) advanceClock(args []string) error {
	d, err := time.ParseDuration(args[0])
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
	return err
}

// writeSettings implements "settings FILE OPERATOR": it writes a settings file for the store and the processes.
func (w *testSystem) writeSettings(args []string) error {
	list := []any{}
	for _, p := range w.processes {
		list = append(list, map[string]any{"vm": p.vm, "role": p.role, "ops": strings.TrimPrefix(p.server.URL, "http://")})
	}
	data, err := json.Marshal(map[string]any{
		"store": w.address, "operator": args[1], "storeTimeoutMs": 5000, "statusTimeoutMs": 5000,
		"snapshotFile": filepath.Join(w.dir, "snapshot"), "processes": list,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(w.dir, args[0]), data, 0o600)
}
