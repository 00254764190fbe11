package settings

import (
	"encoding"
	"encoding/json"
	"math"
	"reflect"
	"strconv"
	"strings"

	"sequoiasail.example/types"
)

// Decode decodes the single JSON value in data into the value that into points at. It returns Problems with code
// bad-settings. Valid values are set even when others are faulty.
func Decode(data []byte, into any) error {
	return DecodeAs(types.CodeBadSettings, data, into)
}

// DecodeAs is like Decode but reports faults with the given code.
func DecodeAs(code types.Code, data []byte, into any) error {
	problems, _ := decode(code, data, into)
	return problems.Err()
}

// Defaulter sets constant defaults before the members of a struct are decoded, including structs in lists. An explicit
// zero in the document overrides the default, so that Validate can reject it.
type Defaulter interface{ SetDefaults() }

// Provisioner sets, after decoding, the defaults that depend on other values.
type Provisioner interface{ Provision() }

// Validator reports the faults of a provisioned settings struct, preferably as Problems.
type Validator interface{ Validate() error }

// Load decodes data, calls Provision and Validate if into implements them, and returns the faults of all steps together.
func Load(data []byte, into any) error {
	return LoadAs(types.CodeBadSettings, data, into)
}

// LoadAs is like Load but reports decoding faults, and errors that carry no code, with the given code.
func LoadAs(code types.Code, data []byte, into any) error {
	problems, parsed := decode(code, data, into)
	if !parsed {
		return problems.Err()
	}
	if p, ok := into.(Provisioner); ok {
		p.Provision()
	}
	if v, ok := into.(Validator); ok {
		problems.merge(AsProblems(code, v.Validate()))
	}
	return problems.Err()
}

// decode decodes data into the value that into points at. parsed is false when into is not a pointer or data is not a
// single valid JSON value.
func decode(code types.Code, data []byte, into any) (problems Problems, parsed bool) {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		problems.Add(types.CodeInternal, "", "cannot decode into %T", into)
		return problems, false
	}
	root, ok := parse(code, data, &problems)
	if !ok {
		return problems, false
	}
	d := &decoder{code: code, problems: &problems, fieldCache: map[reflect.Type]fields{}}
	d.value("", root, target.Elem())
	return problems, true
}

// decoder copies a parsed document into Go values by reflection.
type decoder struct {
	code     types.Code
	problems *Problems
	// fieldCache holds the fields of the struct types seen so far. Listing them takes longer than decoding one element.
	fieldCache map[reflect.Type]fields
}

// fields returns the JSON fields of struct type t.
func (d *decoder) fields(t reflect.Type) fields {
	f, ok := d.fieldCache[t]
	if !ok {
		f = fieldsOf(t)
		d.fieldCache[t] = f
	}
	return f
}

// fail adds a fault at path with the code of d.
func (d *decoder) fail(path, format string, args ...any) {
	d.problems.Add(d.code, path, format, args...)
}

// value sets v from n and reports values that do not match the type of v.
func (d *decoder) value(path string, n node, v reflect.Value) {
	if n == nil {
		d.fail(path, "null is not accepted; leave the field out to get its default")
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, n, v.Elem())
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(path, n, v)
	case reflect.Slice:
		d.slice(path, n, v)
	case reflect.Map:
		d.mapping(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

// text sets a value that decodes itself from a string.
func (d *decoder) text(path string, n node, u encoding.TextUnmarshaler) {
	s, ok := n.(string)
	if !ok {
		d.fail(path, "must be a string, not %s", kindName(n))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.fail(path, "%s", faultMessage(err))
	}
}

// object sets a struct: first its defaults, then the fields that n gives.
func (d *decoder) object(path string, n node, v reflect.Value) {
	members, ok := n.([]member)
	if !ok {
		d.fail(path, "must be an object, not %s", kindName(n))
		return
	}
	if s, ok := v.Addr().Interface().(Defaulter); ok {
		s.SetDefaults()
	}
	fields := d.fields(v.Type())
	for _, m := range members {
		index, known := fields.index[m.name]
		if !known {
			d.fail(Join(path, m.name), "unknown field; known here: %s", strings.Join(fields.names, ", "))
			continue
		}
		d.value(Join(path, m.name), m.value, v.FieldByIndex(index))
	}
}

// slice sets a slice from an array.
func (d *decoder) slice(path string, n node, v reflect.Value) {
	items, ok := n.([]node)
	if !ok {
		d.fail(path, "must be an array, not %s", kindName(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		d.value(Index(path, i), item, out.Index(i))
	}
	v.Set(out)
}

// mapping sets a map with string keys from an object.
func (d *decoder) mapping(path string, n node, v reflect.Value) {
	members, ok := n.([]member)
	if !ok {
		d.fail(path, "must be an object, not %s", kindName(n))
		return
	}
	if v.Type().Key().Kind() != reflect.String {
		d.problems.Add(types.CodeInternal, path, "cannot decode into %s", v.Type())
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(members))
	for _, m := range members {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(Join(path, m.name), m.value, element)
		out.SetMapIndex(reflect.ValueOf(m.name).Convert(v.Type().Key()), element)
	}
	v.Set(out)
}

// scalar sets a string, bool or number.
func (d *decoder) scalar(path string, n node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := n.(string); ok {
			v.SetString(s)
			return
		}
		d.fail(path, "must be a string, not %s", kindName(n))
	case reflect.Bool:
		if b, ok := n.(bool); ok {
			v.SetBool(b)
			return
		}
		d.fail(path, "must be true or false, not %s", kindName(n))
	default:
		d.number(path, n, v)
	}
}

// number sets an integer or float, and reports a number that does not fit into the type of v.
func (d *decoder) number(path string, n node, v reflect.Value) {
	number, ok := n.(json.Number)
	if !ok {
		d.fail(path, "must be a number, not %s", kindName(n))
		return
	}
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(number.String(), 10, v.Type().Bits())
		if err != nil {
			d.fail(path, "must be a whole number of at most %d bits, not %s", v.Type().Bits(), number)
			return
		}
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(number.String(), 10, v.Type().Bits())
		if err != nil {
			d.fail(path, "must be a whole number from 0 of at most %d bits, not %s", v.Type().Bits(), number)
			return
		}
		v.SetUint(u)
	case v.CanFloat():
		f, err := number.Float64()
		if err != nil || math.IsInf(f, 0) {
			d.fail(path, "must be a number in range, not %s", number)
			return
		}
		v.SetFloat(f)
	default:
		d.problems.Add(types.CodeInternal, path, "cannot decode into %s", v.Type())
	}
}

// kindName names the JSON type of n for a fault message.
func kindName(n node) string {
	switch n.(type) {
	case []member:
		return "an object"
	case []node:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "true or false"
	}
	return "a number"
}

// faultMessage returns the text of err. It leaves out the code of a fault, which Lines appends.
func faultMessage(err error) string {
	if f, ok := err.(*types.Fault); ok {
		return f.Message
	}
	return err.Error()
}
