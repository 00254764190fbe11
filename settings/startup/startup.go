// Package startup gives all binaries the same command line: -settings FILE, -check and -version.
//
// Invalid settings end the process with exit code 2 and one line per fault on standard error, before Run is called.
// SIGTERM and SIGINT cancel the context of Run, so that the program can stop gracefully.
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
	// ExitOK follows success.
	ExitOK = 0
	// ExitFailed follows an error of Run.
	ExitFailed = 1
	// ExitSettings follows invalid settings or an invalid command line.
	ExitSettings = 2
)

// Release is the version that -version prints. The build sets it with -ldflags -X.
var Release = "devel"

// maxFileBytes bounds a settings file. It equals the size of the largest value in the store.
const maxFileBytes = 1 << 20

// Program describes one binary.
type Program struct {
	// Name is the file name of the binary.
	Name string
	// Settings points at the settings struct, which may implement settings.Provisioner and settings.Validator.
	Settings any
	// Load replaces the decoding into Settings, for files of another format. It returns settings.Problems.
	Load func(file string) error
	// File is the default of -settings.
	File string
	// Base, if set, is a settings file that the environment names. It is read first, and -settings may then be left out.
	Base *Base
	// Run is the main function of the program. It returns after ctx is cancelled; an error results in exit code 1.
	Run func(ctx context.Context) error
}

// Base is a settings file that is not given by a flag.
type Base struct {
	// File is the path of the file.
	File string
	// Load reads the file. It returns settings.Problems.
	Load func(file string) error
}

// Main executes p with the arguments, standard streams and signals of the process, and returns the exit code.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return p.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute parses args, loads the settings, calls Run unless a flag asks otherwise, and returns the exit code.
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
	if !p.loadFiles(*file, stderr) {
		return ExitSettings
	}
	if *check {
		for _, name := range p.files(*file) {
			fmt.Fprintf(stdout, "%s: settings are valid\n", name)
		}
		return ExitOK
	}
	return p.run(ctx, stderr)
}

// files returns the names of the files that are read.
func (p Program) files(file string) []string {
	switch {
	case p.Base == nil:
		return []string{file}
	case file == "":
		return []string{p.Base.File}
	}
	return []string{p.Base.File, file}
}

// loadFiles reads all files and reports their faults. It returns false if there are any.
func (p Program) loadFiles(file string, stderr io.Writer) (ok bool) {
	ok = true
	if p.Base != nil {
		if err := p.Base.Load(p.Base.File); err != nil {
			Report(stderr, p.Base.File, err)
			ok = false
		}
		if file == "" {
			return ok
		}
	}
	if err := p.load(file); err != nil {
		Report(stderr, file, err)
		ok = false
	}
	return ok
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

// VersionLine returns the line that -version prints: the name of the binary, its release and the Go version.
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
		return nil, fileProblem("no settings file given; use -settings FILE")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fileProblem("cannot read the file: %v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fileProblem("cannot read the file: %v", err)
	}
	if len(data) > maxFileBytes {
		return nil, fileProblem("the file is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// Report writes one line per fault in err, each prefixed with the file name unless it is empty.
func Report(w io.Writer, file string, err error) {
	for _, line := range settings.AsProblems(types.CodeBadSettings, err).Lines() {
		if file != "" {
			line = file + ": " + line
		}
		fmt.Fprintln(w, line)
	}
}

// fileProblem returns Problems with one fault that concerns the whole file.
func fileProblem(format string, args ...any) error {
	var p settings.Problems
	p.Add(types.CodeBadSettings, "", format, args...)
	return p
}
