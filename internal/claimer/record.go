package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// maxInlineBytes bounds the records that hold their response. If the response or the
// encoded record is larger, the response is stored in the object store. The table accepts
// rows of up to 400 KB; the bound is lower because the platform charges for the bytes
// written to the table.
const maxInlineBytes = 100 << 10

// recordState is the state of a claim's row.
type recordState string

const (
	recordClaimed   recordState = "claimed"
	recordWithdrawn recordState = "withdrawn"
	recordFinished  recordState = "finished"
	// recordLost marks a request that was dispatched and whose outcome is not known.
	recordLost recordState = "lost"
)

// record is the body of a claim's row. The row's version is the claim's nonce in the claimed
// state and a new nonce in each later state.
type record struct {
	State       recordState       `json:"state"`
	Digest      []byte            `json:"digest"`
	Claimant    string            `json:"claimant"`
	Incarnation uint64            `json:"incarnation"`
	Response    *RecordedResponse `json:"answer,omitempty"`
	// Object is the name of the object that holds a large response.
	Object string `json:"object,omitempty"`
}

// headerRecord is the encoded form of a HeaderField. The value is a byte slice because
// JSON strings would alter values that are not valid UTF-8.
type headerRecord struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// MarshalJSON encodes the field and preserves values that are not valid UTF-8.
func (f HeaderField) MarshalJSON() ([]byte, error) {
	return json.Marshal(headerRecord{
		Name:  f.Name,
		Value: []byte(f.Value),
	})
}

// UnmarshalJSON decodes a field encoded by MarshalJSON.
func (f *HeaderField) UnmarshalJSON(b []byte) error {
	var rec headerRecord
	if err := json.Unmarshal(b, &rec); err != nil {
		return err
	}
	f.Name, f.Value = rec.Name, string(rec.Value)
	return nil
}

// rowKey returns the row key for an idempotency key. It spreads the claims of a service
// over 256 partitions to avoid a hot partition. The hash bounds the length of the sort
// key.
func rowKey(service, key string) storer.Key {
	sum := sha256.Sum256([]byte(key))
	name := hex.EncodeToString(sum[:])
	return storer.Key{
		Partition: "claims/" + service + "/" + name[:2],
		Sort:      name,
	}
}

// objectName returns the name of the object for the claim's response.
func (cl *Claim) objectName() string {
	return "claims/" + cl.request.Service + "/" + cl.key.Sort + "/" + strconv.FormatUint(cl.nonce, 16)
}

// record returns a record of the claim in the given state.
func (cl *Claim) record(state recordState) record {
	return record{
		State:       state,
		Digest:      cl.request.Digest[:],
		Claimant:    cl.claimer.Node,
		Incarnation: cl.claimer.Incarnation,
	}
}

// row returns a row with the encoded record. The retention period starts at the deadline
// or now, whichever is later.
func (cl *Claim) row(version uint64, rec record) (storer.Row, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return storer.Row{}, errors.Wrap(err, "encode claim")
	}
	start := cl.request.Deadline
	if now := time.Now(); now.After(start) {
		start = now
	}
	return storer.Row{
		Key:     cl.key,
		Version: version,
		Body:    body,
		Expires: start.Add(cl.request.Retention),
	}, nil
}

func decode(row storer.Row) (record, error) {
	var rec record
	if err := json.Unmarshal(row.Body, &rec); err != nil {
		return record{}, errors.Wrap(err, "decode claim")
	}
	return rec, nil
}
