package sailctl

import (
	"encoding/json"
	"os"
	"path/filepath"

	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// loadPicture reads the last seen picture. A missing or damaged file counts as none: it only fills gaps.
func loadPicture(file string) *operator.Picture {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	var p operator.Picture
	if json.Unmarshal(data, &p) != nil {
		return nil
	}
	return &p
}

// savePicture replaces the file in one step, so that a second sailctl never reads half a picture.
func savePicture(file string, p operator.Picture) error {
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
