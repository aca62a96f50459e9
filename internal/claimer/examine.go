package claimer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/storer"
)

// maxPollFactor bounds the growth of the pause between two questions.
const maxPollFactor = 25

// verdict is what an existing row means for a new request with its key. If only
// replace is set, the row of that version may be replaced.
type verdict struct {
	taken   bool
	replace uint64
	answer  *Answer
	err     error
}

func unknown(detail string) verdict {
	return verdict{err: refuse(refuser.OutcomeUnknown, detail)}
}

// examine judges an existing row. Row.Expires plays no part: an expired row that
// the table has not yet deleted still counts.
func (c *Claimer) examine(ctx context.Context, cl *Claim, row storer.Row) verdict {
	for {
		rec, err := decode(row)
		switch {
		case err != nil:
			return unknown(err.Error())
		case row.Version == cl.nonce:
			return verdict{taken: true}
		case rec.State == recordWithdrawn:
			return verdict{replace: row.Version}
		case !bytes.Equal(rec.Digest, cl.request.Digest[:]):
			return verdict{err: refuse(refuser.KeyConflict, "")}
		case rec.State == recordFinished:
			return c.replay(ctx, rec)
		case rec.State == recordLost:
			return unknown("the outcome was lost")
		}
		v, settled := c.askUntilSettled(ctx, cl, row, rec)
		if settled {
			return v
		}
		// The claimant does not run the request. It may have recorded the outcome
		// since the row was read.
		again, exists, err := c.Table.Get(ctx, cl.key)
		switch {
		case err != nil:
			return verdict{err: notRun(ctx, err.Error())}
		case !exists || again.Version == row.Version:
			return unknown("the claimant " + rec.Claimant + " does not know the outcome")
		}
		row = again
	}
}

// askUntilSettled asks the claimant until it no longer runs the request. It returns
// false if the claimant does not know the claim or cannot be reached.
func (c *Claimer) askUntilSettled(ctx context.Context, cl *Claim, row storer.Row, rec record) (verdict, bool) {
	pause := orDefault(c.PollInterval, DefaultPollInterval)
	longest := maxPollFactor * pause
	for {
		status, answer, err := c.ask(ctx, cl, rec)
		switch {
		case ctx.Err() != nil:
			return verdict{err: refuse(refuser.KeyInProgress, "")}, true
		case err != nil && c.disabled(PermanentClaim):
			return verdict{replace: row.Version}, true
		case err != nil || status.Incarnation != rec.Incarnation:
			return verdict{}, false
		case slices.Contains(status.Withdrawn, row.Version):
			return verdict{replace: row.Version}, true
		case status.Nonce != row.Version:
			return verdict{}, false
		case status.State == Finished && answer != nil:
			return verdict{answer: answer}, true
		case status.State != Running:
			return verdict{}, false
		}
		if !sleep(ctx, c.jitter(pause)) {
			return verdict{err: refuse(refuser.KeyInProgress, "")}, true
		}
		pause = min(2*pause, longest)
	}
}

func (c *Claimer) ask(ctx context.Context, cl *Claim, rec record) (Status, *Answer, error) {
	if rec.Claimant == c.Node {
		status, answer := c.Status(cl.request.Service, cl.request.Key)
		return status, answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.AskTimeout, DefaultAskTimeout))
	defer cancel()
	return c.Ask(ctx, rec.Claimant, cl.request.Service, cl.request.Key)
}

// replay returns the recorded answer.
func (c *Claimer) replay(ctx context.Context, rec record) verdict {
	if rec.Answer != nil {
		return verdict{answer: rec.Answer}
	}
	body, err := c.Objects.Get(ctx, rec.Object)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return unknown(err.Error())
	}
	if err != nil {
		return verdict{err: notRun(ctx, err.Error())}
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return unknown("decode answer: " + err.Error())
	}
	return verdict{answer: &a}
}
