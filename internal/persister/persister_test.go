package persister

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/storer"
	"github.com/gentianlever/gentianlever/internal/validator"
	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

func newPersister(t *testing.T, h http.Handler) *Persister {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &Persister{
		Platform: validator.Platform{
			TableURL:   server.URL,
			Table:      "gentianlever",
			ObjectsURL: server.URL,
			Bucket:     "gentianlever",
			Region:     "local",
			AccessKey:  "key",
			SecretKey:  "secret",
		},
		Timeout: 200 * time.Millisecond,
	}
}

func insertWrite(sort string, size int) []storer.Write {
	return []storer.Write{
		{
			Row: storer.Row{
				Key: storer.Key{
					Partition: "p",
					Sort:      sort,
				},
				Version: 1,
				Body:    make([]byte, size),
			},
			Condition: storer.Absent,
		},
	}
}

// Guards against reporting a write that may have taken effect as not applied, and a refused
// write as possibly applied.
func TestWriteErrorsByStatus(t *testing.T) {
	cases := []struct {
		name         string
		status       int
		body         string
		maybeApplied bool
	}{
		{
			name:   "transaction conflict",
			status: 400,
			body:   `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"TransactionConflict"}]}`,
		},
		{
			name:   "throttled",
			status: 400,
			body:   `{"__type":"x#ThrottlingException"}`,
		},
		{
			name:   "body is not JSON",
			status: 403,
			body:   `<html>`,
		},
		{
			name:         "transaction still in progress",
			status:       400,
			body:         `{"__type":"x#TransactionInProgressException"}`,
			maybeApplied: true,
		},
		{
			name:         "timeout of a proxy",
			status:       408,
			maybeApplied: true,
		},
		{
			name:         "internal error",
			status:       500,
			body:         `{"__type":"x#InternalServerError"}`,
			maybeApplied: true,
		},
		{
			name:         "truncated body of a 200",
			status:       200,
			body:         `{"ItemCollectionMetr`,
			maybeApplied: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPersister(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			err := p.Table().Write(context.Background(), insertWrite("a", 1))
			var unavailable *storer.UnavailableError
			var unknown *storer.UnknownError
			is.New(t).Equal(errors.As(err, &unavailable), !c.maybeApplied)
			is.New(t).Equal(errors.As(err, &unknown), c.maybeApplied)
		})
	}
}

// Guards against misclassifying the error after a lost response, a hanging service or a
// failed dial, and against an operation without a deadline that never ends.
func TestWriteErrorsOfConnections(t *testing.T) {
	is := is.New(t)
	platform := &simulator.Platform{}
	p := newPersister(t, platform)
	failures := 0
	p.OnError = func(string, error) { failures++ }
	table := p.Table()
	platform.Inject(simulator.Fault{
		Action: simulator.DropResponse,
		Scope:  simulator.Writes,
		Times:  1,
	})
	var unknown *storer.UnknownError
	is.True(errors.As(table.Write(context.Background(), insertWrite("a", 1)), &unknown))
	var condition *storer.ConditionError
	is.True(errors.As(table.Write(context.Background(), insertWrite("a", 1)), &condition))
	platform.Inject(simulator.Fault{
		Action: simulator.Hang,
		Times:  1,
	})
	is.True(errors.As(table.Write(context.Background(), insertWrite("b", 1)), &unknown))
	p.Platform.TableURL = "http://127.0.0.1:1"
	var unavailable *storer.UnavailableError
	is.True(errors.As(p.Table().Write(context.Background(), insertWrite("c", 1)), &unavailable))
	is.Equal(failures, 3)
}

// Guards against a query that returns too few rows because the service ends a page at 1 MB.
func TestQueryReadsAllPages(t *testing.T) {
	is := is.New(t)
	p := newPersister(t, &simulator.Platform{})
	p.Timeout = 0
	reads := 0
	p.OnRead = func(string) { reads++ }
	table := p.Table()
	for i := range 8 {
		is.NoErr(table.Write(context.Background(), insertWrite(fmt.Sprint(i), 300<<10)))
	}
	rows, err := table.Query(context.Background(), "p", "0", 6)
	is.NoErr(err)
	is.Equal(len(rows), 6)
	is.Equal(rows[5].Key.Sort, "6")
	is.Equal(reads, 2)
}

// Guards against truncated large objects, and against reporting a missing object as an
// outage.
func TestObjects(t *testing.T) {
	is := is.New(t)
	p := newPersister(t, &simulator.Platform{})
	p.Timeout = 0
	objects := p.Objects()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	is.NoErr(objects.Put(context.Background(), "claims/a", body))
	got, err := objects.Get(context.Background(), "claims/a")
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
	_, err = objects.Get(context.Background(), "claims/b")
	var missing *storer.NotFoundError
	is.True(errors.As(err, &missing))
}
