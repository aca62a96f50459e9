// Package reporter defines the load report that a node attaches to every answer
// and refusal, and its encoding as a header value.
package reporter

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the HTTP header that carries an encoded Load.
const Header = "Gentianlever-Load"

// Load is the state of one endpoint as its node counts it. The node sees every
// request to its endpoint, so the counts are exact when the report is made.
type Load struct {
	// InFlight is the number of requests that hold a slot.
	InFlight int
	// QueuedShort is the number of short requests that wait for a slot.
	QueuedShort int
	// QueuedLong is the number of long requests that wait for a slot.
	QueuedLong int
	// Slots is the number of requests the endpoint runs at once.
	Slots int
	// LongInFlight is the number of long requests among those in flight. It is known
	// only where LongSlots is above zero.
	LongInFlight int
	// LongSlots is the number of slots that long requests may hold. Zero means that it
	// is not known, as in the report of an older version.
	LongSlots int
	// ServiceTime is the estimated time for which a short request holds a slot.
	ServiceTime time.Duration
	// Incarnation identifies the run of the node; it rises with each start.
	Incarnation uint64
	// Draining reports that the endpoint takes no new work.
	Draining bool
	// Slowness is the time that work takes at the endpoint now, in percent of the usual;
	// zero where the endpoint does not tell it.
	Slowness int
}

// PerSlot returns the requests in flight and queued, divided by the slots.
func (l Load) PerSlot() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.InFlight+l.QueuedShort+l.QueuedLong) / float64(l.Slots)
}

// Encode returns the header value of l. The service time is in microseconds.
func (l Load) Encode() string {
	b := make([]byte, 0, 160)
	b = append(b, "in-flight="...)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, ";queued-short="...)
	b = strconv.AppendInt(b, int64(l.QueuedShort), 10)
	b = append(b, ";queued-long="...)
	b = strconv.AppendInt(b, int64(l.QueuedLong), 10)
	b = append(b, ";slots="...)
	b = strconv.AppendInt(b, int64(l.Slots), 10)
	if l.LongSlots > 0 {
		b = append(b, ";long-in-flight="...)
		b = strconv.AppendInt(b, int64(l.LongInFlight), 10)
		b = append(b, ";long-slots="...)
		b = strconv.AppendInt(b, int64(l.LongSlots), 10)
	}
	b = append(b, ";service-us="...)
	b = strconv.AppendInt(b, l.ServiceTime.Microseconds(), 10)
	b = append(b, ";incarnation="...)
	b = strconv.AppendUint(b, l.Incarnation, 10)
	if l.Slowness > 0 {
		b = append(b, ";slowness="...)
		b = strconv.AppendInt(b, int64(l.Slowness), 10)
	}
	if l.Draining {
		b = append(b, ";draining"...)
	}
	return string(b)
}

// FieldError reports a field of a load header that can't be read.
type FieldError struct {
	Field string
	Value string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("load header: field %q has the unreadable value %q", e.Field, e.Value)
}

// Parse reads a header value made by Encode. Unknown fields are skipped and missing
// ones are zero, so that nodes of two versions can work together. It returns a *FieldError.
func Parse(s string) (Load, error) {
	var l Load
	for len(s) > 0 {
		var field string
		field, s, _ = strings.Cut(s, ";")
		name, value, _ := strings.Cut(field, "=")
		if err := l.set(name, value); err != nil {
			return Load{}, err
		}
	}
	if l.LongSlots == 0 {
		l.LongInFlight = 0
	}
	return l, nil
}

func (l *Load) set(name, value string) error {
	if name == "draining" {
		l.Draining = true
		return nil
	}
	switch name {
	case "in-flight", "queued-short", "queued-long", "slots", "long-in-flight", "long-slots", "service-us", "incarnation", "slowness":
	default:
		return nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil || (name != "incarnation" && n > maxField) {
		return &FieldError{
			Field: name,
			Value: value,
		}
	}
	switch name {
	case "in-flight":
		l.InFlight = int(n)
	case "queued-short":
		l.QueuedShort = int(n)
	case "queued-long":
		l.QueuedLong = int(n)
	case "slots":
		l.Slots = int(n)
	case "long-in-flight":
		l.LongInFlight = int(n)
	case "long-slots":
		l.LongSlots = int(n)
	case "slowness":
		l.Slowness = int(n)
	case "service-us":
		l.ServiceTime = time.Duration(n) * time.Microsecond
	case "incarnation":
		l.Incarnation = n
	}
	return nil
}

// maxField bounds every field but the incarnation; it holds 18 minutes in
// microseconds and any count, and keeps sums of fields far from overflow.
const maxField = 1 << 30
