package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sequoiasail.example/config"
)

// exampleAnswers returns the parsed answers of an installation in examples/.
func exampleAnswers(t testing.TB, user string) config.Answers {
	t.Helper()
	a, err := config.ParseAnswers(exampleBytes(t, user))
	if err != nil {
		t.Fatalf("%s: %v", user, err)
	}
	return a
}

// exampleBytes returns the answers file of an installation in examples/.
func exampleBytes(t testing.TB, user string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", user, "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// edit returns a copy of the JSON document with change applied to its root object.
func edit(t testing.TB, document []byte, change func(root map[string]any)) []byte {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal(document, &root); err != nil {
		t.Fatal(err)
	}
	change(root)
	out, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// objectAt returns the object in v at a path of map keys and list indices.
func objectAt(v any, path ...any) map[string]any {
	for _, p := range path {
		switch p := p.(type) {
		case string:
			v = v.(map[string]any)[p]
		case int:
			v = v.([]any)[p]
		}
	}
	return v.(map[string]any)
}
