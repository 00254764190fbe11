package probe

import (
	"context"
	"encoding/json"
	"net/http"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// journalEntry is one line of a stand-in target's journal.
type journalEntry struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Outcome   string `json:"outcome"`
}

// completed is the outcome of a request that took effect.
const completed = "completed"

// readJournals returns how often each write request took effect, over all targets.
func readJournals(ctx context.Context, cfg config.Configuration) (map[string]int, error) {
	runs := make(map[string]int)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for _, service := range cfg.Services {
		for _, target := range service.Targets {
			if err := readJournal(ctx, client, target.Address, runs); err != nil {
				return nil, err
			}
		}
	}
	return runs, nil
}

func readJournal(ctx context.Context, client *http.Client, address string, runs map[string]int) error {
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
		if e.Method != http.MethodGet && e.Method != http.MethodHead && e.Outcome == completed {
			runs[e.RequestID]++
		}
	}
	return nil
}
