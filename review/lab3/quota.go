package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// tenantRate and tenantBurst are the allowance of the tenant, and tenantDemand what it asks: 7.5 times its
	// usual, of which its rate is 1.6 times.
	tenantRate   = 60.0
	tenantBurst  = 30.0
	tenantDemand = tenantRate / 1.6 * 7.5
	// quotaWindow, quotaOverage and quotaSlack are bounds of the site.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// herdAt is the time at which all processes are killed, herdDown that until they start again, and partDown
	// the time for which one part of the store is unavailable.
	herdAt   = 12 * time.Second
	herdDown = time.Second
	partDown = 4500 * time.Millisecond
)

// playQuota lets a tenant ask more than its allowance, lets all processes be killed at the same moment, and
// lets the store be unavailable in part meanwhile.
func playQuota(r *record, trouble bool) error {
	state := desiredState(1, []string{"lookup"}, []route{{
		name:    "r-lookup",
		prefix:  "/lookup/",
		kind:    "safe",
		timeout: 1.5,
		target:  0.4,
		service: "lookup",
	}}, []tenant{{
		name:  "district",
		keys:  []string{"key-of-district"},
		rate:  tenantRate,
		burst: tenantBurst,
	}})
	f, err := newFleet([]string{"lookup", "lookup", "lookup", "lookup", "lookup", "lookup"}, state, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	defer f.close()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	status := make(map[int]int)
	sentAt := make(map[string]time.Time)
	begin := time.Now()
	if trouble {
		wg.Go(func() {
			time.Sleep(herdAt)
			f.store.setDownPart("members", true)
			for _, m := range f.machines {
				m.kill()
			}
			r.printf("all processes are killed, and the store's part of the members is unavailable")
			time.Sleep(herdDown)
			for _, m := range f.machines {
				if err := m.start(f.root); err != nil {
					r.printf("%s: %v", m.name, err)
				}
			}
			r.printf("all processes have started again")
			time.Sleep(partDown - herdDown)
			f.store.setDownPart("members", false)
			r.printf("the store is available again")
		})
	}
	demand := tenantDemand
	every := time.Duration(float64(time.Second) / demand)
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		m := f.machines[i%len(f.machines)]
		id := fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)
		wg.Go(func() {
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			a := m.send(request{
				id:       id,
				method:   http.MethodGet,
				path:     fmt.Sprintf("/lookup/%x", i),
				key:      "key-of-district",
				deadline: 1500 * time.Millisecond,
			})
			mu.Lock()
			status[a.status]++
			mu.Unlock()
			if i%40 == 0 {
				r.printf("request %s at %s: status %d, error %v", id, m.name, a.status, a.err)
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * every)))
	}
	wg.Wait()
	most, from := mostWithin(f.runs(), sentAt)
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	for at := time.Duration(0); at < 30*time.Second; at += time.Second {
		n := 0
		for _, a := range f.runs() {
			if since := a.at.Sub(begin); since >= at && since < at+time.Second {
				n++
			}
		}
		r.printf("from %2.0f s: %d runs", at.Seconds(), n)
	}
	r.printf("%d asked, by status %v; within %s from %.3f s on, %d were sent and ran, the rule allows %.0f",
		len(sentAt), status, quotaWindow, from.Sub(begin).Seconds(), most, allowed)
	if float64(most) > allowed {
		return errBroken
	}
	return nil
}

// mostWithin returns the greatest number of requests that were both sent and began to run within a window of
// quotaWindow, and its beginning. Each request counts once.
func mostWithin(runs []arrival, sentAt map[string]time.Time) (int, time.Time) {
	type span struct{ sent, ran time.Time }
	seen := make(map[string]bool)
	var spans []span
	for _, a := range runs {
		if sent, ok := sentAt[a.id]; ok && !seen[a.id] {
			seen[a.id] = true
			spans = append(spans, span{
				sent: sent,
				ran:  a.at,
			})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	most, from := 0, time.Time{}
	for i := range spans {
		end, n := spans[i].sent.Add(quotaWindow), 0
		for _, s := range spans[i:] {
			if s.sent.After(end) {
				break
			}
			if !s.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, spans[i].sent
		}
	}
	return most, from
}
