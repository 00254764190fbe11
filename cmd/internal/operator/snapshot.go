package operator

import (
	"context"
	"strconv"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// Snapshot is the observed state of the store and the processes. Each is queried separately, so the state of the others
// is shown while one is down.
type Snapshot struct {
	// At is the time when the snapshot was taken.
	At        time.Time     `json:"at"`
	Store     StoreView     `json:"store"`
	Processes []ProcessView `json:"processes"`
}

// StoreView is the state that the store holds.
type StoreView struct {
	// Error is empty when the store answered.
	Error string `json:"error,omitempty"`
	// SeenAt is the time when Version and Rows were read. It is earlier than Snapshot.At when the store is down.
	SeenAt *time.Time `json:"seenAt,omitempty"`
	// Version is the version of the configuration in force, or 0.
	Version types.Version `json:"version"`
	// Rows are the operators' rows by key.
	Rows map[string]config.OpsRow `json:"rows,omitempty"`
}

// ProcessView is the status of one process.
type ProcessView struct {
	// Process is the name of the process, "vm/role".
	Process string `json:"process"`
	// Error is empty when the process answered.
	Error string `json:"error,omitempty"`
	// SeenAt is the time when Status was read. It is earlier than Snapshot.At when the process does not answer.
	SeenAt *time.Time        `json:"seenAt,omitempty"`
	Status *telemetry.Status `json:"status,omitempty"`
}

// Snapshot takes a snapshot. If the store or a process does not answer, its state is copied from last together with the
// time when it was read. last may be nil.
func (o *Operator) Snapshot(ctx context.Context, last *Snapshot) Snapshot {
	s := Snapshot{At: o.Now(), Store: o.storeView(ctx)}
	if s.Store.Error != "" && last != nil {
		s.Store.Version, s.Store.Rows, s.Store.SeenAt = last.Store.Version, last.Store.Rows, last.Store.SeenAt
	}
	for _, r := range o.Fleet.Query(ctx) {
		s.Processes = append(s.Processes, processView(r, last))
	}
	return s
}

// storeView reads the state that the store holds.
func (o *Operator) storeView(ctx context.Context) StoreView {
	at := o.Now()
	current, err := o.Current(ctx)
	if err != nil {
		return StoreView{Error: err.Error()}
	}
	rows, err := o.Rows(ctx)
	if err != nil {
		return StoreView{Error: err.Error()}
	}
	return StoreView{SeenAt: &at, Version: current.Configuration.Version, Rows: rows}
}

// processView returns the view for report r. If the process did not answer, its status is copied from last.
func processView(r StatusReport, last *Snapshot) ProcessView {
	v := ProcessView{Process: r.Process.Name()}
	if r.Err == nil {
		v.SeenAt, v.Status = &r.At, &r.Status
		return v
	}
	v.Error = r.Err.Error()
	if last == nil {
		return v
	}
	for _, old := range last.Processes {
		if old.Process == v.Process {
			v.SeenAt, v.Status = old.SeenAt, old.Status
		}
	}
	return v
}

// InForce reports whether the store and every process answer and every process follows the version that the store holds.
func (s Snapshot) InForce() bool {
	for _, v := range s.Processes {
		if v.Error != "" || types.Version(v.Status.ConfigVersion) != s.Store.Version {
			return false
		}
	}
	return s.Store.Error == ""
}

// formatUint formats n in decimal.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
