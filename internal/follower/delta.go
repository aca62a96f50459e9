package follower

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/gentianlever/gentianlever/internal/compressor"
)

const (
	// keptVersions is the number of versions that a node keeps as bases, including the active
	// one. A member that is further behind gets the whole table, compressed.
	keptVersions = 4
	// noBase stands for the missing base of a member without a table.
	noBase = "none"
	// idBytes is the length of the hash in a version's ID.
	idBytes = 16
)

// UnknownBaseError reports a delta for a version that this node does not have.
type UnknownBaseError struct {
	Base string
}

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("delta from unknown version %q of the routing table", e.Base)
}

// Delta is the active table as the compressed difference from a base.
type Delta struct {
	// Base is the ID of the base, or noBase if there is none.
	Base string
	Body []byte
}

// deltas holds the latest versions, and the deltas of the active one for each base that members
// have asked for.
type deltas struct {
	mu      sync.Mutex
	kept    []*Version
	encoded map[string]Delta
}

// newID returns the ID of an encoded table, which depends on its content alone.
func newID(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:idBytes])
}

// keep adds the active version to the bases.
func (d *deltas) keep(v *Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = append(d.kept, v)
	d.kept = d.kept[max(0, len(d.kept)-keptVersions):]
	d.encoded = nil
}

// base returns the encoded table with an ID, or nil.
func (d *deltas) base(id string) []byte {
	for _, v := range d.kept {
		if v.ID == id {
			return v.Encoded
		}
	}
	return nil
}

// ID returns the ID of the active table, which a member states when it fetches a delta.
func (f *Follower) ID() string {
	if v := f.Current(); v != nil {
		return v.ID
	}
	return noBase
}

// Delta returns the active table for a member that has the version with the ID known. Without an
// active table, it returns an empty delta.
func (f *Follower) Delta(known string) (Delta, error) {
	v := f.Current()
	if v == nil {
		return Delta{}, nil
	}
	d := &f.deltas
	d.mu.Lock()
	defer d.mu.Unlock()
	base := d.base(known)
	if base == nil {
		known = noBase
	}
	key := v.ID + known
	if delta, ok := d.encoded[key]; ok {
		return delta, nil
	}
	body, err := compressor.Encode(v.Encoded, base)
	if err != nil {
		return Delta{}, err
	}
	delta := Delta{
		Base: known,
		Body: body,
	}
	if d.encoded == nil {
		d.encoded = make(map[string]Delta)
	}
	d.encoded[key] = delta
	return delta, nil
}

// Apply returns the encoded table of a delta. Limit bounds its size in bytes. The error is an
// *UnknownBaseError if this node does not have the base.
func (f *Follower) Apply(delta Delta, limit int) ([]byte, error) {
	var base []byte
	if delta.Base != noBase {
		f.deltas.mu.Lock()
		base = f.deltas.base(delta.Base)
		f.deltas.mu.Unlock()
		if base == nil {
			return nil, &UnknownBaseError{Base: delta.Base}
		}
	}
	return compressor.Decode(delta.Body, base, limit)
}
