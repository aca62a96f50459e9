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

// maxPollFactor is the maximum pause between two status queries, as a multiple of
// PollInterval.
const maxPollFactor = 25

// resolution is what an existing row means for a new request with the same key:
// the request already owns the row, gets its response, or is refused. If only
// replace is set, the request may replace the row of that version.
type resolution struct {
	acquired bool
	replace  uint64
	response *RecordedResponse
	err      error
}

// outcomeUnknown refuses the request because the earlier one may have run.
func outcomeUnknown(detail string) resolution {
	return resolution{err: refuse(refuser.OutcomeUnknown, detail)}
}

// resolveRow determines what an existing row means for a claim, querying the claimant
// if necessary. It ignores Row.Expires: an expired row that the table has not yet
// deleted is still valid.
func (c *Claimer) resolveRow(ctx context.Context, cl *Claim, row storer.Row) resolution {
	for {
		rec, err := decode(row)
		switch {
		case err != nil:
			return outcomeUnknown(err.Error())
		case row.Version == cl.nonce:
			return resolution{acquired: true}
		case rec.State == recordWithdrawn:
			return resolution{replace: row.Version}
		case !bytes.Equal(rec.Digest, cl.request.Digest[:]):
			return resolution{err: refuse(refuser.KeyConflict, "")}
		case rec.State == recordFinished:
			return c.replay(ctx, rec)
		case rec.State == recordLost:
			return outcomeUnknown("the outcome of the earlier request is not known")
		}
		res, resolved := c.pollClaimant(ctx, cl, row, rec)
		if resolved {
			return res
		}
		// The claimant no longer runs the request or cannot be reached. It may have
		// recorded the outcome since the row was read.
		latest, exists, err := c.Table.Get(ctx, cl.key)
		switch {
		case err != nil:
			return resolution{err: refuseNotRun(ctx, err.Error())}
		case !exists || latest.Version == row.Version:
			return outcomeUnknown("the claimant " + rec.Claimant + " is unreachable or does not know the outcome")
		}
		row = latest
	}
}

// pollClaimant queries the claimant until it no longer runs the request. It returns false
// if the claimant cannot be reached, or reports neither a response nor a withdrawal for the
// row.
func (c *Claimer) pollClaimant(ctx context.Context, cl *Claim, row storer.Row, rec record) (resolution, bool) {
	pause := orDefault(c.PollInterval, DefaultPollInterval)
	maxPause := maxPollFactor * pause
	for {
		status, response, err := c.queryStatus(ctx, cl, rec)
		switch {
		case ctx.Err() != nil:
			return resolution{err: refuse(refuser.KeyInProgress, "")}, true
		case err != nil && c.disabled(PermanentClaim):
			return resolution{replace: row.Version}, true
		case err != nil || status.Incarnation != rec.Incarnation:
			return resolution{}, false
		case slices.Contains(status.WithdrawnNonces, row.Version):
			return resolution{replace: row.Version}, true
		case status.Nonce != row.Version:
			return resolution{}, false
		case status.State == Finished && response != nil:
			return resolution{response: response}, true
		case status.State != Running:
			return resolution{}, false
		}
		if !sleep(ctx, c.jitter(pause)) {
			return resolution{err: refuse(refuser.KeyInProgress, "")}, true
		}
		pause = min(2*pause, maxPause)
	}
}

// queryStatus queries the claimant once, or reads the local state if the claimant is
// this node.
func (c *Claimer) queryStatus(ctx context.Context, cl *Claim, rec record) (Status, *RecordedResponse, error) {
	if rec.Claimant == c.Node {
		status, response := c.Status(cl.request.Service, cl.request.Key)
		return status, response, nil
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.QueryTimeout, DefaultQueryTimeout))
	defer cancel()
	return c.QueryStatus(ctx, rec.Claimant, cl.request.Service, cl.request.Key)
}

// replay returns the recorded response, reading it from the object store if necessary.
func (c *Claimer) replay(ctx context.Context, rec record) resolution {
	if rec.Response != nil {
		return resolution{response: rec.Response}
	}
	body, err := c.Objects.Get(ctx, rec.Object)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		return outcomeUnknown(err.Error())
	}
	if err != nil {
		return resolution{err: refuseNotRun(ctx, err.Error())}
	}
	var response RecordedResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return outcomeUnknown("decode recorded response: " + err.Error())
	}
	return resolution{response: &response}
}
