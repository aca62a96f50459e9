package distributor

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// Guards against one row of another writer that keeps nodes from applying the changes in the other
// rows.
func TestOddRowsAreSkipped(t *testing.T) {
	for _, body := range []string{
		"",
		strings.Repeat("[", 100000),
		`{"change":7}`,
		`{"revision":1e300,"change":{"version":1e300}}`,
	} {
		is := is.NewRelaxed(t)
		c := &cluster{}
		c.run(t, 3, func(ctx context.Context) {
			time.Sleep(time.Second)
			c.platform.withLock(func() {
				for _, k := range []storer.Key{serviceKey("odd"), changeKey(1)} {
					c.platform.rows[k] = storer.Row{
						Key:  k,
						Body: []byte(body),
					}
				}
				c.platform.rows[headKey] = storer.Row{
					Key:     headKey,
					Version: 1,
					Body:    []byte(`{"revision":1}`),
				}
			})
			for i, id := range []string{"e1", "e2"} {
				_, err := c.nodes[i].Apply(ctx, edit("vault", id, uint64(i)))
				is.NoErr(err)
				_, ok := within(8*time.Second, func() bool { return c.agree("vault", id, uint64(i)+1) })
				is.True(ok)
			}
		})
	}
}
