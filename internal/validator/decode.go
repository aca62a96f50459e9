package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// FieldError is one validation error in a document or in settings.
type FieldError struct {
	// InputKind is "document" or "settings".
	InputKind string
	// File is the name of the input.
	File string
	// Path is the path of the field, such as routes[2].timeout. It is empty when the
	// error concerns the whole input.
	Path string
	// Reason describes the error, in most cases with the rejected value.
	Reason string
}

func (f FieldError) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s %q: %s", f.InputKind, f.File, f.Reason)
	}
	return fmt.Sprintf("%s %q: %s: %s", f.InputKind, f.File, f.Path, f.Reason)
}

// ValidationError holds all validation errors of an input: those of single fields in the order
// of the field tables, then those of rules that involve several fields.
type ValidationError struct {
	Errors []FieldError
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, f := range e.Errors {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Field describes one field of an input. The parser, the command-line help and the
// reference page use it.
type Field struct {
	Name     string
	Type     string
	Required bool
	Default  string
	Help     string
}

// field adds to a Field the function that decodes its value and stores it in a T.
type field[T any] struct {
	Field
	set func(v *value, t *T)
}

// value is one JSON value with its path. Its decoding methods record an error for an
// invalid value, and return the zero value if the JSON type is wrong.
type value struct {
	path string
	raw  any
	errs *errorList
}

// errorList collects the validation errors of one input.
type errorList struct {
	kind string
	file string
	list []FieldError
}

// errorf records a validation error at the path of v.
func (v *value) errorf(format string, args ...any) {
	v.errs.list = append(v.errs.list, FieldError{
		InputKind: v.errs.kind,
		File:      v.errs.file,
		Path:      v.path,
		Reason:    fmt.Sprintf(format, args...),
	})
}

// child returns a value for the member name of the object v. raw is nil where only the
// path is needed, for an error message.
func (v *value) child(name string, raw any) *value {
	path := name
	if v.path != "" {
		path = v.path + "." + name
	}
	return &value{
		path: path,
		raw:  raw,
		errs: v.errs,
	}
}

// formatJSON formats a decoded JSON value for an error message.
func formatJSON(raw any) string {
	b, err := json.Marshal(raw)
	if err != nil {
		return fmt.Sprint(raw)
	}
	return string(b)
}

// decodeObject decodes a JSON object according to a table of fields.
func decodeObject[T any](v *value, fields []field[T]) T {
	var t T
	members, ok := v.raw.(map[string]any)
	if !ok {
		v.errorf("%s is not an object", formatJSON(v.raw))
		return t
	}
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.Name] = true
		raw, present := members[f.Name]
		if !present {
			if f.Required {
				v.child(f.Name, nil).errorf("required field is missing")
			}
			continue
		}
		f.set(v.child(f.Name, raw), &t)
	}
	v.rejectUnknown(members, known)
	return t
}

// rejectUnknown records an error for each member of an object that is not in known.
func (v *value) rejectUnknown(members map[string]any, known map[string]bool) {
	for _, name := range sortedNames(members) {
		if !known[name] {
			v.child(name, nil).errorf("unknown field")
		}
	}
}

// decodeList decodes a JSON array and calls decode for each element.
func decodeList[T any](v *value, decode func(v *value) T) []T {
	elements, ok := v.raw.([]any)
	if !ok {
		v.errorf("%s is not a list", formatJSON(v.raw))
		return nil
	}
	result := make([]T, 0, len(elements))
	for i, raw := range elements {
		result = append(result, decode(&value{
			path: fmt.Sprintf("%s[%d]", v.path, i),
			raw:  raw,
			errs: v.errs,
		}))
	}
	return result
}

