package settings

import (
	"fmt"
	"strings"

	"sequoiasail.example/types"
)

// MaxProblems bounds the faults kept for one document, so that a long array of wrong values cannot exhaust the memory.
// A document with more faults is most likely the wrong file.
const MaxProblems = 200

// Problems is an error that holds the faults found in one document: first those of decoding, in document order, then
// those of Validate.
type Problems []*types.Fault

// Add appends a fault with the given code and path. Faults beyond MaxProblems are dropped.
func (p *Problems) Add(code types.Code, path, format string, args ...any) {
	if len(*p) >= MaxProblems {
		return
	}
	f := types.NewFault(code, format, args...)
	f.Path = path
	*p = append(*p, f)
}

// Err returns p as an error, or nil when p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Error returns the faults, one per line.
func (p Problems) Error() string { return strings.Join(p.Lines(), "\n") }

// Lines returns one line per fault: path, message and code.
func (p Problems) Lines() []string {
	lines := make([]string, 0, len(p))
	for _, f := range p {
		lines = append(lines, faultLine(f))
	}
	return lines
}

// Unwrap returns the faults one by one, for errors.Is and errors.As.
func (p Problems) Unwrap() []error {
	errs := make([]error, 0, len(p))
	for _, f := range p {
		errs = append(errs, f)
	}
	return errs
}

// merge appends the faults of more, except for those of a value that has a fault already or is nested in one that has.
// Otherwise a value that could not be decoded would be reported a second time as missing.
func (p *Problems) merge(more Problems) {
	faulty := make(map[string]bool, len(*p))
	for _, f := range *p {
		faulty[f.Path] = true
	}
	for _, f := range more {
		if !containsPathOrParent(faulty, f.Path) && len(*p) < MaxProblems {
			*p = append(*p, f)
		}
	}
}

// containsPathOrParent reports whether paths contains path or the path of a value that encloses it.
func containsPathOrParent(paths map[string]bool, path string) bool {
	for !paths[path] {
		if path == "" {
			return false
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return true
}

// AsProblems returns the faults in err. Any other error becomes one fault with the given code and the path of the whole
// document.
func AsProblems(code types.Code, err error) Problems {
	switch e := err.(type) {
	case nil:
		return nil
	case Problems:
		return e
	case *types.Fault:
		return Problems{e}
	}
	return Problems{types.WrapFault(code, err, "document refused")}
}

// faultLine formats f as path, message, cause and code.
func faultLine(f *types.Fault) string {
	path := f.Path
	if path == "" {
		path = "."
	}
	text := f.Message
	if cause := f.Unwrap(); cause != nil {
		text += ": " + cause.Error()
	}
	return fmt.Sprintf("%s: %s (%s)", path, text, f.Code)
}
