package reporter

import "testing"

// Guards against header values of other nodes that crash the parser or change when
// they are encoded again.
func FuzzParse(f *testing.F) {
	f.Add(Load{InFlight: 3, Slots: 12, Incarnation: 1 << 60, Draining: true}.Encode())
	f.Add("in-flight=-1;slots")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := Parse(s)
		if err != nil {
			return
		}
		again, err := Parse(l.Encode())
		if err != nil || again != l {
			t.Errorf("%q: %+v became %+v, %v", s, l, again, err)
		}
	})
}
