package questionnaire_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"

	"sequoiasail.example/cmd/internal/questionnaire"
)

var update = flag.Bool("update", false, "rewrite golden files")

// run runs the command with input as its standard input.
func run(t *testing.T, input string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = questionnaire.Run(args, strings.NewReader(input), &out, &errs)
	return code, out.String(), errs.String()
}

// readFile returns the content of a file.
func readFile(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// compareGolden compares got with a golden file, and rewrites the file first if -update is given.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got != readFile(t, name) {
		t.Errorf("%s differs; check the change and run go test -update\n%s", name, got)
	}
}

// Guards against questions without unit, default or reason, against bad input that is accepted, and against
// contradictions that are not reported. The input holds one bad answer of each kind.
func TestSessionPromptsAndRejectsBadInput(t *testing.T) {
	is := is.New(t)
	out := filepath.Join(t.TempDir(), "answers.json")
	code, stdout, stderr := run(t, readFile(t, "testdata/session.in"), "-out", out)
	compareGolden(t, "testdata/session.golden", strings.ReplaceAll(stdout, filepath.Dir(out)+"/", ""))
	is.Equal(stderr, "")
	is.Equal(code, questionnaire.ExitOK)
	compareGolden(t, "testdata/answers.golden.json", readFile(t, out))
	_, err := config.ParseAnswers([]byte(readFile(t, out)))
	is.NoErr(err)
	_, err = os.Stat(out + ".draft")
	is.True(os.IsNotExist(err))
}

// Guards against answers that are lost or asked for again when the session is interrupted after any line.
func TestInterruptedSessionResumesWhereItStopped(t *testing.T) {
	lines := strings.SplitAfter(readFile(t, "testdata/session.in"), "\n")
	want := readFile(t, "testdata/answers.golden.json")
	for k := range len(lines) - 1 {
		out := filepath.Join(t.TempDir(), "answers.json")
		code, stdout, _ := run(t, strings.Join(lines[:k], ""), "-out", out)
		if code != questionnaire.ExitStopped || !strings.Contains(stdout, "answers are kept in ") {
			t.Fatalf("stopped after %d lines: exit code %d", k, code)
		}
		code, stdout, _ = run(t, strings.Join(lines[k:], ""), "-out", out)
		if code != questionnaire.ExitOK || readFile(t, out) != want {
			t.Fatalf("stopped after %d lines: exit code %d\n%s", k, code, stdout)
		}
	}
}

// Guards against finished answers that change when an empty line answers every question.
func TestEnterKeepsEveryAnswer(t *testing.T) {
	for _, example := range []string{"joint-venture", "semillas"} {
		is := is.New(t)
		before := readFile(t, filepath.Join("..", "..", "..", "examples", example, "answers.json"))
		out := filepath.Join(t.TempDir(), "answers.json")
		is.NoErr(os.WriteFile(out, []byte(before), 0o600))
		code, _, _ := run(t, strings.Repeat("\n", 1000), "-out", out)
		is.Equal(code, questionnaire.ExitOK)
		is.Equal(generateConfiguration(t, readFile(t, out)), generateConfiguration(t, before))
	}
}

// Guards against a contradiction that no question of the session can resolve: the delay between regions is asked for
// only when the data centres are in several.
func TestSessionAsksForTheDelayBetweenRegions(t *testing.T) {
	is := is.New(t)
	before := readFile(t, filepath.Join("..", "..", "..", "examples", "joint-venture", "answers.json"))
	out := filepath.Join(t.TempDir(), "answers.json")
	is.NoErr(os.WriteFile(out, []byte(strings.Replace(before, `"region": "cz-stred"`, `"region": "cz-jih"`, 1)), 0o600))
	code, stdout, _ := run(t, strings.Repeat("\n", 1000), "-out", out)
	is.Equal(code, questionnaire.ExitStopped)
	asked, _, contradiction := strings.Cut(stdout, "These answers do not fit together:")
	is.True(contradiction)
	is.NoErr(os.Remove(out + ".draft"))
	code, stdout, _ = run(t, strings.Repeat("\n", strings.Count(asked, ": \n"))+"7\n", "-out", out)
	is.Equal(code, questionnaire.ExitOK)
	is.True(strings.HasSuffix(stdout, "betweenRegionsMs: \n"+out+" is complete; next: sailctl check "+out+"\n"))
	is.True(strings.Contains(readFile(t, out), `"betweenRegionsMs": 7`))
}

// generateConfiguration returns the canonical form of the configuration that follows from answers.
func generateConfiguration(t *testing.T, answers string) string {
	t.Helper()
	a, err := config.ParseAnswers([]byte(answers))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Generate(a)
	if err != nil {
		t.Fatal(err)
	}
	return string(config.Canonical(c))
}

