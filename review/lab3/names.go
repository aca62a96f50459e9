package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// abuseTime, abuseRepeats and abuseShare are the doses of retry_abuse of the site.
	abuseTime    = 5500 * time.Millisecond
	abuseRepeats = 3
	abuseShare   = 0.3
)

// playNames lets requesters of two tenants send requests. Three in ten repeat theirs at once; each attempt
// has an id of its own, made of the first one's and the number of the attempt.
func playNames(r *record, trouble bool) error {
	state := desiredState(1, []string{"lookup"}, []route{{
		name:    "r-lookup",
		prefix:  "/lookup/",
		kind:    "safe",
		timeout: 1.5,
		target:  0.4,
		service: "lookup",
	}}, []tenant{
		{
			name: "district",
			keys: []string{"key-of-district"},
		},
		{
			name: "family",
			keys: []string{"key-of-family"},
		},
	})
	f, err := newFleet([]string{"lookup", "lookup", "lookup"}, state, func(*http.Request) time.Duration { return 120 * time.Millisecond })
	defer f.close()
	if err != nil {
		return err
	}
	owner := make(map[string]string)
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(m *machine, id, name string) {
		mu.Lock()
		owner[id] = name
		mu.Unlock()
		a := m.send(request{
			id:       id,
			method:   http.MethodGet,
			path:     "/lookup/2f",
			key:      "key-of-" + name,
			deadline: 1500 * time.Millisecond,
		})
		r.printf("request %s with the key of %s at %s: status %d, seal %q, error %v", id, name, m.name, a.status, a.header.Get("X-Gentianlever-Mesh-Server-Seal"), a.err)
	}
	begin := time.Now()
	for i := range 160 {
		m := f.machines[i%3]
		name := []string{"district", "family"}[i%2]
		id := fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)
		wg.Go(func() { send(m, id, name) })
		if trouble && float64(i%10) < 10*abuseShare && time.Since(begin) < abuseTime {
			for n := range abuseRepeats {
				wg.Go(func() {
					time.Sleep(time.Duration(20*(n+1)) * time.Millisecond)
					send(m, fmt.Sprintf("%s-%d", id, n+2), name)
				})
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	runs, wrong := f.runs(), 0
	for _, a := range runs {
		if a.tenant == owner[a.id] && a.key == "" {
			continue
		}
		wrong++
		r.printf("upstream %s ran %s: tenant %q (header present: %t), but the key is that of %q; the key itself: %q", a.upstream, a.id, a.tenant, a.hasTenant, owner[a.id], a.key)
	}
	r.printf("%d runs, %d of them with another tenant than that of the key", len(runs), wrong)
	if len(runs) < 100 {
		return fmt.Errorf("only %d requests ran", len(runs))
	}
	if wrong > 0 {
		return errBroken
	}
	return nil
}
