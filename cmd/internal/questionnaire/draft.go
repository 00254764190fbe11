package questionnaire

import (
	"encoding/json"
	"os"
	"path/filepath"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/settings/startup"
	"sequoiasail.example/types"
)

// draft is an unfinished session.
type draft struct {
	// Answered lists the paths that were answered, so that they are not asked again.
	Answered []string       `json:"answered"`
	Answers  config.Answers `json:"answers"`
}

// draftName returns the name of the draft next to file.
func draftName(file string) string { return file + ".draft" }

// loadDraft reads a draft. A missing one is empty.
func loadDraft(name string) (draft, error) {
	d := draft{}
	if _, err := os.Stat(name); os.IsNotExist(err) {
		d.Answers.SetDefaults()
		return d, nil
	}
	data, err := startup.ReadFile(name)
	if err != nil {
		return d, err
	}
	return d, settings.DecodeAs(types.CodeBadConfiguration, data, &d)
}

func (d draft) save(name string) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot encode the draft")
	}
	return replaceFile(name, data)
}

// filePermissions are those of a file that a team shares; a temporary file starts without.
const filePermissions = 0o644

// replaceFile writes data next to name and renames it, so that an interruption leaves either the old or the new file.
func replaceFile(name string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".sail-questionnaire-*")
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write %s", name)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err == nil {
		err = f.Chmod(filePermissions)
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write %s", name)
	}
	return nil
}
