package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// leaveTime, leaveShare and leaveAfter are the doses of give_up: half of the objective of 400 ms.
	leaveTime  = 4 * time.Second
	leaveShare = 0.3
	leaveAfter = 200 * time.Millisecond
	// callAfter is the time after which an upstream makes its call.
	callAfter = 260 * time.Millisecond
)

// playCalls lets upstreams make calls, which bear no key, while they run requests of a tenant. They are of
// those that don't drop a request when its connection closes. Some requesters leave early.
func playCalls(r *record, trouble bool) error {
	state := desiredState(1, []string{"front", "back"}, []route{
		{
			name:    "r-front",
			prefix:  "/front/",
			kind:    "unsafe",
			timeout: 1.5,
			target:  0.4,
			service: "front",
		},
		{
			name:    "r-back",
			prefix:  "/back/",
			kind:    "safe",
			timeout: 0.4,
			target:  0.12,
			service: "back",
		},
	}, []tenant{{
		name: "district",
		keys: []string{"key-of-district"},
	}})
	var mu sync.Mutex
	calls := make(map[int]int)
	f, err := newFleet([]string{"front", "front", "back"}, state, func(*http.Request) time.Duration { return 30 * time.Millisecond })
	defer f.close()
	if err != nil {
		return err
	}
	for _, m := range f.machines[:2] {
		m.upstream.setRun(func(q *http.Request) {
			id := q.Header.Get("X-Gentianlever-Mesh-Request-Id")
			left, _ := strconv.Atoi(q.Header.Get("X-Gentianlever-Mesh-Deadline-Ms"))
			time.Sleep(callAfter)
			a := m.send(request{
				id:       id + ".1",
				method:   http.MethodGet,
				path:     "/back/2f",
				deadline: min(time.Duration(left)*time.Millisecond-callAfter, 400*time.Millisecond),
			})
			mu.Lock()
			calls[a.status]++
			mu.Unlock()
			r.printf("call %s of the upstream beside %s: status %d, reason %q, error %v", id+".1", m.name, a.status, a.header.Get("Gentianlever-Refused"), a.err)
		})
	}
	var wg sync.WaitGroup
	begin := time.Now()
	asked := 0
	for i := 0; time.Since(begin) < 10*time.Second; i++ {
		m := f.machines[i%3]
		id := fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)
		leaves := trouble && float64(i%10) < 10*leaveShare && time.Since(begin) > 3*time.Second && time.Since(begin) < 3*time.Second+leaveTime
		asked++
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leaves {
				time.AfterFunc(leaveAfter, cancel)
			}
			a := m.sendUntil(ctx, request{
				id:       id,
				method:   http.MethodPost,
				path:     "/front/2f",
				body:     "register",
				key:      "key-of-district",
				deadline: 1500 * time.Millisecond,
			})
			r.printf("request %s at %s: status %d, leaves early: %t, error %v", id, m.name, a.status, leaves, a.err)
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	total, denied := asked, 0
	for status, n := range calls {
		total += n
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied += n
		}
	}
	r.printf("%d requests and calls, of them %d calls, by status %v; denied: %d, the rule allows %d", total, total-asked, calls, denied, 5+total/500)
	if total-asked < 100 {
		return fmt.Errorf("only %d calls", total-asked)
	}
	if denied > 5+total/500 {
		return errBroken
	}
	return nil
}
