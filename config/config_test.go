package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"sequoiasail.example/config"
)

// example returns the answers of a user from examples/.
func example(t testing.TB, user string) config.Answers {
	t.Helper()
	a, err := config.ParseAnswers(exampleBytes(t, user))
	if err != nil {
		t.Fatalf("%s: %v", user, err)
	}
	return a
}

func exampleBytes(t testing.TB, user string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", user, "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// edit returns the document with the values at JSON paths replaced; nil removes a value.
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

// in returns the object at the path of map keys and list indices.
func in(v any, path ...any) map[string]any {
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
