package store

import "slices"

// Faults is the body of POST /faults. Each POST replaces all fields; the zero value is a healthy store.
type Faults struct {
	// Down refuses all calls with store-unavailable before they take effect.
	Down bool `json:"down"`
	// SlowMs delays every call before it takes effect, in milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseAnswers is the number of next successful writes that get a closed connection instead of an answer.
	LoseAnswers int `json:"loseAnswers"`
	// CutClients lists clients whose connections are closed before a call takes effect. "*" means every client.
	CutClients []string `json:"cutClients"`
	// SilentClients lists clients whose calls hang without an answer and do not take effect. "*" means every client.
	SilentClients []string `json:"silentClients"`
	// VMListLagMs is the age of the VM list that is returned, in milliseconds.
	VMListLagMs int64 `json:"vmListLagMs"`
}

// cuts reports whether the connections of client are closed.
func (f *Faults) cuts(client string) bool { return matchesClient(f.CutClients, client) }

// silences reports whether calls of client hang.
func (f *Faults) silences(client string) bool { return matchesClient(f.SilentClients, client) }

// matchesClient reports whether list has client or "*".
func matchesClient(list []string, client string) bool {
	return slices.Contains(list, client) || slices.Contains(list, "*")
}
