package questionnaire

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// maxElements bounds a list: more is taken for a typing mistake.
const maxElements = 10000

// Set sets the field at path, for example services[0].cutOff, to the value that text stands for. The first element
// behind the end of a list is added. It returns a bad-request fault with the path.
func Set(a *config.Answers, path, text string) error {
	v, err := locate(reflect.ValueOf(a).Elem(), path)
	if err != nil {
		return at(path, err)
	}
	q, asked := config.QuestionAt(pattern(path))
	if !asked {
		return at(path, refused("is not a single value"))
	}
	return at(path, assign(v, q, text))
}

// pattern returns path with all indices removed, as in Question.Path.
func pattern(path string) string {
	var out strings.Builder
	inside := false
	for _, r := range path {
		inside = inside && r != ']'
		if !inside {
			out.WriteRune(r)
		}
		inside = inside || r == '['
	}
	return out.String()
}

// locate returns the field of v at path and adds at most one element to each list on the way.
func locate(v reflect.Value, path string) (reflect.Value, error) {
	for _, part := range strings.Split(path, ".") {
		name, rest, indexed := strings.Cut(part, "[")
		field, found := fieldNamed(v, name)
		if !found {
			return v, refused("no field %q; known here: %s", name, strings.Join(fieldNames(v), ", "))
		}
		v = field
		if !indexed {
			continue
		}
		element, err := elementAt(v, strings.TrimSuffix(rest, "]"))
		if err != nil {
			return v, err
		}
		v = element
	}
	return v, nil
}

func elementAt(v reflect.Value, index string) (reflect.Value, error) {
	i, err := strconv.ParseUint(index, 10, 31)
	if err != nil || v.Kind() != reflect.Slice {
		return v, refused("%q is not the index of an element", index)
	}
	if int(i) > v.Len() {
		return v, refused("there are %d elements; the next one has index %d", v.Len(), v.Len())
	}
	if int(i) == v.Len() {
		resize(v, int(i)+1)
	}
	return v.Index(int(i)), nil
}

// resize changes the length of a list. New elements have their defaults.
func resize(v reflect.Value, n int) {
	out := reflect.MakeSlice(v.Type(), n, n)
	reflect.Copy(out, v)
	for i := v.Len(); i < n; i++ {
		if d, ok := out.Index(i).Addr().Interface().(settings.Defaulter); ok {
			d.SetDefaults()
		}
	}
	v.Set(out)
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	if v.Kind() != reflect.Struct {
		return v, false
	}
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return v, false
}

func fieldNames(v reflect.Value) []string {
	if v.Kind() != reflect.Struct {
		return []string{"none"}
	}
	var names []string
	for i := range v.NumField() {
		names = append(names, jsonName(v.Type().Field(i)))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// assign sets v to what text stands for.
func assign(v reflect.Value, q config.Question, text string) error {
	text = strings.TrimSpace(text)
	if v.Kind() == reflect.Pointer {
		element := reflect.New(v.Type().Elem())
		if err := assign(element.Elem(), q, text); err != nil {
			return err
		}
		v.Set(element)
		return nil
	}
	switch {
	case v.Kind() == reflect.String:
		return assignText(v, q, text)
	case v.Kind() == reflect.Bool:
		return assignBool(v, text)
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return refused("%q is not a number", text)
		}
		v.SetFloat(f)
		return nil
	}
	return assignWhole(v, q, text)
}

func assignText(v reflect.Value, q config.Question, text string) error {
	if text == "" {
		return refused("an answer is required")
	}
	if len(q.Options) > 0 && !slices.Contains(q.Options, text) {
		return refused("%q is not one of %s", text, strings.Join(q.Options, ", "))
	}
	v.SetString(text)
	return nil
}

func assignBool(v reflect.Value, text string) error {
	switch strings.ToLower(text) {
	case "true", "yes", "y":
		v.SetBool(true)
	case "false", "no", "n":
		v.SetBool(false)
	default:
		return refused("%q is neither yes nor no", text)
	}
	return nil
}

func assignWhole(v reflect.Value, q config.Question, text string) error {
	text = strings.TrimSuffix(text, q.Unit)
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return refused("%q is not a whole number", text)
	}
	if n < q.Low || n > q.High {
		return refused("must be from %d to %d%s, not %d", q.Low, q.High, unitOf(q), n)
	}
	if v.CanUint() {
		v.SetUint(uint64(n))
		return nil
	}
	v.SetInt(n)
	return nil
}

func unitOf(q config.Question) string {
	if q.Unit == "" {
		return ""
	}
	return " " + q.Unit
}

// show returns the value of v as it would be typed, or "" for a value that was never set.
func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return ""
		}
		return show(v.Elem())
	}
	return fmt.Sprint(v.Interface())
}

func refused(format string, args ...any) error {
	return types.NewFault(types.CodeBadRequest, format, args...)
}

// at adds path to a fault.
func at(path string, err error) error {
	if f, ok := err.(*types.Fault); ok {
		f.Path = path
		return f
	}
	return err
}
