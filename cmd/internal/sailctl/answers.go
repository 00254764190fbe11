package sailctl

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/settings/startup"
	"sequoiasail.example/types"
)

// groupAnswers is the help group of the commands that read only an answers file.
const groupAnswers = "answers (no store needed)"

// readAnswers reads and validates the answers in file.
func readAnswers(file string) (config.Answers, error) {
	data, err := startup.ReadFile(file)
	if err != nil {
		return config.Answers{}, err
	}
	return config.ParseAnswers(data)
}

func (a *app) checkCommand() *command {
	c := &command{
		name: "check", group: groupAnswers, usage: "check ANSWERS",
		synopsis: "Check answers and print all contradictions with the way to correct them",
	}
	c.run = func(_ context.Context, args []string) int {
		if len(args) != 1 {
			return a.usage(c)
		}
		answers, err := readAnswers(args[0])
		if err != nil {
			return a.fail(args[0], err)
		}
		generated, err := config.Generate(answers)
		if err != nil {
			return a.fail(args[0], err)
		}
		return a.finish(a.print(summarize(generated), func() { a.printf("%s: %s\n", args[0], summarize(generated)) }))
	}
	return c
}

// summary is the size of a configuration.
type summary struct {
	DataCentres int `json:"dataCentres"`
	Services    int `json:"services"`
	Targets     int `json:"targets"`
	// Bytes is the length of the configuration in its stored form.
	Bytes int `json:"bytes"`
}

func summarize(c config.Configuration) summary {
	s := summary{DataCentres: len(c.DataCentres), Services: len(c.Services), Bytes: len(config.Canonical(c))}
	for _, service := range c.Services {
		s.Targets += len(service.Targets)
	}
	return s
}

// String implements fmt.Stringer.
func (s summary) String() string {
	return strconv.Itoa(s.DataCentres) + " data centres, " + strconv.Itoa(s.Services) + " services, " +
		strconv.Itoa(s.Targets) + " targets; the configuration takes " + strconv.Itoa(s.Bytes) + " bytes"
}

// finish prints err, if any, and returns the exit code for it.
func (a *app) finish(err error) int {
	if err != nil {
		return a.fail("", err)
	}
	return ExitOK
}

func (a *app) generateCommand() *command {
	var version uint64
	c := &command{
		name: "generate", group: groupAnswers, usage: "generate [-version N] ANSWERS",
		synopsis: "Print the configuration generated from answers; with -json in its stored form",
	}
	c.flags = func(f *flag.FlagSet) { f.Uint64Var(&version, "version", 0, "set the version of the configuration") }
	c.run = func(_ context.Context, args []string) int {
		if len(args) != 1 {
			return a.usage(c)
		}
		answers, err := readAnswers(args[0])
		if err != nil {
			return a.fail(args[0], err)
		}
		generated, err := config.Generate(answers)
		if err != nil {
			return a.fail(args[0], err)
		}
		generated = generated.WithVersion(types.Version(version))
		if a.json {
			a.printf("%s\n", config.Canonical(generated))
			return ExitOK
		}
		a.printf("%s", config.Indented(generated))
		return ExitOK
	}
	return c
}

func (a *app) explainCommand() *command {
	var prefix string
	c := &command{
		name: "explain", group: groupAnswers, usage: "explain [-path PREFIX] ANSWERS",
		synopsis: "Print each generated value with the answer that caused it",
	}
	c.flags = func(f *flag.FlagSet) { f.StringVar(&prefix, "path", "", "only values whose path starts with `PREFIX`") }
	c.run = func(_ context.Context, args []string) int {
		if len(args) != 1 {
			return a.usage(c)
		}
		answers, err := readAnswers(args[0])
		if err != nil {
			return a.fail(args[0], err)
		}
		reasons, err := explainPrefix(answers, prefix)
		if err != nil {
			return a.fail(args[0], err)
		}
		return a.finish(a.print(reasons, func() {
			rows := [][]string{}
			for _, r := range reasons {
				rows = append(rows, []string{r.Path, r.Value, r.Answer, r.Why})
			}
			a.printTable("VALUE IS ANSWER WHY", rows)
		}))
	}
	return c
}

// explainPrefix returns the reasons for the values whose path starts with prefix.
func explainPrefix(answers config.Answers, prefix string) ([]config.Explanation, error) {
	all, err := config.Explain(answers)
	if err != nil {
		return nil, err
	}
	reasons := []config.Explanation{}
	for _, r := range all {
		if strings.HasPrefix(r.Path, prefix) {
			reasons = append(reasons, r)
		}
	}
	if len(reasons) == 0 {
		return nil, types.NewFault(types.CodeNotFound, "no value has a path that starts with %q", prefix)
	}
	return reasons, nil
}
