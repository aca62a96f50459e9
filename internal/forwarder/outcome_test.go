package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/picker"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// Guards against a node that keeps its traffic although its endpoint is down, and
// against a healthy endpoint that is ejected because callers went away.
func TestOutcomeOfRefusal(t *testing.T) {
	expected := map[refuser.Reason]picker.Outcome{
		refuser.EndpointUnreachable: picker.Failed,
		refuser.EndpointFailed:      picker.Failed,
		refuser.NodeUnreachable:     picker.Failed,
		refuser.NodeFailed:          picker.Failed,
		refuser.Timeout:             picker.Failed,
		refuser.Cancelled:           picker.Cancelled,
	}
	for _, row := range refuser.Table {
		outcome, ok := expected[row.Reason]
		if !ok {
			outcome = picker.Refused
		}
		is.New(t).Equal(outcomeOf(&refuser.Refusal{Reason: row.Reason}), outcome)
	}
}
