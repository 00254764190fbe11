package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// leaf is one value of a configuration with its path.
type leaf struct{ path, value string }

// flatten returns all values of c in canonical order. Elements of lists are addressed by name or class, so that paths
// stay the same when a list grows.
func flatten(c Configuration) []leaf {
	var out []leaf
	walk(reflect.ValueOf(normalize(c)), "", &out)
	return out
}

func walk(v reflect.Value, path string, out *[]leaf) {
	switch v.Kind() {
	case reflect.Struct:
		walkFields(v, path, out)
	case reflect.Slice:
		for i := range v.Len() {
			walk(v.Index(i), join(path, elementName(v.Index(i), i)), out)
		}
	default:
		data, err := json.Marshal(v.Interface())
		if err != nil {
			data = []byte(strconv.Quote(err.Error()))
		}
		*out = append(*out, leaf{path: path, value: string(data)})
	}
}

func walkFields(v reflect.Value, path string, out *[]leaf) {
	for i := range v.NumField() {
		name, options, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if options == "omitempty" && v.Field(i).IsZero() {
			continue
		}
		walk(v.Field(i), join(path, name), out)
	}
}

// elementName returns the Name or Class of a list's element.
func elementName(v reflect.Value, i int) string {
	for _, field := range []string{"Name", "Class"} {
		if f := v.FieldByName(field); f.IsValid() {
			return f.String()
		}
	}
	return strconv.Itoa(i)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
