package config_test

import (
	"bytes"
	"flag"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// update makes checkGolden rewrite the golden files.
var update = flag.Bool("update", false, "rewrite golden files")

// exampleUsers are the folders of examples/, one for each installation.
var exampleUsers = []string{"joint-venture", "semillas"}

// checkGolden compares got with a committed file, which it writes first when -update is set.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s differs (%v); check the change and run go test -update", name, err)
	}
}

// generate returns the configuration for a, with version 0.
func generate(t testing.TB, a config.Answers) config.Configuration {
	t.Helper()
	c, err := config.Generate(a)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against unintended changes of generated values.
func TestGeneratedConfiguration(t *testing.T) {
	for _, user := range exampleUsers {
		c := generate(t, exampleAnswers(t, user)).WithVersion(1)
		checkGolden(t, filepath.Join("testdata", user+".golden.json"), config.Indented(c))
	}
}

// Guards against a canonical form that depends on the order of the answers or on whether defaults are written out, or
// that differs from run to run.
func TestSameAnswersSameBytes(t *testing.T) {
	for _, user := range exampleUsers {
		is := is.New(t)
		a := exampleAnswers(t, user)
		want := config.Canonical(generate(t, a))
		untyped, err := config.DecodeAnswers(exampleBytes(t, user))
		is.NoErr(err)
		is.Equal(config.Canonical(generate(t, untyped)), want)
		random := rand.New(rand.NewSource(1))
		for range 20 {
			random.Shuffle(len(a.DataCentres), func(i, j int) { a.DataCentres[i], a.DataCentres[j] = a.DataCentres[j], a.DataCentres[i] })
			random.Shuffle(len(a.Services), func(i, j int) { a.Services[i], a.Services[j] = a.Services[j], a.Services[i] })
			for _, s := range a.Services {
				random.Shuffle(len(s.Targets), func(i, j int) { s.Targets[i], s.Targets[j] = s.Targets[j], s.Targets[i] })
				random.Shuffle(len(s.Requests), func(i, j int) { s.Requests[i], s.Requests[j] = s.Requests[j], s.Requests[i] })
			}
			is.Equal(config.Canonical(generate(t, a)), want)
		}
	}
}

// Guards against a generated configuration that Parse refuses, and against a canonical form that changes when it is
// parsed and encoded again.
func TestGeneratedConfigurationIsAccepted(t *testing.T) {
	for _, user := range exampleUsers {
		is := is.New(t)
		c := generate(t, exampleAnswers(t, user))
		_, err := config.Parse(config.Canonical(c))
		is.Equal(types.CodeOf(err), types.CodeBadConfiguration) // version 0 means that no version was assigned
		data := config.Canonical(c.WithVersion(7))
		parsed, err := config.Parse(data)
		is.NoErr(err)
		is.Equal(config.Canonical(parsed), data)
	}
}

// Guards against a generated value without an explanation.
func TestEveryValueIsExplained(t *testing.T) {
	for _, user := range exampleUsers {
		is := is.New(t)
		reasons, err := config.Explain(exampleAnswers(t, user))
		is.NoErr(err)
		var text strings.Builder
		for _, r := range reasons {
			is.True(r.Answer != "" && r.Why != "") // value without a reason
			text.WriteString(r.Path + " = " + r.Value + " <- " + r.Answer + ": " + r.Why + "\n")
		}
		checkGolden(t, filepath.Join("testdata", user+".explain.txt"), []byte(text.String()))
	}
}

// Guards against limits that ignore the answers from which they are derived.
func TestLimitsFollowAnswers(t *testing.T) {
	one, hundred := int64(1), int64(100)
	cases := []struct {
		name string
		edit func(s *config.ServiceAnswer)
		want func(s config.Service) bool
	}{
		{
			"deadline less the way to callers", func(s *config.ServiceAnswer) { s.Requests[0].LateAfterMs = 500 },
			func(s config.Service) bool { return s.Classes[0].TimeoutMs == 484 },
		},
		{
			"queue holds what is worked off in waitMs", func(s *config.ServiceAnswer) { s.Requests[0].WaitMs = &hundred },
			func(s config.Service) bool { return s.Classes[0].QueueLimit == 80 },
		},
		{
			"queue has a largest size", func(s *config.ServiceAnswer) { s.Requests[1].WaitMs, s.MaxBodyBytes = nil, 100 },
			func(s config.Service) bool { return s.Classes[1].QueueLimit == 1024 },
		},
		{
			"queue holds 16 MiB of bodies", func(s *config.ServiceAnswer) { s.MaxBodyBytes = 1 << 20 },
			func(s config.Service) bool { return s.Classes[1].QueueLimit == 16 },
		},
		{
			"smallest queue", func(s *config.ServiceAnswer) { s.Requests[0].WaitMs, s.Requests[0].TypicalMs = &one, 25 },
			func(s config.Service) bool { return s.Classes[0].QueueLimit == 1 },
		},
		{
			"hedging when staleness is tolerated", func(s *config.ServiceAnswer) { s.ReadOwnWrites, s.StaleMs = false, 200 },
			func(s config.Service) bool { return s.Limits.HedgeShare == 0.05 && s.Limits.RetryShare == 0.05 },
		},
		{
			"no hedging otherwise", func(*config.ServiceAnswer) {},
			func(s config.Service) bool { return s.Limits.HedgeShare == 0 && s.Limits.RetryShare == 0.1 },
		},
		{
			"ejection follows spare targets", func(s *config.ServiceAnswer) { *s.SpareTargets = 3 },
			func(s config.Service) bool { return int(s.Limits.EjectShare*float64(len(s.Targets))) == 3 },
		},
		{
			"lookups only", func(s *config.ServiceAnswer) { s.Requests = s.Requests[:1] },
			func(s config.Service) bool { return s.WriteClass == "" && len(s.Classes) == 1 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := exampleAnswers(t, "joint-venture")
			c.edit(&a.Services[1])
			for _, s := range generate(t, a).Services {
				if s.Name == "objednavky" && !c.want(s) {
					t.Fatalf("%+v", s)
				}
			}
		})
	}
}

// Guards against an ejection share that rounding turns into fewer or more targets than spareTargets.
func TestEjectShareKeepsSpareTargets(t *testing.T) {
	a := exampleAnswers(t, "joint-venture")
	a.Services = a.Services[1:2]
	s := &a.Services[0]
	s.DataCentreOutAtPeak, s.Requests[0].PeakPerSecond, s.Requests[1].PeakPerSecond = false, 0, 0
	pool := s.Targets
	for n := 2; n <= len(pool); n++ {
		for spare := range n {
			s.Targets, s.SpareTargets = pool[:n], &spare
			share := generate(t, a).Services[0].Limits.EjectShare
			if got := int(share * float64(n)); got != spare {
				t.Errorf("%d of %d: share %v ejects %d", spare, n, share, got)
			}
		}
	}
}

// Guards against example addresses outside the port ranges in examples/README.md, on which the scripts rely. In the order
// of the answers, targets have consecutive ports from 21000 or 22000 on and are assigned to data centres in rotation.
func TestExampleAddresses(t *testing.T) {
	for i, user := range exampleUsers {
		is := is.New(t)
		a := exampleAnswers(t, user)
		port := 21000 + 1000*i
		for _, s := range a.Services {
			for n, target := range s.Targets {
				is.Equal(target.Address, "127.0.0.1:"+strconv.Itoa(port))
				is.Equal(target.DataCentre, a.DataCentres[n%len(a.DataCentres)].Name)
				port++
			}
		}
		is.Equal(port-21000-1000*i, []int{30, 36}[i])
	}
}

// Guards against a committed schema that differs from the Go types, or that refuses answers which Validate accepts.
func TestSchema(t *testing.T) {
	is := is.New(t)
	checkGolden(t, filepath.Join("..", "schema", "answers.schema.json"), config.Schema())
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(config.Schema()))
	is.NoErr(err)
	compiler := jsonschema.NewCompiler()
	is.NoErr(compiler.AddResource("answers.schema.json", document))
	schema, err := compiler.Compile("answers.schema.json")
	is.NoErr(err)
	for _, user := range exampleUsers {
		is.NoErr(schema.Validate(decodeJSON(t, exampleBytes(t, user))))
		is.NoErr(schema.Validate(decodeJSON(t, config.EncodeAnswers(exampleAnswers(t, user)))))
	}
	for _, c := range badAnswers {
		bad := edit(t, exampleBytes(t, "joint-venture"), c.edit)
		if schema.Validate(decodeJSON(t, bad)) == nil {
			continue // a contradiction between answers, which a schema cannot express
		}
		_, err := config.ParseAnswers(bad)
		is.True(err != nil) // the schema refuses what Validate accepts
	}
}

// Guards against a question without a field and against a field without a question.
func TestEveryFieldHasAQuestion(t *testing.T) {
	is := is.New(t)
	schema := string(config.Schema())
	seen := map[string]bool{}
	for _, q := range config.Questions() {
		is.True(!seen[q.Path])
		seen[q.Path] = true
		is.True(q.Text != "" && q.Reason != "")
		is.True(strings.Contains(schema, `"title": "`+q.Text+`"`)) // question for a field that does not exist
	}
	is.Equal(strings.Count(schema, `"title"`)-1, len(seen)) // field without a question
	is.True(!strings.Contains(schema, `"title": ""`))
}

// decodeJSON decodes a document for the schema validator.
func decodeJSON(t *testing.T, data []byte) any {
	t.Helper()
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	return v
}
