package sailctl_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/dispatcher"
	"sequoiasail.example/daemon/gateway"
	"sequoiasail.example/settings/startup"

	"sequoiasail.example/cmd/internal/questionnaire"
	"sequoiasail.example/cmd/internal/sailctl"
)

// pagesDir holds the operators' documentation.
const pagesDir = "../../../docs/operating"

// TestPages runs the console blocks of the operators' documentation and compares the output. It guards against
// documentation that shows other output than the commands print. A comment "test: COMMAND" in a page sets up the state
// for the next block. UPDATE_PAGES=1 go test rewrites the output in the pages.
func TestPages(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(pagesDir, "*.md"))
	if err != nil || len(files) == 0 {
		t.Fatal("no pages", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { checkPage(t, file) })
	}
}

// checkPage runs the commands of one page and compares their output with the page.
func checkPage(t *testing.T, file string) {
	w, stop, err := newSystem(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	if err := w.writeSettings([]string{"sailctl.json", "jana"}); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SAILCTL_SETTINGS", filepath.Join(w.dir, "sailctl.json"))
	if err := os.Rename(filepath.Join(w.dir, "joint-venture.json"), filepath.Join(w.dir, "answers.json")); err != nil {
		t.Fatal(err)
	}
	// Log lines of the test run zcsp-brana-grown scale-2, for the pages that trace requests.
	if err := os.CopyFS(w.dir, os.DirFS("testdata/logs")); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	after := runPage(t, w, strings.Split(string(before), "\n"))
	if os.Getenv("UPDATE_PAGES") != "" {
		if err := os.WriteFile(file, []byte(after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if after != string(before) {
		t.Errorf("the page shows other output than the commands; compare after UPDATE_PAGES=1:\n%s", after)
	}
}

// directive matches a comment that sets up the state for the next console block.
var directive = regexp.MustCompile(`^<!-- test: (.*) -->$`)

// runPage returns the page with the output of its commands replaced by the current output.
func runPage(t *testing.T, w *testSystem, lines []string) string {
	t.Helper()
	var out []string
	inBlock, inOutput := false, false
	for _, line := range lines {
		if m := directive.FindStringSubmatch(line); m != nil {
			runDirective(t, w, m[1])
		}
		switch {
		case line == "```console":
			inBlock = true
		case line == "```":
			inBlock, inOutput = false, false
		case inBlock && strings.HasPrefix(line, "$ "):
			inOutput = true
			out = append(out, line)
			out = append(out, runConsole(t, w, strings.TrimPrefix(line, "$ "))...)
			continue
		}
		if !inBlock || !inOutput {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// runDirective executes the command of a directive.
func runDirective(t *testing.T, w *testSystem, command string) {
	t.Helper()
	args := splitArgs(command)
	var err error
	switch args[0] {
	case "store":
		err = w.setStore(args[1:])
	case "process":
		w.setProcess(args[1:])
	case "clock":
		err = w.advanceClock(args[1:])
	case "write":
		err = os.WriteFile(filepath.Join(w.dir, args[1]), []byte(args[2]), 0o600)
	case "edit":
		err = editFile(filepath.Join(w.dir, args[1]), args[2], args[3])
	default:
		runConsole(t, w, command)
	}
	if err != nil {
		t.Fatal(command, err)
	}
}

// editFile replaces the first occurrence of old in a file by text.
func editFile(name, old, text string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	return os.WriteFile(name, bytes.Replace(data, []byte(old), []byte(text), 1), 0o600)
}

// runConsole runs one command line and returns its output lines, as a terminal shows them.
func runConsole(t *testing.T, w *testSystem, command string) []string {
	t.Helper()
	args := splitArgs(command)
	var out bytes.Buffer
	code := 0
	switch args[0] {
	case "sailctl":
		code = w.runSailctl(args[1:], &out, &out)
	case "sail-questionnaire":
		for i, a := range args {
			if strings.HasSuffix(a, ".json") {
				args[i] = filepath.Join(w.dir, a)
			}
		}
		code = questionnaire.Run(args[1:], strings.NewReader(""), &out, &out)
	default:
		t.Fatalf("a console block may run sailctl and sail-questionnaire only, not %s", args[0])
	}
	text := strings.ReplaceAll(out.String(), w.dir+string(filepath.Separator), "")
	if code != 0 {
		text += fmt.Sprintf("(exit code %d)\n", code)
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")[:strings.Count(text, "\n")]
}

// splitArgs splits a command line into arguments. Spaces inside single quotes are kept.
func splitArgs(line string) []string {
	var out []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			out = append(out, part)
			continue
		}
		out = append(out, strings.Fields(part)...)
	}
	return out
}

// Guards against a settings field that the documentation does not describe.
func TestSettingsPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(pagesDir, "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{sailctl.Settings{}, sailctl.ProcessSettings{}, gateway.Settings{}, dispatcher.Settings{}} {
		for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name != "" && !bytes.Contains(page, []byte("`"+name+"`")) {
				t.Errorf("%T: the page does not name %s", v, name)
			}
		}
	}
}

// Guards against example settings whose VMs differ from those of the example's answers.
func TestExampleSettings(t *testing.T) {
	for _, example := range []string{"joint-venture", "semillas"} {
		dir := filepath.Join("..", "..", "..", "examples", example)
		var s sailctl.Settings
		if err := startup.Read(filepath.Join(dir, "sailctl.json"), &s); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(filepath.Join(dir, "answers.json"))
		if err != nil {
			t.Fatal(err)
		}
		a, err := config.ParseAnswers(data)
		if err != nil {
			t.Fatal(err)
		}
		i := 0
		for _, d := range a.DataCentres {
			for n := range d.VMs {
				for _, role := range []string{"gateway", "dispatcher"} {
					p := s.Processes[i]
					if want := fmt.Sprintf("%s-vm%d", d.Name, n+1); string(p.VM) != want || p.Role != role {
						t.Errorf("%s: process %d is %s/%s, want %s/%s", example, i, p.VM, p.Role, want, role)
					}
					i++
				}
			}
		}
		if i != len(s.Processes) {
			t.Errorf("%s: %d processes, want %d", example, len(s.Processes), i)
		}
	}
}
