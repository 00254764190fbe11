package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// OpsState is the administrative state of a data centre, VM or target, set by operators.
type OpsState string

const (
	// OpsIn means in service. A data centre, VM or target without a row is in service.
	OpsIn OpsState = "in"
	// OpsOut means out of service: no new work, keys move away. Written for data centres and VMs.
	OpsOut OpsState = "out"
	// OpsDraining means that a target gets no new work, finishes what it has, and its keys move away.
	OpsDraining OpsState = "draining"
)

// AcceptsNewWork reports whether a data centre, VM or target in state s may get new work.
func (s OpsState) AcceptsNewWork() bool { return s == OpsIn }

// MaxOpsHistory is the number of earlier changes that a row keeps. After a lost answer to a compare-and-set, the writer
// reads the row back and looks for its write identifier, also behind the writes that followed. More than eight writes of
// one row before the read-back are not expected.
const MaxOpsHistory = 8

// OpsChange is one change of an operators' row.
type OpsChange struct {
	// Version rises by one with every write of the row, starting at 1.
	Version types.Version `json:"version"`
	// State is the state that the change sets.
	State OpsState `json:"state"`
	// Operator is the name of the operator who made the change.
	Operator string `json:"operator"`
	// Note is the operator's reason. Optional.
	Note string `json:"note,omitempty"`
	// At is the time of the decision by the operator's clock, RFC 3339. It is informational and never used for
	// ordering.
	At string `json:"at"`
	// WriteID is the identifier of the store write.
	WriteID string `json:"writeId"`
}

// OpsRow is the value of an operators' key. It holds the newest change and, in History, the earlier ones, newest first.
type OpsRow struct {
	OpsChange
	// History holds at most MaxOpsHistory earlier changes.
	History []OpsChange `json:"history,omitempty"`
}

// Next returns the row after applying change to r. It sets the version of change and moves the current change of r into
// the history. The zero row stands for a missing key.
func (r OpsRow) Next(change OpsChange) OpsRow {
	change.Version = r.Version + 1
	next := OpsRow{OpsChange: change}
	if r.Version > 0 {
		next.History = append(next.History, r.OpsChange)
	}
	next.History = append(next.History, r.History...)
	next.History = next.History[:min(len(next.History), MaxOpsHistory)]
	return next
}

// Find returns the change that was written with writeID, if the row still holds it.
func (r OpsRow) Find(writeID string) (OpsChange, bool) {
	if r.WriteID == writeID {
		return r.OpsChange, true
	}
	for _, c := range r.History {
		if c.WriteID == writeID {
			return c, true
		}
	}
	return OpsChange{}, false
}

// Supersedes reports whether a process that has installed row old may install r.
func (r OpsRow) Supersedes(old OpsRow) bool { return r.Version > old.Version }

// Encode returns the stored form of r.
func (r OpsRow) Encode() []byte { return compactJSON(r) }

// Validate reports the faults of a stored row.
func (r OpsRow) Validate() error {
	c := &settings.Checks{Code: types.CodeBadConfiguration}
	r.OpsChange.check(c, "")
	if len(r.History) > MaxOpsHistory {
		c.Fail("history", "holds %d changes, at most %d are kept", len(r.History), MaxOpsHistory)
		return c.Err()
	}
	last := r.Version
	for i, change := range r.History {
		path := settings.Index("history", i)
		change.check(c, path)
		if change.Version >= last {
			c.Fail(settings.Join(path, "version"), "must be below %d: changes are listed newest first", last)
		}
		last = change.Version
	}
	return c.Err()
}

// check reports the faults of o.
func (o OpsChange) check(c *settings.Checks, path string) {
	if o.Version == 0 {
		c.Fail(settings.Join(path, "version"), "must be at least 1")
	}
	if !slices.Contains([]OpsState{OpsIn, OpsOut, OpsDraining}, o.State) {
		c.Fail(settings.Join(path, "state"), "must be in, out or draining, not %q", o.State)
	}
	c.Require(settings.Join(path, "writeId"), o.WriteID)
}

// ParseOpsRow decodes and checks a stored row. It returns settings.Problems.
func ParseOpsRow(data []byte) (OpsRow, error) {
	var r OpsRow
	if err := settings.LoadAs(types.CodeBadConfiguration, data, &r); err != nil {
		return OpsRow{}, err
	}
	return r, nil
}

// compactJSON encodes a value of this package. It panics when encoding/json fails, which the types rule out: callers
// check that numbers are finite.
func compactJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// indentedJSON encodes a value of this package with line breaks, indentation and a final newline.
func indentedJSON(v any) []byte {
	var out bytes.Buffer
	if err := json.Indent(&out, compactJSON(v), "", "  "); err != nil {
		panic(err)
	}
	return append(out.Bytes(), '\n')
}
