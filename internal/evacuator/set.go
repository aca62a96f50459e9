// Package evacuator keeps the set of evacuated availability zones. The operator writes a row to the
// store for each of them; the nodes that follow the store pass the set on to the others.
package evacuator

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxZones and maxEncodedBytes bound a set that another node states. A deployment has a few zones.
	maxZones        = 64
	maxEncodedBytes = 8 << 10
	// revisionBits is the number of bits of a revision that hold a position of the store.
	revisionBits = 48
)

// Set is the set of evacuated zones as of a position of the store's change history.
type Set struct {
	// Era is the era of the store. It rises each time that the store is restored from an older copy,
	// which assigns positions again.
	Era uint64
	// AsOf is the position up to which all changes are contained.
	AsOf uint64
	// Changed is the position of the last known change, at most AsOf. It is zero if there was none.
	Changed uint64
	// Zones are the evacuated zones, sorted.
	Zones []string
}

// Has reports whether a zone is evacuated.
func (s Set) Has(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// Revision returns a number that is the same for all nodes that know the last change, and is higher
// than that of all nodes that don't. It is zero for a store without any change in its first era.
func (s Set) Revision() uint64 { return s.Era<<revisionBits | s.Changed&(1<<revisionBits-1) }

// newer reports whether s is as of a later position than t.
func (s Set) newer(t Set) bool {
	if s.Era != t.Era {
		return s.Era > t.Era
	}
	return s.AsOf > t.AsOf
}

// Encode returns s as a header value.
func (s Set) Encode() string {
	escaped := make([]string, 0, len(s.Zones))
	for _, zone := range s.Zones {
		escaped = append(escaped, url.QueryEscape(zone))
	}
	return fmt.Sprintf("era=%d;as-of=%d;changed=%d;zones=%s", s.Era, s.AsOf, s.Changed, strings.Join(escaped, ","))
}

// SetError reports an encoded set with an invalid field.
type SetError struct {
	Field string
	Value string
}

func (e *SetError) Error() string {
	return fmt.Sprintf("evacuated zones: field %q has the invalid value %q", e.Field, e.Value)
}

// ParseSet decodes a set that Encode has encoded. Unknown fields are skipped. The error is a *SetError.
func ParseSet(encoded string) (Set, error) {
	var s Set
	if len(encoded) > maxEncodedBytes {
		return s, &SetError{Field: "length"}
	}
	for _, field := range strings.Split(encoded, ";") {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "era":
			s.Era, err = strconv.ParseUint(value, 10, 64-revisionBits)
		case "as-of":
			s.AsOf, err = strconv.ParseUint(value, 10, revisionBits)
		case "changed":
			s.Changed, err = strconv.ParseUint(value, 10, revisionBits)
		case "zones":
			s.Zones, err = parseZones(value)
		}
		if err != nil {
			return Set{}, &SetError{
				Field: name,
				Value: value,
			}
		}
	}
	if s.Changed > s.AsOf {
		return Set{}, &SetError{
			Field: "changed",
			Value: strconv.FormatUint(s.Changed, 10),
		}
	}
	return s, nil
}

func parseZones(value string) ([]string, error) {
	if value == "" {
		return nil, nil
	}
	var zones []string
	for _, escaped := range strings.Split(value, ",") {
		zone, err := url.QueryUnescape(escaped)
		if err != nil || zone == "" || len(zones) == maxZones {
			return nil, &SetError{
				Field: "zones",
				Value: escaped,
			}
		}
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones), nil
}
