package sailctl

import (
	"encoding/json"
	"os"
	"path/filepath"

	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// loadSnapshot reads the last saved snapshot. It returns nil if the file is missing or damaged, because the snapshot is
// only used to show the last known state of a store or process that does not answer.
func loadSnapshot(file string) *operator.Snapshot {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	var snapshot operator.Snapshot
	if json.Unmarshal(data, &snapshot) != nil {
		return nil
	}
	return &snapshot
}

// saveSnapshot replaces file atomically, so that another sailctl never reads a partial snapshot.
func saveSnapshot(file string, snapshot operator.Snapshot) error {
	if file == "" {
		return nil
	}
	data, err := json.Marshal(snapshot)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot encode the snapshot")
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), ".sailctl-*")
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot create a temporary file")
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(data)
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), file)
	}
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write the file")
	}
	return nil
}
