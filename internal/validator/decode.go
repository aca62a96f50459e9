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

// Fault is one error in a document or in settings.
type Fault struct {
	// Kind is "document" or "settings".
	Kind string
	// File is the name of the input.
	File string
	// Path is the field, such as routes[2].timeout; empty for the whole input.
	Path string
	// Reason says what is wrong, with the value.
	Reason string
}

func (f Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s %q: %s", f.Kind, f.File, f.Reason)
	}
	return fmt.Sprintf("%s %q: %s: %s", f.Kind, f.File, f.Path, f.Reason)
}

// FaultsError holds every fault of an input, in the order of the field tables.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Field describes one field of an input for the parser, the help and the docs.
type Field struct {
	Name     string
	Type     string
	Required bool
	Default  string
	Help     string
}

// field binds a Field to the place in T that it sets.
type field[T any] struct {
	Field
	set func(v *value, t *T)
}

// value is one JSON value with its path. Its readers record a fault and return the
// zero value when the JSON value has another type.
type value struct {
	path   string
	raw    any
	faults *faults
}

type faults struct {
	kind string
	file string
	list []Fault
}

func (v *value) fault(format string, args ...any) {
	v.faults.list = append(v.faults.list, Fault{
		Kind:   v.faults.kind,
		File:   v.faults.file,
		Path:   v.path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// child returns the value of a member of an object.
func (v *value) child(name string, raw any) *value {
	path := name
	if v.path != "" {
		path = v.path + "." + name
	}
	return &value{
		path:   path,
		raw:    raw,
		faults: v.faults,
	}
}

// show renders a JSON value for an error message.
func show(raw any) string {
	b, err := json.Marshal(raw)
	if err != nil {
		return fmt.Sprint(raw)
	}
	return string(b)
}

// object decodes a JSON object by a field table.
func object[T any](v *value, fields []field[T]) T {
	var t T
	members, ok := v.raw.(map[string]any)
	if !ok {
		v.fault("%s is not an object", show(v.raw))
		return t
	}
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.Name] = true
		raw, present := members[f.Name]
		if !present {
			if f.Required {
				v.child(f.Name, nil).fault("required field is missing")
			}
			continue
		}
		f.set(v.child(f.Name, raw), &t)
	}
	v.unknown(members, known)
	return t
}

func (v *value) unknown(members map[string]any, known map[string]bool) {
	for _, name := range sortedNames(members) {
		if !known[name] {
			v.child(name, nil).fault("unknown field")
		}
	}
}

// list decodes a JSON array with a reader for its elements.
func list[T any](v *value, read func(v *value) T) []T {
	elements, ok := v.raw.([]any)
	if !ok {
		v.fault("%s is not a list", show(v.raw))
		return nil
	}
	result := make([]T, 0, len(elements))
	for i, raw := range elements {
		result = append(result, read(&value{
			path:   fmt.Sprintf("%s[%d]", v.path, i),
			raw:    raw,
			faults: v.faults,
		}))
	}
	return result
}

func (v *value) text() string {
	s, ok := v.raw.(string)
	if !ok {
		v.fault("%s is not a string", show(v.raw))
		return ""
	}
	if s == "" {
		v.fault("the string is empty")
	}
	return s
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// name reads an identifier as it may stand in host names, keys and URLs.
func (v *value) name() string {
	s, ok := v.raw.(string)
	if !ok {
		v.fault("%s is not a string", show(v.raw))
		return ""
	}
	if !namePattern.MatchString(s) {
		v.fault("%q is not a name: use 1 to 63 lower-case letters, digits, dots and hyphens", s)
	}
	return s
}

func (v *value) boolean() bool {
	b, ok := v.raw.(bool)
	if !ok {
		v.fault("%s is not true or false", show(v.raw))
	}
	return b
}

// integer reads a whole number between least and most.
func (v *value) integer(least, most int64) int64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.fault("%s is not a number", show(v.raw))
		return 0
	}
	n, err := number.Int64()
	if err != nil {
		v.fault("%s is not a whole number", number)
		return 0
	}
	if n < least || n > most {
		v.fault("%d is not between %d and %d", n, least, most)
		return 0
	}
	return n
}

// share reads a fraction greater than least and at most one.
func (v *value) share(least float64) float64 {
	number, ok := v.raw.(json.Number)
	if !ok {
		v.fault("%s is not a number", show(v.raw))
		return 0
	}
	f, err := number.Float64()
	if err != nil || f < least || f > 1 {
		v.fault("%s is not between %g and 1", number, least)
		return 0
	}
	return f
}

// duration reads a Go duration such as "250ms"; it must be greater than zero.
func (v *value) duration(most time.Duration) time.Duration {
	s, ok := v.raw.(string)
	if !ok {
		v.fault("%s is not a duration: write a string with a unit, such as \"250ms\"", show(v.raw))
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		v.fault("%q is not a duration", s)
		return 0
	}
	if d <= 0 || d > most {
		v.fault("%q is not greater than 0 and at most %s", s, most)
		return 0
	}
	return d
}

// oneOf reads one of a few words.
func (v *value) oneOf(words ...string) string {
	s, ok := v.raw.(string)
	if ok {
		for _, word := range words {
			if s == word {
				return s
			}
		}
	}
	v.fault("%s is not one of %s", show(v.raw), strings.Join(words, ", "))
	return ""
}

func (v *value) addrPort() netip.AddrPort {
	s := v.text()
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		v.fault("%q is not an IP address with a port", s)
	}
	return a
}

func (v *value) httpURL() string {
	s := v.text()
	if s == "" {
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		v.fault("%q is not an http or https URL", s)
	}
	return s
}

// parse decodes data by a field table and then runs check for the rules that
// concern several fields. It returns a *FaultsError with every fault.
func parse[T any](kind, file string, data []byte, fields []field[T], check func(v *value, t *T)) (*T, error) {
	root := &value{
		faults: &faults{
			kind: kind,
			file: file,
		},
	}
	raw, err := decodeJSON(data)
	if err != nil {
		root.fault("not valid JSON: %v", err)
		return nil, &FaultsError{Faults: root.faults.list}
	}
	root.raw = raw
	t := object(root, fields)
	if _, ok := raw.(map[string]any); ok {
		check(root, &t)
	}
	if len(root.faults.list) > 0 {
		return nil, &FaultsError{Faults: root.faults.list}
	}
	return &t, nil
}

// trailingDataError reports bytes after the JSON value.
type trailingDataError struct{ offset int64 }

func (e *trailingDataError) Error() string {
	return fmt.Sprintf("more data follows the value at byte %d", e.offset)
}

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
