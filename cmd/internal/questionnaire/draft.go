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

// draft holds the answers of an unfinished session.
type draft struct {
	// Answered lists the paths of accepted answers, which are not asked for again.
	Answered []string       `json:"answered"`
	Answers  config.Answers `json:"answers"`
}

// draftName returns the name of the draft that belongs to the answers in file.
func draftName(file string) string { return file + ".draft" }

// loadDraft reads a draft. A missing file is an empty draft.
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

// save writes the draft to a file.
func (d draft) save(name string) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot encode the draft")
	}
	return replaceFile(name, data)
}

// filePermissions makes the answers readable to the whole team. os.CreateTemp alone would make them readable to the
// owner only.
const filePermissions = 0o644

// replaceFile writes data to a temporary file and renames it to name, so that an interruption leaves either the old
// file or the new one.
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
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		return types.WrapFault(types.CodeInternal, err, "cannot write %s", name)
	}
	return nil
}
