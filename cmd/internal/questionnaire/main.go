package questionnaire

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/settings/startup"
	"sequoiasail.example/types"
)

const programName = "sail-questionnaire"

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the answers or the draft could not be written
	ExitRefused = 2 // the command line or the answers are not valid
	ExitStopped = 3 // the input ended before the last question
)

const usage = `usage: sail-questionnaire [-out FILE]
       sail-questionnaire -batch [-from FILE] [-set PATH=VALUE]... [-out FILE]
       sail-questionnaire -check [-out FILE]
       sail-questionnaire -schema

Fills in the answers from which sailctl generates the configuration: question by question, or with -batch from a file
and single values. A session that is interrupted goes on where it stopped.

Exit codes:
	0  the answers are complete and fit together
	1  failed, for example because the file cannot be written
	2  refused: command line or answers; with -batch nothing was written
	3  stopped before the last question; the answers so far are kept in FILE.draft

`

// options holds the values of the command-line flags.
type options struct {
	out, from                     string
	set                           stringList
	batch, check, schema, version bool
}

// stringList is the value of a flag that may be given several times.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return strings.Join(*l, ", ") }

// Set implements flag.Value.
func (l *stringList) Set(text string) error {
	*l = append(*l, text)
	return nil
}

// Main runs the command with the arguments and standard streams of the process, and returns the exit code.
func Main() int { return Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr) }

// Run runs one command line and returns the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var o options
	f := flag.NewFlagSet(programName, flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.out, "out", "answers.json", "write the answers to `FILE`; - is standard output (with -batch)")
	f.StringVar(&o.from, "from", "", "start from the answers in `FILE` (with -batch)")
	f.Var(&o.set, "set", "set one answer, for example services[0].cutOff=move (`PATH=VALUE`, with -batch)")
	f.BoolVar(&o.batch, "batch", false, "ask nothing")
	f.BoolVar(&o.check, "check", false, "check the answers in FILE and exit")
	f.BoolVar(&o.schema, "schema", false, "print the JSON Schema of the answers for editors")
	f.BoolVar(&o.version, "version", false, "print the version and exit")
	f.Usage = func() { fmt.Fprint(stderr, usage); f.PrintDefaults() }
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitRefused
	}
	if f.NArg() > 0 || !o.batch && (o.from != "" || len(o.set) > 0 || o.out == "-") {
		f.Usage()
		return ExitRefused
	}
	return o.run(stdin, stdout, stderr)
}

// run does what the flags ask for and returns the exit code.
func (o options) run(stdin io.Reader, stdout, stderr io.Writer) int {
	switch {
	case o.version:
		fmt.Fprintln(stdout, startup.VersionLine(programName))
		return ExitOK
	case o.schema:
		_, _ = stdout.Write(config.Schema())
		return ExitOK
	case o.check:
		return o.verify(stdout, stderr)
	case o.batch:
		return o.runBatch(stdout, stderr)
	}
	return o.interactive(stdin, stdout, stderr)
}

// verify checks the answers in the output file.
func (o options) verify(stdout, stderr io.Writer) int {
	data, err := startup.ReadFile(o.out)
	if err == nil {
		_, err = config.ParseAnswers(data)
	}
	if err != nil {
		startup.Report(stderr, o.out, err)
		return ExitRefused
	}
	fmt.Fprintf(stdout, "%s: answers are complete and fit together\n", o.out)
	return ExitOK
}

// interactive asks the questions on a terminal, and writes the answers when all are given.
func (o options) interactive(stdin io.Reader, stdout, stderr io.Writer) int {
	file := draftName(o.out)
	d, err := o.initialDraft(file)
	if err != nil {
		startup.Report(stderr, file, err)
		return ExitRefused
	}
	s := newSession(stdin, stdout, d, func(d draft) error { return d.save(file) })
	if err := s.run(); errors.Is(err, errStopped) {
		fmt.Fprintf(stdout, "%d answers are kept in %s; run the same command again to go on\n", len(s.draft.Answered), file)
		return ExitStopped
	} else if err != nil {
		startup.Report(stderr, "", err)
		return ExitFailed
	}
	if err := replaceFile(o.out, config.EncodeAnswers(s.draft.Answers)); err != nil {
		startup.Report(stderr, "", err)
		return ExitFailed
	}
	_ = os.Remove(file) // a failure does not affect the answers: a session that finds this draft has no question left to ask
	fmt.Fprintf(stdout, "\n%s is complete; next: sailctl check %s\n", o.out, o.out)
	return ExitOK
}

// initialDraft returns the draft in file. Without a draft it returns the answers in the output file as one in which
// nothing is answered, so that the session suggests their values.
func (o options) initialDraft(file string) (draft, error) {
	if _, err := os.Stat(file); err == nil {
		return loadDraft(file)
	}
	if _, err := os.Stat(o.out); err != nil {
		return loadDraft(file)
	}
	data, err := startup.ReadFile(o.out)
	if err != nil {
		return draft{}, err
	}
	a, err := config.DecodeAnswers(data)
	return draft{Answers: a}, err
}

// runBatch writes the answers given by -from and -set if they are valid.
func (o options) runBatch(stdout, stderr io.Writer) int {
	a, err := o.batchAnswers()
	if err != nil {
		startup.Report(stderr, o.from, err)
		return ExitRefused
	}
	data := config.EncodeAnswers(a)
	if o.out == "-" {
		_, _ = stdout.Write(data)
		return ExitOK
	}
	if err := replaceFile(o.out, data); err != nil {
		startup.Report(stderr, "", err)
		return ExitFailed
	}
	return ExitOK
}

// batchAnswers returns the answers of -from, changed by -set. Its error lists the faults of the flags and of the
// answers together.
func (o options) batchAnswers() (config.Answers, error) {
	var a config.Answers
	a.SetDefaults()
	if o.from != "" {
		data, err := startup.ReadFile(o.from)
		if err != nil {
			return a, err
		}
		if a, err = config.DecodeAnswers(data); err != nil {
			return a, err
		}
	}
	var problems settings.Problems
	for _, text := range o.set {
		path, value, err := assignment(text)
		if err == nil {
			err = Set(&a, path, value)
		}
		problems = append(problems, settings.AsProblems(types.CodeBadRequest, err)...)
	}
	problems = append(problems, settings.AsProblems(types.CodeBadConfiguration, a.Validate())...)
	return a, problems.Err()
}
