package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// leaf is one scalar value of a configuration, as JSON, with its path.
type leaf struct{ path, value string }

// flatten returns all values of c in canonical order. Elements of lists are addressed by name or class, so that paths
// stay the same when a list grows.
func flatten(c Configuration) []leaf {
	var out []leaf
	appendValues(reflect.ValueOf(normalize(c)), "", &out)
	return out
}

// appendValues appends the leaves of v, which is at path, to out.
func appendValues(v reflect.Value, path string, out *[]leaf) {
	switch v.Kind() {
	case reflect.Struct:
		appendFields(v, path, out)
	case reflect.Slice:
		for i := range v.Len() {
			appendValues(v.Index(i), joinPath(path, elementName(v.Index(i), i)), out)
		}
	default:
		data, err := json.Marshal(v.Interface())
		if err != nil {
			data = []byte(strconv.Quote(err.Error()))
		}
		*out = append(*out, leaf{path: path, value: string(data)})
	}
}

// appendFields appends the leaves of struct v, named by their JSON tags, to out. As in encoding/json, empty fields with
// omitempty are left out.
func appendFields(v reflect.Value, path string, out *[]leaf) {
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if options == "omitempty" && v.Field(i).IsZero() {
			continue
		}
		appendValues(v.Field(i), joinPath(path, name), out)
	}
}

// elementName returns the Name or Class of a list's element, or its index i when it has neither.
func elementName(v reflect.Value, i int) string {
	for _, field := range []string{"Name", "Class"} {
		if f := v.FieldByName(field); f.IsValid() {
			return f.String()
		}
	}
	return strconv.Itoa(i)
}

// joinPath appends name to a dotted path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
