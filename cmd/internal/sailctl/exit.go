package sailctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// Exit codes.
const (
	ExitOK               = 0
	ExitFailed           = 1
	ExitRefused          = 2
	ExitConflict         = 3
	ExitStoreUnavailable = 4
	ExitUnconfirmed      = 5
)

const exitHelp = `
Exit codes:
	0  done
	1  failed for a reason that none of the others covers
	2  refused: command line, settings, answers, a name that does not exist, or the last target of a service
	3  conflict: another operator came first; nothing was changed
	4  the store is unavailable, or did not say whether it took a write
	5  written, but not every process confirmed in time
`

// exitCode returns the exit code for err.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	switch types.CodeOf(err) {
	case types.CodeBadConfiguration, types.CodeBadSettings, types.CodeNotFound, types.CodeBadRequest:
		return ExitRefused
	case types.CodeConflict, types.CodeStaleEpoch:
		return ExitConflict
	case types.CodeStoreUnavailable, types.CodeAnswerLost, types.CodeTimeout:
		return ExitStoreUnavailable
	case types.CodeDeadlineExceeded:
		return ExitUnconfirmed
	}
	return ExitFailed
}

// faultJSON is one fault for scripts.
type faultJSON struct {
	Code types.Code `json:"code"`
	// In is the file or the part of the store that the path is in.
	In      string `json:"in,omitempty"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// fail prints one line per fault, with the name of the file or the part that they are in, and returns the exit code.
func (a *app) fail(file string, err error) int {
	var problems settings.Problems
	if !errors.As(err, &problems) {
		problems = settings.AsProblems(types.CodeInternal, err)
	}
	if outer, ok := err.(*types.Fault); ok && len(problems) > 0 && problems[0] != outer {
		file = outer.Message
	}
	for _, f := range problems {
		if a.json {
			_ = json.NewEncoder(a.env.Stderr).Encode(faultJSON{Code: f.Code, In: file, Path: f.Path, Message: faultText(f)})
			continue
		}
		fmt.Fprintln(a.env.Stderr, formatFault(file, f))
	}
	return exitCode(err)
}

// formatFault returns "file: path: message (code)" without the parts that are empty.
func formatFault(file string, f *types.Fault) string {
	line := ""
	for _, part := range []string{file, f.Path} {
		if part != "" {
			line += part + ": "
		}
	}
	return line + faultText(f) + " (" + string(f.Code) + ")"
}

// faultText returns the message and the cause without codes and paths.
func faultText(f *types.Fault) string {
	cause := f.Unwrap()
	if cause == nil {
		return f.Message
	}
	return f.Message + ": " + cause.Error()
}
