package documenter_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/documenter"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

var update = flag.Bool("update", false, "rewrite docs/reference.md")

const pagePath = "../../docs/reference.md"

// Guards against a reference page that was not regenerated after a table of the program
// changed.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(documenter.WriteReference(&b))
	if *update {
		is.NoErr(os.WriteFile(pagePath, b.Bytes(), 0o644))
	}
	stored, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.True(string(stored) == b.String()) // docs/reference.md differs from the tables; run make generate
}

// Guards against a refusal reason that is counted under the label "other" because the
// counter has no label value for it. Only reasons unknown to this version count as "other".
func TestEachRefusalHasACounter(t *testing.T) {
	var c counter.Counters
	c.Open()
	for _, row := range refuser.Table {
		c.AddLabelled(counter.Refused, string(row.Reason))
		c.AddLabelled(counter.RefusedHere, string(row.Reason))
		is := is.New(t)
		is.Equal(c.Value(counter.Refused, string(row.Reason)), int64(1))
		is.Equal(c.Value(counter.RefusedHere, string(row.Reason)), int64(1))
	}
	c.AddLabelled(counter.Refused, "a-reason-of-a-newer-node")
	is.New(t).Equal(c.Value(counter.Refused, "other"), int64(1))
}
