package config

import (
	"strings"
)

// Explanation names the answer from which a generated value is derived.
type Explanation struct {
	// Path of the value in the configuration. Elements of lists are named, for example services.bodega.scope.
	Path string `json:"path"`
	// Value is the generated value as JSON.
	Value string `json:"value"`
	// Answer is the path of the answer, for example services[1].cutOff.
	Answer string `json:"answer"`
	// Why says how the value follows from the answer.
	Why string `json:"why"`
}

// Explain returns the explanation of each value that Generate produces for a, in the order of the canonical form. It
// returns the faults of Generate.
func Explain(a Answers) ([]Explanation, error) {
	_, reasons, err := build(a)
	return reasons, err
}

// origin names the answer from which the values at or below prefix are derived, and how.
type origin struct{ prefix, answer, why string }

// origin appends to origins the origin of the values at or below prefix.
func (b *builder) origin(prefix, answer, why string) {
	b.origins = append(b.origins, origin{prefix: prefix, answer: answer, why: why})
}

// explanations matches each value of c with its most specific origin. An origin whose prefix ends in a dot covers
// several values, each derived from the answer of the same name.
func (b *builder) explanations(c Configuration) []Explanation {
	index := map[string]origin{}
	for _, o := range b.origins {
		index[o.prefix] = o
	}
	var out []Explanation
	for _, leaf := range flatten(c) {
		if leaf.path == "version" {
			continue
		}
		o := findOrigin(index, leaf.path)
		answer := o.answer
		if strings.HasSuffix(o.prefix, ".") && strings.Contains(answer, "[") {
			answer += "." + leaf.path[len(o.prefix):]
		}
		out = append(out, Explanation{Path: leaf.path, Value: leaf.value, Answer: answer, Why: o.why})
	}
	return out
}

// findOrigin returns the origin of path, or else the one of the innermost object that contains it.
func findOrigin(index map[string]origin, path string) origin {
	if o, ok := index[path]; ok {
		return o
	}
	for i := strings.LastIndexByte(path, '.'); i >= 0; i = strings.LastIndexByte(path[:i], '.') {
		if o, ok := index[path[:i+1]]; ok {
			return o
		}
	}
	return origin{}
}
