package settings

import (
	"reflect"
	"strings"
)

// fields describes the JSON fields of a struct type, in order of declaration.
type fields struct {
	names []string
	index map[string][]int
}

// fieldsOf returns the fields that encoding/json writes for t. Unlike in encoding/json, names are case-sensitive.
func fieldsOf(t reflect.Type) fields {
	f := fields{index: map[string][]int{}}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		embedded := field.Anonymous && name == ""
		if !field.IsExported() || embedded || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		f.names = append(f.names, name)
		f.index[name] = field.Index
	}
	return f
}
