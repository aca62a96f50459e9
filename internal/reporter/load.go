// Package reporter defines the load report that a node attaches to its responses and
// refusals to other nodes, and its encoding as a header value.
package reporter

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the HTTP header that carries an encoded Load.
const Header = "Gentianlever-Load"

// Load is the load of one endpoint as counted by its node. The counts are exact at the
// time of the report for the requests that pass through the node; those of other clients
// of the endpoint are not included.
type Load struct {
	// InFlight is the number of requests that occupy a slot.
	InFlight int
	// QueuedShort is the number of short requests that wait for a slot.
	QueuedShort int
	// QueuedLong is the number of long requests that wait for a slot.
	QueuedLong int
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// LongInFlight is the number of long requests among those in flight. It is known only
	// if LongSlots is greater than zero.
	LongInFlight int
	// LongSlots is the number of slots that long requests may occupy. Zero means unknown,
	// as in reports of older versions.
	LongSlots int
	// ServiceTime is the estimated time for which a short request occupies a slot.
	ServiceTime time.Duration
	// Incarnation identifies the run of the node; it increases with each start.
	Incarnation uint64
	// Draining reports that the endpoint accepts no new requests.
	Draining bool
	// DrainingSince is the incarnation of the member record that announced the draining. It
	// is zero if the draining lasts until the node restarts, and in reports of older
	// versions.
	DrainingSince uint64
	// Slowness is the current duration of requests at the endpoint in percent of the
	// normal one; zero if the endpoint doesn't report it.
	Slowness int
	// ColdRate is the number of requests a second, rounded up, that a cold endpoint accepts; zero if
	// the endpoint is not cold or has no such limit. ColdAccepted is the number that it got in the last
	// second, and ColdWait the time until it accepts another one after those in the queue.
	ColdRate     int
	ColdAccepted int
	ColdWait     time.Duration
	// Evacuated is set if nothing is sent to the endpoint because its availability zone is evacuated.
	// Evacuations is the revision of the set of evacuated zones that the node knows.
	Evacuated   bool
	Evacuations uint64
}

// PerSlot returns the number of requests in flight and queued, divided by the number of
// slots. It is zero if the number of slots is unknown.
func (l Load) PerSlot() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.InFlight+l.QueuedShort+l.QueuedLong) / float64(l.Slots)
}

// Encode returns the header value of l. The service time is encoded in microseconds.
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
	if l.ColdRate > 0 {
		b = append(b, ";cold-rate="...)
		b = strconv.AppendInt(b, int64(l.ColdRate), 10)
		b = append(b, ";cold-accepted="...)
		b = strconv.AppendInt(b, int64(l.ColdAccepted), 10)
		b = append(b, ";cold-wait-us="...)
		b = strconv.AppendInt(b, l.ColdWait.Microseconds(), 10)
	}
	if l.Evacuated {
		b = append(b, ";evacuated"...)
	}
	if l.Evacuations > 0 {
		b = append(b, ";evacuations="...)
		b = strconv.AppendUint(b, l.Evacuations, 10)
	}
	if l.Draining {
		b = append(b, ";draining"...)
		if l.DrainingSince > 0 {
			b = append(b, ";draining-since="...)
			b = strconv.AppendUint(b, l.DrainingSince, 10)
		}
	}
	return string(b)
}

// FieldError reports a field of a load header with an invalid value.
type FieldError struct {
	Field string
	Value string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("load header: field %q has the invalid value %q", e.Field, e.Value)
}

// Parse decodes a header value made by Encode. Unknown fields are skipped and missing
// ones are zero, so that nodes of different versions can work together. The error is a
// *FieldError.
func Parse(s string) (Load, error) {
	var l Load
	for len(s) > 0 {
		var field string
		field, s, _ = strings.Cut(s, ";")
		name, value, _ := strings.Cut(field, "=")
		if err := l.setField(name, value); err != nil {
			return Load{}, err
		}
	}
	if l.LongSlots == 0 {
		l.LongInFlight = 0
	}
	if !l.Draining {
		l.DrainingSince = 0
	}
	if l.ColdRate == 0 {
		l.ColdAccepted, l.ColdWait = 0, 0
	}
	return l, nil
}

func (l *Load) setField(name, value string) error {
	switch name {
	case "draining":
		l.Draining = true
		return nil
	case "evacuated":
		l.Evacuated = true
		return nil
	}
	switch name {
	case "in-flight", "queued-short", "queued-long", "slots", "long-in-flight", "long-slots", "service-us", "incarnation", "draining-since", "slowness",
		"cold-rate", "cold-accepted", "cold-wait-us", "evacuations":
	default:
		return nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	isUnbounded := name == "incarnation" || name == "draining-since" || name == "evacuations"
	if err != nil || (!isUnbounded && n > maxFieldValue) {
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
	case "cold-rate":
		l.ColdRate = int(n)
	case "cold-accepted":
		l.ColdAccepted = int(n)
	case "cold-wait-us":
		l.ColdWait = time.Duration(n) * time.Microsecond
	case "service-us":
		l.ServiceTime = time.Duration(n) * time.Microsecond
	case "evacuations":
		l.Evacuations = n
	case "incarnation":
		l.Incarnation = n
	case "draining-since":
		l.DrainingSince = n
	}
	return nil
}

// maxFieldValue bounds every field except the incarnations and the revision. It allows 18 minutes in
// microseconds and any realistic count, and sums of a few fields can't overflow.
const maxFieldValue = 1 << 30