// nonEmptyString decodes a string and records an error if it is empty.
func (v *value) nonEmptyString() string {
	s, ok := v.raw.(string)
	if !ok {
		v.errorf("%s is not a string", formatJSON(v.raw))
		return ""
	}
	if s == "" {
		v.errorf("the string is empty")
	}
	return s
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// name decodes an identifier of at most 63 characters, which is valid in host names, table keys
// and URLs.
func (v *value) name() string {
	s, ok := v.raw.(string)
	if !ok {
		v.errorf("%s is not a string", formatJSON(v.raw))
		return ""
	}
	if !namePattern.MatchString(s) {
		v.errorf("%q is not a name: use 1 to 63 lower-case letters, digits, dots and hyphens, with a letter or digit first and last", s)
	}
	return s
}

func (v *value) boolean() bool {
	b, ok := v.raw.(bool)
	if !ok {
		v.errorf("%s is not true or false", formatJSON(v.raw))
	}
	return b
}

// integer decodes a whole number from minimum to maximum, both inclusive.
func (v *value) integer(minimum, maximum int64) int64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.errorf("%s is not a number", formatJSON(v.raw))
		return 0
	}
	n, err := number.Int64()
	if err != nil {
		v.errorf("%s is not a whole number", number)
		return 0
	}
	if n < minimum || n > maximum {
		v.errorf("%d is not between %d and %d", n, minimum, maximum)
		return 0
	}
	return n
}

// share decodes a fraction from minimum to 1, both inclusive.
func (v *value) share(minimum float64) float64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.errorf("%s is not a number", formatJSON(v.raw))
		return 0
	}
	f, err := number.Float64()
	if err != nil || f < minimum || f > 1 {
		v.errorf("%s is not between %g and 1", number, minimum)
		return 0
	}
	return f
}

// duration decodes a Go duration such as "250ms". It must be greater than zero and at
// most maximum.
func (v *value) duration(maximum time.Duration) time.Duration {
	s, ok := v.raw.(string)
	if !ok {
		v.errorf("%s is not a duration: write a string with a unit, such as \"250ms\"", formatJSON(v.raw))
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		v.errorf("%q is not a duration", s)
		return 0
	}
	if d <= 0 || d > maximum {
		v.errorf("%q is not greater than 0 and at most %s", s, maximum)
		return 0
	}
	return d
}

// oneOf decodes a string that must be one of the allowed ones.
func (v *value) oneOf(allowed ...string) string {
	s, ok := v.raw.(string)
	if ok {
		for _, word := range allowed {
			if s == word {
				return s
			}
		}
	}
	v.errorf("%s is not one of %s", formatJSON(v.raw), strings.Join(allowed, ", "))
	return ""
}

// addrPort decodes an IP address with a port, such as "127.0.0.1:8000".
func (v *value) addrPort() netip.AddrPort {
	s := v.nonEmptyString()
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		v.errorf("%q is not an IP address with a port", s)
	}
	return a
}

// httpURL decodes an http or https URL with a host.
func (v *value) httpURL() string {
	s := v.nonEmptyString()
	if s == "" {
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.errorf("%q is not an http or https URL", s)
	}
	return s
}

// parse decodes data according to a table of fields. It then calls validate, which sets
// defaults and checks the rules that involve several fields. The error is a *ValidationError
// with all errors found.
func parse[T any](kind, file string, data []byte, fields []field[T], validate func(v *value, t *T)) (*T, error) {
	root := &value{
		errs: &errorList{
			kind: kind,
			file: file,
		},
	}
	raw, err := decodeJSON(data)
	if err != nil {
		root.errorf("not valid JSON: %v", err)
		return nil, &ValidationError{Errors: root.errs.list}
	}
	root.raw = raw
	t := decodeObject(root, fields)
	if _, ok := raw.(map[string]any); ok {
		validate(root, &t)
	}
	if len(root.errs.list) > 0 {
		return nil, &ValidationError{Errors: root.errs.list}
	}
	return &t, nil
}

// trailingDataError reports data after the end of the JSON value.
type trailingDataError struct{ offset int64 }

func (e *trailingDataError) Error() string {
	return fmt.Sprintf("more data follows the value at byte %d", e.offset)
}

// decodeJSON decodes exactly one JSON value. Numbers become json.Number, which
// keeps large integers exact.
func decodeJSON(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var raw any
	if err := d.Decode(&raw); err != nil {
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &trailingDataError{offset: d.InputOffset()}
	}
	return raw, nil
}
