package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"sequoiasail.example/types"
)

// maxDepth bounds the nesting of a document. The most deeply nested settings document of the project has 6 levels.
const maxDepth = 32

// member is one field of an object, in document order.
type member struct {
	name  string
	value node
}

// node is a decoded JSON value: []member, []node, string, json.Number, bool or nil.
type node any

// parser builds a tree of nodes and reports syntax errors and duplicate fields with their path.
type parser struct {
	dec      *json.Decoder
	code     types.Code
	problems *Problems
}

// parse reads exactly one JSON value from data. ok is false when data is not valid JSON, is nested too deeply or continues
// after the first value; problems then holds the fault. Duplicate fields are reported without ending the parse.
func parse(code types.Code, data []byte, problems *Problems) (root node, ok bool) {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(data)), code: code, problems: problems}
	p.dec.UseNumber()
	root, ok = p.value("", 0)
	if !ok {
		return nil, false
	}
	if _, err := p.dec.Token(); err != io.EOF {
		problems.Add(code, "", "data after the end of the document, at byte %d", p.dec.InputOffset())
		return nil, false
	}
	return root, true
}

// value reads the next value. Like the methods below, it returns false after a fault that ends the parse.
func (p *parser) value(path string, depth int) (node, bool) {
	token, ok := p.token(path)
	if !ok {
		return nil, false
	}
	delim, isDelim := token.(json.Delim)
	if !isDelim {
		return token, true
	}
	if depth >= maxDepth {
		p.problems.Add(p.code, path, "nested more than %d levels deep", maxDepth)
		return nil, false
	}
	if delim == '{' {
		return p.object(path, depth+1)
	}
	return p.array(path, depth+1)
}

// object reads the members of an object up to its closing brace. The opening one has been read.
func (p *parser) object(path string, depth int) (node, bool) {
	members := []member{}
	seen := map[string]bool{}
	for p.dec.More() {
		token, ok := p.token(path)
		if !ok {
			return nil, false
		}
		name, _ := token.(string)
		at := Join(path, name)
		value, ok := p.value(at, depth)
		if !ok {
			return nil, false
		}
		if seen[name] {
			p.problems.Add(p.code, at, "field given twice")
			continue
		}
		seen[name] = true
		members = append(members, member{name: name, value: value})
	}
	_, ok := p.token(path)
	return members, ok
}

// array reads the elements of an array up to its closing bracket. The opening one has been read.
func (p *parser) array(path string, depth int) (node, bool) {
	items := []node{}
	for p.dec.More() {
		item, ok := p.value(Index(path, len(items)), depth)
		if !ok {
			return nil, false
		}
		items = append(items, item)
	}
	_, ok := p.token(path)
	return items, ok
}

// token reads the next token and reports a syntax error or the end of the data.
func (p *parser) token(path string) (json.Token, bool) {
	token, err := p.dec.Token()
	if err == io.EOF {
		p.problems.Add(p.code, path, "the document ends too early, at byte %d", p.dec.InputOffset())
		return nil, false
	}
	if err != nil {
		p.problems.Add(p.code, path, "not valid JSON at byte %d: %v", p.dec.InputOffset(), err)
		return nil, false
	}
	return token, true
}

// Join returns the path of field name below path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of element i below path.
func Index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
