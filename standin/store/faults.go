package store

import "slices"

// Faults is the body of POST /faults. Each post replaces all settings; the zero value is a healthy store.
type Faults struct {
	// Down refuses all calls as store-unavailable before they take effect.
	Down bool `json:"down"`
	// SlowMs delays every call before it takes effect, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseAnswers closes the connection instead of answering the next writes that took effect.
	LoseAnswers int `json:"loseAnswers"`
	// CutClients lists clients whose connections are closed before a call takes effect. "*" means every client.
	CutClients []string `json:"cutClients"`
	// SilentClients lists clients that get no answer at all; their calls do not take effect. "*" means every client.
	SilentClients []string `json:"silentClients"`
	// VMListLagMs is the age of the VM list that is answered, in milliseconds.
	VMListLagMs int64 `json:"vmListLagMs"`
}

// cuts reports whether calls of client end without an answer.
func (f *Faults) cuts(client string) bool { return names(f.CutClients, client) }

// silences reports whether calls of client hang.
func (f *Faults) silences(client string) bool { return names(f.SilentClients, client) }

func names(list []string, client string) bool {
	return slices.Contains(list, client) || slices.Contains(list, "*")
}
