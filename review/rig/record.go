package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// record writes what was sent, answered and run to a file, with the seconds since the start of the case.
type record struct {
	guard guard
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable("create the record: %v", err)
	}
	return &record{guard: newGuard(), start: time.Now(), file: f, out: bufio.NewWriter(f)}
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	at := time.Since(r.start).Seconds()
	r.guard.hold(func() { fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{at}, args...)...) })
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.guard.hold(func() {
		_ = r.out.Flush()
		_ = r.file.Close()
	})
}
