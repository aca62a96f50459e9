package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an endpoint whose slowness is not known although a probe would tell it: on
// a calm day a fifth of the requests in the first two seconds missed their target, since no
// endpoint was probed before its first answer.
func TestProbeDue(t *testing.T) {
	for _, c := range []struct {
		name      string
		knowledge Knowledge
		due       bool
	}{
		{
			name: "nothing known",
			knowledge: Knowledge{
				Asked: time.Hour,
			},
			due: true,
		},
		{
			name: "asked a moment ago",
			knowledge: Knowledge{
				Asked: 50 * time.Millisecond,
			},
		},
		{
			name: "tells nothing",
			knowledge: Knowledge{
				Asked:  time.Hour,
				Silent: true,
			},
		},
		{
			name: "fast and told by an answer",
			knowledge: Knowledge{
				Slowness: 100,
				Age:      100 * time.Millisecond,
				Asked:    time.Hour,
			},
		},
		{
			name: "fast and idle",
			knowledge: Knowledge{
				Slowness: 100,
				Age:      200 * time.Millisecond,
				Asked:    time.Hour,
			},
			due: true,
		},
		{
			name: "slow and avoided",
			knowledge: Knowledge{
				Slowness: 700,
				Age:      50 * time.Millisecond,
				Asked:    50 * time.Millisecond,
			},
			due: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ProbeDue(c.knowledge), c.due)
		})
	}
}
