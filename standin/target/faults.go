package target

import (
	"bytes"
	"encoding/json"
)

// DefaultRestartMs is how long a crashed target accepts no connection, in milliseconds.
const DefaultRestartMs = 500

// HeaderCrash marks a request that crashes the target when its value is "true".
const HeaderCrash = "Standin-Crash"

// Faults is the body of POST /faults. Each post replaces all settings; the zero value is a healthy target.
type Faults struct {
	// Frozen stops all progress. Calls wait, and go on when the target is no longer frozen.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the time that requests run. 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// Overloaded refuses all requests.
	Overloaded bool `json:"overloaded"`
	// CrashKey crashes the target when a request for this key starts.
	CrashKey string `json:"crashKey"`
	// RestartMs is how long a crashed target accepts no connection, in milliseconds. 0 means DefaultRestartMs.
	RestartMs int64 `json:"restartMs"`
	// CutBodies closes the connection in the middle of the next answers. The requests took effect.
	CutBodies int `json:"cutBodies"`
	// LoseAnswers closes the connection instead of the next answers. The requests took effect.
	LoseAnswers int `json:"loseAnswers"`
	// LateAnswers holds the next answers back for LateMs milliseconds after the requests took effect.
	LateAnswers int   `json:"lateAnswers"`
	LateMs      int64 `json:"lateMs"`
	// HealthLagMs and LoadLagMs replace the lags of the settings, in milliseconds.
	HealthLagMs *int64 `json:"healthLagMs"`
	LoadLagMs   *int64 `json:"loadLagMs"`
	// ReportedState and ReportedRunning replace what the reports say.
	ReportedState   string `json:"reportedState"`
	ReportedRunning *int   `json:"reportedRunning"`

	// The following happen once, when they are posted.

	// Crash ends the target as a crash does.
	Crash bool `json:"crash,omitempty"`
	// Cold makes the target cold without a restart.
	Cold bool `json:"cold,omitempty"`
	// Warm ends the cold start.
	Warm bool `json:"warm,omitempty"`
	// SilentConnections makes the connections that are open now silent: what is sent on them is neither run nor
	// answered. New connections work.
	SilentConnections bool `json:"silentConnections,omitempty"`
}

// strict decodes JSON and refuses unknown fields, so that a misspelt setting is noticed.
func strict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