// Guards against bad values that batch mode accepts, reports one at a time, or writes in part.
func TestBatchReportsAllFaultsAndWritesNothing(t *testing.T) {
	is := is.New(t)
	out := filepath.Join(t.TempDir(), "answers.json")
	from := filepath.Join("..", "..", "..", "examples", "joint-venture", "answers.json")
	code, _, stderr := run(t, "", "-batch", "-from", from, "-out", out,
		"-set", "services[0].cutOff=stop", "-set", "services[0].colour=red", "-set", "services[9].keyed=yes",
		"-set", "services[0].target=4", "-set", "team", "-set", "dataCentres[0].oneWayMs=2000", "-set", "services[1].staleMs=20")
	is.Equal(code, questionnaire.ExitRefused)
	compareGolden(t, "testdata/batch.golden", strings.ReplaceAll(stderr, from+": ", ""))
	_, err := os.Stat(out)
	is.True(os.IsNotExist(err))

	code, _, stderr = run(t, "", "-batch", "-from", from, "-out", out, "-set", "services[0].cutOff=keep",
		"-set", "services[2].targets[6].name=vyuctovani-07", "-set", "services[2].targets[6].dataCentre=kladno",
		"-set", "services[2].targets[6].address=127.0.0.1:21030")
	is.Equal(stderr, "")
	is.Equal(code, questionnaire.ExitOK)
	a, err := config.ParseAnswers([]byte(readFile(t, out)))
	is.NoErr(err)
	is.Equal(a.Services[0].CutOff, config.CutOffKeep)
	is.Equal(len(a.Services[2].Targets), 7)
	is.Equal(a.Services[2].Targets[6].Weight, 1.0)
}

// Guards against command lines and files of which an invalid part is ignored.
func TestCommandLineIsCheckedWhole(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := run(t, "", "-schema")
	is.Equal(code, questionnaire.ExitOK)
	is.Equal(stdout, readFile(t, filepath.Join("..", "..", "..", "schema", "answers.schema.json")))
	code, stdout, _ = run(t, "", "-version")
	is.Equal(code, questionnaire.ExitOK)
	is.True(strings.HasPrefix(stdout, "sail-questionnaire "))
	for _, args := range [][]string{{"-set", "team=x"}, {"-from", "x"}, {"-out", "-"}, {"extra"}, {"-nosuch"}, {"-batch", "-from", "nosuch.json"}} {
		code, _, stderr := run(t, "", args...)
		is.Equal(code, questionnaire.ExitRefused)
		is.True(stderr != "")
	}
	good := filepath.Join("..", "..", "..", "examples", "semillas", "answers.json")
	code, stdout, _ = run(t, "", "-check", "-out", good)
	is.Equal(code, questionnaire.ExitOK)
	is.Equal(stdout, good+": answers are complete and fit together\n")
	bad := filepath.Join(t.TempDir(), "answers.json")
	is.NoErr(os.WriteFile(bad, []byte(`{"team":"x"}`), 0o600))
	code, _, stderr := run(t, "", "-check", "-out", bad)
	is.Equal(code, questionnaire.ExitRefused)
	is.True(strings.Contains(stderr, "services: needs at least one service"))
	damaged := filepath.Join(t.TempDir(), "answers.json")
	is.NoErr(os.WriteFile(damaged+".draft", []byte(`{"answers":{"teem":"x"}}`), 0o600))
	code, _, stderr = run(t, "x\n", "-out", damaged)
	is.Equal(code, questionnaire.ExitRefused)
	is.True(strings.Contains(stderr, "answers.teem: unknown field"))
	is.Equal(readFile(t, damaged+".draft"), `{"answers":{"teem":"x"}}`) // a draft that cannot be read is not overwritten
}

// Guards against panics on any path or value, and against accepted values that the file format of the answers refuses.
func FuzzSet(f *testing.F) {
	f.Add("services[0].targets[1].weight", "2.5")
	f.Add("dataCentres[2].name", "kladno")
	f.Add("services[0].spareTargets", "0")
	f.Add("services[[0]].x", "-1")
	f.Add("team[0]", "1e309")
	f.Add("services[0].targets[0].weight", "NaN")
	f.Fuzz(func(t *testing.T, path, text string) {
		a, err := config.DecodeAnswers([]byte(`{"team":"t","dataCentres":[{},{}],"services":[{"targets":[{}]}]}`))
		if err != nil {
			t.Fatal(err)
		}
		if questionnaire.Set(&a, path, text) != nil {
			return
		}
		if _, err := config.DecodeAnswers(config.EncodeAnswers(a)); err != nil {
			t.Fatalf("%s=%s: %v", path, text, err)
		}
	})
}

// Guards against panics and endless sessions on any draft and any input.
func FuzzSession(f *testing.F) {
	f.Add([]byte(`{"answered":["team","dataCentres"],"answers":{"team":"t","dataCentres":[{}]}}`), "praha-a\ncz\n\n\n\n1\ns\n")
	f.Add([]byte(`{"answered":["services"],"answers":{"services":[{"keyed":true,"targets":[{"address":"[::1]:65535"},{}]}]}}`), "\n\n2\n")
	f.Add([]byte(`{"answered":["dataCentres","services","services[0].requests","services[0].targets"],"answers":{"services":[{"targets":[{}]}]}}`),
		"t\n\ns\n\n\n\n\n\n\n\n\n\n\n\n1\n2\n\n\n\n\n\n")
	f.Add([]byte(`{"answers":{}}`), "services[0].targets[0].name=x\nteam=\nt\n")
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, draft []byte, input string) {
		out := filepath.Join(dir, "answers.json")
		if err := os.WriteFile(out+".draft", draft, 0o600); err != nil {
			t.Fatal(err)
		}
		code, _, _ := run(t, input, "-out", out)
		if code == questionnaire.ExitFailed {
			t.Fatal("failed on", string(draft))
		}
		_ = os.Remove(out)
	})
}
