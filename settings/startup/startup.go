// Package startup gives all binaries the same command line: -settings FILE, -check and -version.
//
// A bad settings file ends the process with exit code 2 and one line per fault on standard error, before anything
// starts. SIGTERM and SIGINT end the context that Run gets, so that every planned stop is graceful.
package startup

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// Exit codes of all binaries.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Release is the version that -version prints. The build sets it with -ldflags -X.
var Release = "devel"

// maxFileBytes bounds a settings file; the store's largest value has the same size.
const maxFileBytes = 1 << 20

// Program describes one binary.
type Program struct {
	// Name is the name of the binary.
	Name string
	// Settings points at the settings struct. It may have Provision and Validate.
	Settings any
	// Load reads the settings instead, from a file of another format. It returns settings.Problems.
	Load func(file string) error
	// File is read when the command line names none.
	File string
	// Run does the work. It returns when ctx ends; an error gives exit code 1.
	Run func(ctx context.Context) error
}

// Main runs p with the command line, the standard streams and the signals of the process, and returns the exit code.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return p.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute runs p with args and returns the exit code.
func (p Program) Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	set := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	set.SetOutput(stderr)
	file := set.String("settings", p.File, "read the settings from `FILE` (JSON)")
	check := set.Bool("check", false, "check the settings and exit")
	version := set.Bool("version", false, "print the version and exit")
	if err := set.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return ExitOK
		}
		return ExitSettings
	}
	if *version {
		fmt.Fprintln(stdout, VersionLine(p.Name))
		return ExitOK
	}
	if set.NArg() > 0 {
		fmt.Fprintf(stderr, "%s: unexpected argument %q\n", p.Name, set.Arg(0))
		return ExitSettings
	}
	if err := p.load(*file); err != nil {
		Report(stderr, *file, err)
		return ExitSettings
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", *file)
		return ExitOK
	}
	return p.run(ctx, stderr)
}

func (p Program) load(file string) error {
	if p.Load != nil {
		return p.Load(file)
	}
	return Read(file, p.Settings)
}

func (p Program) run(ctx context.Context, stderr io.Writer) int {
	if err := p.Run(ctx); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// VersionLine returns what -version prints for the binary name.
func VersionLine(name string) string {
	return fmt.Sprintf("%s %s %s", name, Release, runtime.Version())
}

// Read loads the settings file name into the struct that into points at. It returns settings.Problems.
func Read(name string, into any) error {
	data, err := ReadFile(name)
	if err != nil {
		return err
	}
	return settings.Load(data, into)
}

// ReadFile returns the content of the file name, at most 1 MiB. It returns settings.Problems.
func ReadFile(name string) ([]byte, error) {
	if name == "" {
		return nil, problem("no settings file given; use -settings FILE")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, problem("cannot read the file: %v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, problem("cannot read the file: %v", err)
	}
	if len(data) > maxFileBytes {
		return nil, problem("the file is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// Report writes one line per fault in err, each with the name of the file in front.
func Report(w io.Writer, file string, err error) {
	for _, line := range settings.AsProblems(types.CodeBadSettings, err).Lines() {
		if file != "" {
			line = file + ": " + line
		}
		fmt.Fprintln(w, line)
	}
}

func problem(format string, args ...any) error {
	var p settings.Problems
	p.Add(types.CodeBadSettings, "", format, args...)
	return p
}
