package config

import (
	"strings"
)

// Reason says which answer caused a generated value.
type Reason struct {
	// Path of the value in the configuration. Elements of lists are named, for example services.bodega.scope.
	Path string `json:"path"`
	// Value in JSON.
	Value string `json:"value"`
	// Answer is the path of the answer, for example services[1].cutOff.
	Answer string `json:"answer"`
	// Why says how the value follows from the answer.
	Why string `json:"why"`
}

// Explain returns the reason of each value that Generate produces for a, in the order of the canonical form. It returns
// the faults of Generate.
func Explain(a Answers) ([]Reason, error) {
	_, reasons, err := build(a)
	return reasons, err
}

// note holds for the values whose path starts with prefix.
type note struct{ prefix, answer, why string }

func (b *builder) note(prefix, answer, why string) {
	b.notes = append(b.notes, note{prefix: prefix, answer: answer, why: why})
}

// reasons matches each value of c with the most specific note. A note that ends in a dot covers several values, each
// caused by the answer of the same name.
func (b *builder) reasons(c Configuration) []Reason {
	index := map[string]note{}
	for _, n := range b.notes {
		index[n.prefix] = n
	}
	var out []Reason
	for _, leaf := range flatten(c) {
		if leaf.path == "version" {
			continue
		}
		n := find(index, leaf.path)
		answer := n.answer
		if strings.HasSuffix(n.prefix, ".") && strings.Contains(answer, "[") {
			answer += "." + leaf.path[len(n.prefix):]
		}
		out = append(out, Reason{Path: leaf.path, Value: leaf.value, Answer: answer, Why: n.why})
	}
	return out
}

// find returns the note for path or for the nearest object around it.
func find(index map[string]note, path string) note {
	if n, ok := index[path]; ok {
		return n
	}
	for i := strings.LastIndexByte(path, '.'); i >= 0; i = strings.LastIndexByte(path[:i], '.') {
		if n, ok := index[path[:i+1]]; ok {
			return n
		}
	}
	return note{}
}
