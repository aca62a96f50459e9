package messenger

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/quarantiner"
)

// Guards against a suspect that is altered by encoding, or that is too large for a
// membership message when names are 20 bytes long.
func TestSuspectInMembershipMessage(t *testing.T) {
	is := is.New(t)
	s := quarantiner.Suspect{
		Fingerprint: quarantiner.Fingerprint{
			Service: strings.Repeat("s", 20),
			Digest:  [32]byte{1},
		},
		Remaining: time.Minute,
	}
	for i := range 2 {
		s.Crashes = append(s.Crashes, quarantiner.Crash{
			Node:     strings.Repeat("n", 20),
			Sequence: 1<<63 + uint64(i),
			State:    quarantiner.Cleared,
			Trial:    strings.Repeat("t", 20),
		})
	}
	b, err := MarshalSuspect(s)
	is.NoErr(err)
	is.True(len(b) <= 256)
	is.Equal(UnmarshalSuspects([][]byte{b, []byte("malformed")}), []quarantiner.Suspect{s})
	s.Crashes[0].State = quarantiner.Cleared + 1
	b, err = MarshalSuspect(s)
	is.NoErr(err)
	is.Equal(len(UnmarshalSuspects([][]byte{b})), 0) // a suspect with an unknown state is omitted
}
