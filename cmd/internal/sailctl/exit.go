package sailctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// Exit codes, as described in exitHelp.
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
	1  failed for any other reason
	2  refused: invalid command line, settings or answers, an unknown name, or a service would have no target left
	3  conflict: another operator made a change first; nothing was changed
	4  the store is unavailable, or did not confirm or refuse a write
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

// faultJSON is the JSON output for one fault.
type faultJSON struct {
	Code types.Code `json:"code"`
	// In is the file or the part of the store that contains Path.
	In string `json:"in,omitempty"`
	// Path is the path of the wrong value, if there is one.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// fail prints one line per fault in err and returns the exit code. Each line starts with file; if err wraps a list of
// problems in a fault, it starts with the message of that fault instead.
func (a *app) fail(file string, err error) int {
	var problems settings.Problems
	if !errors.As(err, &problems) {
		problems = settings.AsProblems(types.CodeInternal, err)
	}
	if wrapper, ok := err.(*types.Fault); ok && len(problems) > 0 && problems[0] != wrapper {
		file = wrapper.Message
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

// formatFault returns "file: path: message (code)" for people. Empty parts are left out.
func formatFault(file string, f *types.Fault) string {
	line := ""
	for _, part := range []string{file, f.Path} {
		if part != "" {
			line += part + ": "
		}
	}
	return line + faultText(f) + " (" + string(f.Code) + ")"
}

// faultText returns the message and the cause of f, without code and path.
func faultText(f *types.Fault) string {
	cause := f.Unwrap()
	if cause == nil {
		return f.Message
	}
	return f.Message + ": " + cause.Error()
}
