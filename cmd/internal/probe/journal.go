package probe

import (
	"context"
	"encoding/json"
	"net/http"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// journalEntry describes one request in the journal of a stand-in target.
type journalEntry struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Outcome   string `json:"outcome"`
}

// outcomeCompleted is the journal outcome of a request that took effect.
const outcomeCompleted = "completed"

// readJournals returns how often each write request took effect, summed over all targets, by request identifier.
func readJournals(ctx context.Context, cfg config.Configuration) (map[string]int, error) {
	executions := make(map[string]int)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for _, service := range cfg.Services {
		for _, target := range service.Targets {
			if err := readJournal(ctx, client, target.Address, executions); err != nil {
				return nil, err
			}
		}
	}
	return executions, nil
}

// readJournal adds the write requests that took effect on the target at address to executions.
func readJournal(ctx context.Context, client *http.Client, address string, executions map[string]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/journal", nil)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return types.WrapFault(types.CodeTargetFailed, err, "read journal of %s", address)
	}
	defer response.Body.Close()
	var body struct {
		Entries []journalEntry `json:"entries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return types.WrapFault(types.CodeTargetFailed, err, "decode journal of %s", address)
	}
	for _, e := range body.Entries {
		if e.Method != http.MethodGet && e.Method != http.MethodHead && e.Outcome == outcomeCompleted {
			executions[e.RequestID]++
		}
	}
	return nil
}
