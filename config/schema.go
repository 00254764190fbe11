package config

import (
	"reflect"
	"strconv"
	"strings"
)

// schemaNode is one JSON Schema. Fields are written in this order, so the schema's bytes are stable.
type schemaNode struct {
	Schema      string                `json:"$schema,omitempty"`
	Title       string                `json:"title,omitempty"`
	Description string                `json:"description,omitempty"`
	Type        string                `json:"type,omitempty"`
	Enum        []string              `json:"enum,omitempty"`
	Default     any                   `json:"default,omitempty"`
	Minimum     *int64                `json:"minimum,omitempty"`
	Maximum     *int64                `json:"maximum,omitempty"`
	Pattern     string                `json:"pattern,omitempty"`
	MinItems    int                   `json:"minItems,omitempty"`
	Items       *schemaNode           `json:"items,omitempty"`
	Required    []string              `json:"required,omitempty"`
	Properties  map[string]schemaNode `json:"properties,omitempty"`
	Additional  *bool                 `json:"additionalProperties,omitempty"`
}

// Schema returns the JSON Schema of the answers, for editors. It constrains single values; Validate also checks the
// rules that relate several answers.
func Schema() []byte {
	root := schemaOf(reflect.TypeFor[Answers](), "")
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = "Answers to the sequoiasail questionnaire"
	return indentedJSON(root)
}

// schemaOf returns the schema of the field of type t at the path pattern path.
func schemaOf(t reflect.Type, path string) schemaNode {
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem(), path)
	case reflect.Struct:
		return objectSchema(t, path)
	case reflect.Slice:
		items := schemaOf(t.Elem(), path+"[]")
		return schemaNode{Type: "array", Items: &items, MinItems: 1}
	}
	return valueSchema(t, path)
}

// objectSchema returns the schema of struct t, which allows no further properties.
func objectSchema(t reflect.Type, path string) schemaNode {
	closed := false
	node := schemaNode{Type: "object", Properties: map[string]schemaNode{}, Additional: &closed}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		at := joinPath(path, name)
		node.Properties[name] = schemaOf(t.Field(i).Type, at)
		if required(t.Field(i).Type, at) {
			node.Required = append(node.Required, name)
		}
	}
	return node
}

// required reports whether the field at pattern path has no default.
func required(t reflect.Type, path string) bool {
	q, asked := QuestionAt(path)
	if !asked {
		return t.Kind() == reflect.Slice
	}
	return q.Default == "" && q.DefaultNote == ""
}

// valueSchema returns the schema of a scalar, described by the question at path.
func valueSchema(t reflect.Type, path string) schemaNode {
	q, _ := QuestionAt(path)
	node := schemaNode{Title: q.Text, Description: describe(q), Enum: q.Options}
	switch t.Kind() {
	case reflect.Bool:
		node.Type = "boolean"
		node.Default = false
	case reflect.Float64:
		node.Type = "number"
		node.Default = defaultWeight
	case reflect.String:
		node.Type = "string"
		if q.Default != "" {
			node.Default = q.Default
		}
		if strings.HasSuffix(path, ".name") || strings.HasSuffix(path, ".region") {
			node.Pattern = namePattern.String()
		}
	default:
		node.Type = "integer"
		node.Minimum, node.Maximum = &q.Low, &q.High
		if n, err := strconv.ParseInt(q.Default, 10, 64); err == nil {
			node.Default = n
		}
	}
	return node
}

// describe returns the description of q in the schema: its reason, unit and default.
func describe(q Question) string {
	text := q.Reason
	if q.Unit != "" {
		text += " Unit: " + q.Unit + "."
	}
	if given := q.DefaultText(); given != "" {
		text += " Default: " + given + "."
	}
	return text
}

// DefaultText returns the default for display, or "" when an answer is required.
func (q Question) DefaultText() string {
	if q.DefaultNote != "" {
		return q.DefaultNote
	}
	return q.Default
}
