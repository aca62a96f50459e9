package claimer

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// fault is a fault injected into one table operation.
type fault int

const (
	noFault fault = iota
	unavailable
	requestLost
	responseLost
	lateWrite
	pauseBefore
	pauseAfter
	staleRead
	faultCount
)

const (
	latency        = time.Millisecond
	lateWriteDelay = 300 * time.Millisecond
	pauseTime      = 1500 * time.Millisecond
)

var errInjected = errors.New("injected")

// fakeTable is an in-memory table and object store. inject selects the fault of each
// operation; a nil inject selects none.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[storer.Key]storer.Row
	previousRows map[storer.Key]storer.Row
	objects      map[string][]byte
	inject       func() fault
}

func (f *fakeTable) nextFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inject == nil {
		return noFault
	}
	return f.inject()
}

func (f *fakeTable) table() storer.Table {
	return storer.Table{
		Get:   f.get,
		Write: f.write,
	}
}

func (f *fakeTable) get(_ context.Context, k storer.Key) (storer.Row, bool, error) {
	e := f.nextFault()
	time.Sleep(latency)
	if e == pauseBefore {
		time.Sleep(pauseTime)
	}
	f.mu.Lock()
	rows := f.rows
	if e == staleRead {
		rows = f.previousRows
	}
	row, ok := rows[k]
	f.mu.Unlock()
	switch e {
	case unavailable, requestLost, responseLost, lateWrite:
		return storer.Row{}, false, &storer.UnavailableError{Cause: errInjected}
	case pauseAfter:
		time.Sleep(pauseTime)
	}
	return row, ok, nil
}

func (f *fakeTable) write(ctx context.Context, writes []storer.Write) error {
	e := f.nextFault()
	time.Sleep(latency)
	var err error
	switch e {
	case unavailable:
		return &storer.UnavailableError{Cause: errInjected}
	case requestLost:
		return &storer.UnknownError{Cause: errInjected}
	case lateWrite:
		time.AfterFunc(lateWriteDelay, func() { _ = f.apply(writes) })
		return &storer.UnknownError{Cause: errInjected}
	case pauseBefore:
		time.Sleep(pauseTime)
		err = f.apply(writes)
	case pauseAfter:
		err = f.apply(writes)
		time.Sleep(pauseTime)
	default:
		err = f.apply(writes)
	}
	if e == responseLost || ctx.Err() != nil {
		return &storer.UnknownError{Cause: errInjected}
	}
	return err
}

func (f *fakeTable) apply(writes []storer.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, w := range writes {
		found, ok := f.rows[w.Row.Key]
		if w.Condition == storer.Absent && ok || w.Condition == storer.VersionIs && (!ok || found.Version != w.IfVersion) {
			return &storer.ConditionError{Index: i}
		}
	}
	f.previousRows = maps.Clone(f.rows)
	for _, w := range writes {
		if f.rows == nil {
			f.rows = map[storer.Key]storer.Row{}
		}
		f.rows[w.Row.Key] = w.Row
	}
	return nil
}

func (f *fakeTable) objectStore() storer.Objects {
	return storer.Objects{
		Put: func(_ context.Context, name string, body []byte) error {
			if f.nextFault() != noFault {
				return &storer.UnknownError{Cause: errInjected}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.objects == nil {
				f.objects = map[string][]byte{}
			}
			f.objects[name] = body
			return nil
		},
		Get: func(_ context.Context, name string) ([]byte, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			body, ok := f.objects[name]
			if !ok {
				return nil, &storer.NotFoundError{Name: name}
			}
			return body, nil
		},
	}
}
