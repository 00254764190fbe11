package target

import (
	"bytes"
	"encoding/json"
)

// DefaultRestartMs is how long a crashed target accepts no connection, in milliseconds.
const DefaultRestartMs = 500

// HeaderCrash marks a request that crashes the target when its value is "true".
const HeaderCrash = "Standin-Crash"

// Faults is the body of POST /faults. Each POST replaces all fields; the zero value is a healthy target.
type Faults struct {
	// Frozen stops all progress. Calls wait and continue when the target is no longer frozen.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the run time of requests. 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// Overloaded refuses all requests.
	Overloaded bool `json:"overloaded"`
	// CrashKey crashes the target when a request for this key starts.
	CrashKey string `json:"crashKey"`
	// RestartMs is how long a crashed target accepts no connection, in milliseconds. 0 means DefaultRestartMs.
	RestartMs int64 `json:"restartMs"`
	// CutBodies is the number of next answers whose connection is closed in the middle of the body. The requests took
	// effect.
	CutBodies int `json:"cutBodies"`
	// LoseAnswers is the number of next answers that are replaced by closing the connection. The requests took effect.
	LoseAnswers int `json:"loseAnswers"`
	// LateAnswers is the number of next answers that are delayed by LateMs milliseconds after the requests took effect.
	LateAnswers int   `json:"lateAnswers"`
	LateMs      int64 `json:"lateMs"`
	// HealthLagMs and LoadLagMs replace the lags of the settings, in milliseconds.
	HealthLagMs *int64 `json:"healthLagMs"`
	LoadLagMs   *int64 `json:"loadLagMs"`
	// ReportedState and ReportedRunning replace the true values in the health and load reports.
	ReportedState   string `json:"reportedState"`
	ReportedRunning *int   `json:"reportedRunning"`

	// The following are actions, performed once when they are posted.

	// Crash crashes the target.
	Crash bool `json:"crash,omitempty"`
	// Cold makes the target cold without a restart.
	Cold bool `json:"cold,omitempty"`
	// Warm ends the warm-up at once.
	Warm bool `json:"warm,omitempty"`
	// SilentConnections makes the connections that are open now silent: calls on them are neither run nor answered.
	// New connections work.
	SilentConnections bool `json:"silentConnections,omitempty"`
}

// decodeStrict decodes JSON and refuses unknown fields, so that a misspelt setting is noticed.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
