package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// Guards against a node that still receives requests although its endpoint is down, and
// against a healthy endpoint that is ejected for faults of its callers: disconnects, bodies
// that are too large, or keys that are still in progress.
func TestOutcomeOfRefusal(t *testing.T) {
	expected := map[refuser.Reason]picker.Outcome{
		refuser.EndpointUnreachable: picker.Failed,
		refuser.EndpointFailed:      picker.Failed,
		refuser.NodeUnreachable:     picker.Failed,
		refuser.NodeFailed:          picker.Failed,
		refuser.Timeout:             picker.Failed,
		refuser.Draining:            picker.Refused,
		refuser.QueueFull:           picker.Refused,
		refuser.DeadlineUnreachable: picker.Refused,
		refuser.Placement:           picker.Refused,
		refuser.NoFreeSlot:          picker.Refused,
		refuser.EndpointShed:        picker.Refused,
	}
	for _, row := range refuser.Table {
		outcome, ok := expected[row.Reason]
		if !ok {
			outcome = picker.Cancelled
		}
		is.New(t).Equal(pickerOutcome(&refuser.Refusal{Reason: row.Reason}), outcome)
	}
}
