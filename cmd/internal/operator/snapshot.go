package operator

import (
	"context"
	"strconv"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/types"
)

// Snapshot is the state of the system as far as it can be seen. The store and each process are asked separately, so that
// one of them being down hides nothing of the others.
type Snapshot struct {
	// At is when the snapshot was taken.
	At        time.Time     `json:"at"`
	Store     StoreView     `json:"store"`
	Processes []ProcessView `json:"processes"`
}

// StoreView is what the store says.
type StoreView struct {
	// Error is empty when the store answered.
	Error string `json:"error,omitempty"`
	// SeenAt is when the rest of the view was read. It is earlier than Snapshot.At when the store is down.
	SeenAt  *time.Time               `json:"seenAt,omitempty"`
	Version types.Version            `json:"version"`
	Rows    map[string]config.OpsRow `json:"rows,omitempty"`
}

// ProcessView is what one process says.
type ProcessView struct {
	Process string `json:"process"`
	// Error is empty when the process answered.
	Error string `json:"error,omitempty"`
	// SeenAt is when Status was read. It is earlier than Snapshot.At when the process does not answer.
	SeenAt *time.Time        `json:"seenAt,omitempty"`
	Status *telemetry.Status `json:"status,omitempty"`
}

// Snapshot takes a snapshot. What does not answer is filled in from last, with the time it was seen; last may be nil.
func (o *Operator) Snapshot(ctx context.Context, last *Snapshot) Snapshot {
	p := Snapshot{At: o.Now(), Store: o.storeView(ctx)}
	if p.Store.Error != "" && last != nil {
		p.Store.Version, p.Store.Rows, p.Store.SeenAt = last.Store.Version, last.Store.Rows, last.Store.SeenAt
	}
	for _, r := range o.Fleet.Query(ctx) {
		p.Processes = append(p.Processes, viewOf(r, last))
	}
	return p
}

func (o *Operator) storeView(ctx context.Context) StoreView {
	at := o.Now()
	now, err := o.Current(ctx)
	if err != nil {
		return StoreView{Error: err.Error()}
	}
	rows, err := o.Rows(ctx)
	if err != nil {
		return StoreView{Error: err.Error()}
	}
	return StoreView{SeenAt: &at, Version: now.Configuration.Version, Rows: rows}
}

func viewOf(r Report, last *Snapshot) ProcessView {
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

// InForce reports whether every process that answers follows the version that the store holds.
func (p Snapshot) InForce() bool {
	for _, v := range p.Processes {
		if v.Error != "" || types.Version(v.Status.ConfigVersion) != p.Store.Version {
			return false
		}
	}
	return p.Store.Error == ""
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
