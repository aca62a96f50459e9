package compressor

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

const limit = 8 << 20

// document returns a document of n lines without common parts longer than their fixed text.
func document(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"resource_kind":"routes","metadata":{"name":"r-%08x"},"spec":{"host":"h%08x.example","priority":1}}`, uint32(i)*2654435761, uint32(i)*40503)
	}
	return b.Bytes()
}

// Guards against a difference that is as large as the document, wherever the change is.
func TestDifferenceIsSmall(t *testing.T) {
	base := document(10_000)
	for _, at := range []int{0, len(base) / 2, len(base) - 1} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			is := is.New(t)
			changed := bytes.Clone(base)
			changed[at]++
			encoded, err := Encode(changed, base)
			is.NoErr(err)
			is.True(len(encoded) < len(base)/1000)
			decoded, err := Decode(encoded, base, limit)
			is.NoErr(err)
			is.True(bytes.Equal(decoded, changed))
		})
	}
}

// Guards against a document that decodes to other bytes: with another base, after damage, or
// beyond the size limit.
func TestWrongFramesAreRejected(t *testing.T) {
	is := is.New(t)
	base := document(100)
	changed := document(101)
	encoded, err := Encode(changed, base)
	is.NoErr(err)
	_, err = Decode(encoded, document(99), limit)
	is.True(err != nil)
	_, err = Decode(encoded, nil, limit)
	is.True(err != nil)
	_, err = Decode(encoded, base, len(changed)-1)
	is.True(err != nil)
	damaged := bytes.Clone(encoded)
	damaged[len(damaged)-1] ^= 1
	_, err = Decode(damaged, base, limit)
	is.True(err != nil)
}

func BenchmarkEncodeChange(b *testing.B) {
	base := document(10_000)
	changed := bytes.Clone(base)
	changed[len(changed)/2]++
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(changed, base); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeWhole(b *testing.B) {
	base := document(10_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(base, nil); err != nil {
			b.Fatal(err)
		}
	}
}
