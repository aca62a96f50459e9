package claimer

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gentianlever/gentianlever/internal/storer"
)

// effect is an injected fault of one table operation.
type effect int

const (
	none effect = iota
	refused
	lostBefore
	lostAfter
	lateWrite
	pauseBefore
	pauseAfter
	staleRead
	effects
)

const (
	latency   = time.Millisecond
	lateAfter = 300 * time.Millisecond
	pause     = 1500 * time.Millisecond
)

var errInjected = errors.New("injected")

// fakeTable is an in-memory table. inject chooses the fault of each operation.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[storer.Key]storer.Row
	old     map[storer.Key]storer.Row
	objects map[string][]byte
	inject  func() effect
}

func (f *fakeTable) next() effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inject == nil {
		return none
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
	e := f.next()
	time.Sleep(latency)
	if e == pauseBefore {
		time.Sleep(pause)
	}
	f.mu.Lock()
	rows := f.rows
	if e == staleRead {
		rows = f.old
	}
	row, ok := rows[k]
	f.mu.Unlock()
	switch e {
	case refused, lostBefore, lostAfter, lateWrite:
		return storer.Row{}, false, &storer.UnavailableError{Cause: errInjected}
	case pauseAfter:
		time.Sleep(pause)
	}
	return row, ok, nil
}

func (f *fakeTable) write(ctx context.Context, writes []storer.Write) error {
	e := f.next()
	time.Sleep(latency)
	var err error
	switch e {
	case refused:
		return &storer.UnavailableError{Cause: errInjected}
	case lostBefore:
		return &storer.UnknownError{Cause: errInjected}
	case lateWrite:
		time.AfterFunc(lateAfter, func() { _ = f.apply(writes) })
		return &storer.UnknownError{Cause: errInjected}
	case pauseBefore:
		time.Sleep(pause)
		err = f.apply(writes)
	case pauseAfter:
		err = f.apply(writes)
		time.Sleep(pause)
	default:
		err = f.apply(writes)
	}
	if e == lostAfter || ctx.Err() != nil {
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
	f.old = maps.Clone(f.rows)
	for _, w := range writes {
		if f.rows == nil {
			f.rows = map[storer.Key]storer.Row{}
		}
		f.rows[w.Row.Key] = w.Row
	}
	return nil
}

func (f *fakeTable) store() storer.Objects {
	return storer.Objects{
		Put: func(_ context.Context, name string, body []byte) error {
			if f.next() != none {
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
