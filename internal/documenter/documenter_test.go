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

const page = "../../docs/reference.md"

// Guards against a reference page that no longer matches the program's tables.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(documenter.WriteReference(&b))
	if *update {
		is.NoErr(os.WriteFile(page, b.Bytes(), 0o644))
	}
	stored, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(string(stored) == b.String()) // docs/reference.md differs from the tables; run make generate
}

// Guards against a refusal reason that is counted under another name or not at all.
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
