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

// maxRowBytes is the size of an encoded record above which its answer goes to the
// object store. A row may have 400 KB; the platform charges writes by size.
const maxRowBytes = 100 << 10

// recordState is the state of a row.
type recordState string

const (
	recordClaimed   recordState = "claimed"
	recordWithdrawn recordState = "withdrawn"
	recordFinished  recordState = "finished"
	// recordLost marks a request that ran and whose outcome is not known.
	recordLost recordState = "lost"
)

// record is the body of a row. The row's version is its nonce.
type record struct {
	State       recordState `json:"state"`
	Digest      []byte      `json:"digest"`
	Claimant    string      `json:"claimant"`
	Incarnation uint64      `json:"incarnation"`
	Answer      *Answer     `json:"answer,omitempty"`
	// Object is the name of the object that holds the answer.
	Object string `json:"object,omitempty"`
}

// headerRecord is the encoded form of a HeaderField. The value is bytes, because
// JSON strings would change values that are not UTF-8.
type headerRecord struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// MarshalJSON encodes the field with any bytes in its value.
func (f HeaderField) MarshalJSON() ([]byte, error) {
	return json.Marshal(headerRecord{
		Name:  f.Name,
		Value: []byte(f.Value),
	})
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (f *HeaderField) UnmarshalJSON(b []byte) error {
	var rec headerRecord
	if err := json.Unmarshal(b, &rec); err != nil {
		return err
	}
	f.Name, f.Value = rec.Name, string(rec.Value)
	return nil
}

// rowKey spreads the claims of a service over 256 partitions, so that no partition
// takes all of its writes. The sort key has a bounded length for any key.
func rowKey(service, key string) storer.Key {
	sum := sha256.Sum256([]byte(key))
	name := hex.EncodeToString(sum[:])
	return storer.Key{
		Partition: "claims/" + service + "/" + name[:2],
		Sort:      name,
	}
}

func (cl *Claim) object() string {
	return "claims/" + cl.request.Service + "/" + cl.key.Sort + "/" + strconv.FormatUint(cl.nonce, 16)
}

// record returns the claim's record in a state.
func (cl *Claim) record(state recordState) record {
	return record{
		State:       state,
		Digest:      cl.request.Digest[:],
		Claimant:    cl.claimer.Node,
		Incarnation: cl.claimer.Incarnation,
	}
}

// row encodes a record. The retention starts at the deadline or now, whichever is later.
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
