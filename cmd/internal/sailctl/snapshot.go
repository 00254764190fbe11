package sailctl

import (
	"encoding/json"
	"os"
	"path/filepath"

	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// loadSnapshot reads the last seen snapshot. A missing or damaged file counts as none: it only fills gaps.
func loadSnapshot(file string) *operator.Snapshot {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	var p operator.Snapshot
	if json.Unmarshal(data, &p) != nil {
		return nil
	}
	return &p
}

// saveSnapshot replaces the file in one step, so that a second sailctl never reads half a snapshot.
func saveSnapshot(file string, p operator.Snapshot) error {
	if file == "" {
		return nil
	}
	data, err := json.Marshal(p)
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot encode")
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), ".sailctl-*")
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot create")
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(data)
	if closed := temporary.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(temporary.Name(), file)
	}
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write")
	}
	return nil
}
