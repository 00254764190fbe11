package target

import (
	"time"

	"sequoiasail.example/types"
)

// Outcomes of requests in the journal.
const (
	OutcomeRunning   = "running"
	OutcomeCompleted = "completed"
	OutcomeFailed    = "failed"
	OutcomeCancelled = "cancelled"
	OutcomeDeadline  = "deadline"
	OutcomeFenced    = "fenced"
	OutcomeCrashed   = "crashed"
)

// JournalEntry records one request that started. Only completed requests took effect.
type JournalEntry struct {
	RequestID  types.RequestID `json:"requestId"`
	Key        string          `json:"key"`
	Method     string          `json:"method"`
	Slot       types.Slot      `json:"slot"`
	LeaseEpoch types.Epoch     `json:"leaseEpoch"`
	// StartNs and EndNs are Unix times in nanoseconds. EndNs is 0 while the request runs.
	StartNs int64  `json:"startNs"`
	EndNs   int64  `json:"endNs"`
	Outcome string `json:"outcome"`
}

// JournalAnswer is the answer to GET /journal?after=N.
type JournalAnswer struct {
	Service string         `json:"service"`
	Target  string         `json:"target"`
	Entries []JournalEntry `json:"entries"`
	// Dropped is the number of requests not recorded because the journal was full.
	Dropped uint64 `json:"dropped"`
}

// noEntry is the position of a request without a journal entry.
const noEntry = -1

// journal records the requests of all incarnations: it survives crashes, so that tests see every run.
type journal struct {
	entries     []JournalEntry
	limit       int
	recordReads bool
	dropped     uint64
}

// startRequest records a started request and returns its position.
func (j *journal) startRequest(now time.Time, r request) int {
	if !j.recordReads && !r.writes() {
		return noEntry
	}
	if len(j.entries) >= j.limit {
		j.dropped++
		return noEntry
	}
	j.entries = append(j.entries, JournalEntry{
		RequestID:  r.id,
		Key:        r.key,
		Method:     r.method,
		Slot:       r.slot,
		LeaseEpoch: r.leaseEpoch,
		StartNs:    now.UnixNano(),
		Outcome:    OutcomeRunning,
	})
	return len(j.entries) - 1
}

// end records the outcome of the request at position.
func (j *journal) end(now time.Time, position int, outcome string) {
	if position == noEntry {
		return
	}
	j.entries[position].EndNs = now.UnixNano()
	j.entries[position].Outcome = outcome
}

// from returns a copy of the entries from position on.
func (j *journal) from(position int) []JournalEntry {
	position = min(max(position, 0), len(j.entries))
	return append([]JournalEntry{}, j.entries[position:]...)
}
