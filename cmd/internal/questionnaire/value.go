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

// maxElements bounds the length of a list. A larger number is taken for a typing error.
const maxElements = 10000

// Set parses text and assigns it to the field at path, for example services[0].cutOff. An index equal to the length of
// a list appends an element. Set returns a bad-request fault with the path.
func Set(a *config.Answers, path, text string) error {
	v, err := locate(reflect.ValueOf(a).Elem(), path)
	if err != nil {
		return withPath(path, err)
	}
	q, asked := config.QuestionAt(withoutIndices(path))
	if !asked {
		return withPath(path, badRequest("is not a single value"))
	}
	return withPath(path, assign(v, q, text))
}

// withoutIndices returns path without the numbers between its brackets, which is the form of Question.Path.
func withoutIndices(path string) string {
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

// locate returns the field of v at path. It appends an element to a list where the index equals the length.
func locate(v reflect.Value, path string) (reflect.Value, error) {
	for _, part := range strings.Split(path, ".") {
		name, index, indexed := strings.Cut(part, "[")
		field, found := fieldNamed(v, name)
		if !found {
			return v, badRequest("no field %q; known here: %s", name, strings.Join(fieldNames(v), ", "))
		}
		v = field
		if !indexed {
			continue
		}
		element, err := elementAt(v, strings.TrimSuffix(index, "]"))
		if err != nil {
			return v, err
		}
		v = element
	}
	return v, nil
}

// elementAt returns the element of list v at index, and appends one if the index equals the length.
func elementAt(v reflect.Value, index string) (reflect.Value, error) {
	i, err := strconv.ParseUint(index, 10, 31)
	if err != nil || v.Kind() != reflect.Slice {
		return v, badRequest("%q is not the index of an element", index)
	}
	if int(i) > v.Len() {
		return v, badRequest("there are %d elements; the next one has index %d", v.Len(), v.Len())
	}
	if int(i) == v.Len() {
		resize(v, int(i)+1)
	}
	return v.Index(int(i)), nil
}

// resize changes the length of list v. New elements have their defaults.
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

// fieldNamed returns the field of struct v with the given JSON name.
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

// fieldNames returns the JSON names of the fields of v.
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

// jsonName returns the name of a field in JSON.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// assign parses text and assigns it to v. It returns a bad-request fault if the value does not fit the question.
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
			return badRequest("%q is not a number", text)
		}
		v.SetFloat(f)
		return nil
	}
	return assignInteger(v, q, text)
}

// assignText assigns a text, which must be one of the options if the question has any.
func assignText(v reflect.Value, q config.Question, text string) error {
	if text == "" {
		return badRequest("an answer is required")
	}
	if len(q.Options) > 0 && !slices.Contains(q.Options, text) {
		return badRequest("%q is not one of %s", text, strings.Join(q.Options, ", "))
	}
	v.SetString(text)
	return nil
}

// assignBool assigns yes or no.
func assignBool(v reflect.Value, text string) error {
	switch strings.ToLower(text) {
	case "true", "yes", "y":
		v.SetBool(true)
	case "false", "no", "n":
		v.SetBool(false)
	default:
		return badRequest("%q is neither yes nor no", text)
	}
	return nil
}

// assignInteger assigns a whole number within the bounds of the question. The unit may follow it.
func assignInteger(v reflect.Value, q config.Question, text string) error {
	text = strings.TrimSuffix(text, q.Unit)
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return badRequest("%q is not a whole number", text)
	}
	if n < q.Low || n > q.High {
		return badRequest("must be from %d to %d%s, not %d", q.Low, q.High, unitSuffix(q), n)
	}
	if v.CanUint() {
		v.SetUint(uint64(n))
		return nil
	}
	v.SetInt(n)
	return nil
}

// unitSuffix returns the unit of a question after a space, or "".
func unitSuffix(q config.Question) string {
	if q.Unit == "" {
		return ""
	}
	return " " + q.Unit
}

// formatValue returns the value of v as it would be typed, or "" for a nil pointer.
func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return ""
		}
		return formatValue(v.Elem())
	}
	return fmt.Sprint(v.Interface())
}

// badRequest returns a bad-request fault without a path.
func badRequest(format string, args ...any) error {
	return types.NewFault(types.CodeBadRequest, format, args...)
}

// withPath sets the path of a fault. Other errors are returned unchanged.
func withPath(path string, err error) error {
	if f, ok := err.(*types.Fault); ok {
		f.Path = path
		return f
	}
	return err
}
