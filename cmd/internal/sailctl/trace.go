package sailctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// groupLogs is the help group of the commands that read only logs.
const groupLogs = "logs (no store needed)"

// maxLogLineBytes is the maximum length of a log line. A file with a longer one is reported as unreadable.
const maxLogLineBytes = 1 << 20

// logLine is one line of the log of a process.
type logLine struct {
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// value returns a text field, or "" if the line does not have it.
func (l logLine) value(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

func (a *app) traceCommand() *command {
	c := &command{
		name: "trace", group: groupLogs, usage: "trace REQUEST [FILE...]",
		synopsis: "Print the log lines that name a request, ordered by time",
		details: "\nWithout FILE the lines are read from standard input. Text before the first brace of a line is ignored, and so are\n" +
			"lines that are not JSON. If no line names the request, it is reported as not found.\n",
	}
	c.run = func(_ context.Context, args []string) int {
		if len(args) < 1 {
			return a.usage(c)
		}
		lines, err := readLogs(args[0], args[1:])
		if err != nil {
			return a.fail("", err)
		}
		if len(lines) == 0 {
			return a.fail("", types.NewFault(types.CodeNotFound, "no line names request %s", args[0]))
		}
		return a.finish(a.print(lines, func() { a.printTrace(lines) }))
	}
	return c
}

// readLogs returns the lines that name request in all files, or in standard input without files, ordered by time.
func readLogs(request string, files []string) ([]logLine, error) {
	var all []logLine
	if len(files) == 0 {
		lines, err := readLog(request, os.Stdin, "standard input")
		if err != nil {
			return nil, err
		}
		all = lines
	}
	for _, name := range files {
		lines, err := readLogFile(request, name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	return all, nil
}

func readLogFile(request, name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, types.WrapFault(types.CodeNotFound, err, "cannot open the log file")
	}
	defer f.Close()
	return readLog(request, f, name)
}

// readLog returns the lines of r that name request. name is the name of r in errors.
func readLog(request string, r io.Reader, name string) ([]logLine, error) {
	var found []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 || !bytes.Contains(s.Bytes(), []byte(request)) {
			continue
		}
		var l logLine
		if json.Unmarshal(s.Bytes()[start:], &l) == nil && l.value("request") == request {
			found = append(found, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, types.WrapFault(types.CodeInternal, err, "cannot read %s", name)
	}
	return found, nil
}

// printTrace prints for each line the time since the first one, the VM, the message, and the fields that say what
// happened to the request and why.
func (a *app) printTrace(lines []logLine) {
	first := lines[0].Timestamp
	a.printf("%s\n", first.UTC().Format(time.RFC3339Nano))
	for _, l := range lines {
		var parts []string
		for _, field := range []string{"target", "code", "outcome", "reason", "detail"} {
			if value := l.value(field); value != "" {
				parts = append(parts, field+": "+value)
			}
		}
		a.printf("%8.3f s  %s  %s  %s\n", l.Timestamp.Sub(first).Seconds(), l.value("vm"), l.Message, strings.Join(parts, "; "))
	}
}
