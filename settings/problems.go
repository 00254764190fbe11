package settings

import (
	"fmt"
	"strings"

	"sequoiasail.example/types"
)

// MaxProblems bounds the faults kept for one document. A document with more is not what its author meant to pass, and
// a long array of wrong values must not fill the memory.
const MaxProblems = 200

// Problems is an error that holds every fault found in one document, in document order.
type Problems []*types.Fault

// Add appends a fault with code at path. Faults past MaxProblems are dropped.
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
		lines = append(lines, line(f))
	}
	return lines
}

// Unwrap returns the faults for errors.Is and errors.As.
func (p Problems) Unwrap() []error {
	errs := make([]error, 0, len(p))
	for _, f := range p {
		errs = append(errs, f)
	}
	return errs
}

// merge appends the faults of more whose value, or a value around it, has no fault yet: a value that could not be
// decoded is not reported a second time as missing.
func (p *Problems) merge(more Problems) {
	known := make(map[string]bool, len(*p))
	for _, f := range *p {
		known[f.Path] = true
	}
	for _, f := range more {
		if !covered(known, f.Path) && len(*p) < MaxProblems {
			*p = append(*p, f)
		}
	}
}

// covered reports whether known holds path or one of the paths that lead to it.
func covered(known map[string]bool, path string) bool {
	for !known[path] {
		if path == "" {
			return false
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return true
}

// AsProblems returns the faults in err. An error without path or code becomes one fault with code and the path of the
// whole document.
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

func line(f *types.Fault) string {
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
