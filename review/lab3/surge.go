package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// surgeRate and surgeBurst are the allowance of the tenant. Its usual is surgeUsual, of which its rate is
	// 1.6 times, and it asks surgeFactor times of that for surgeTime.
	surgeRate   = 295.0
	surgeBurst  = 295.0
	surgeUsual  = surgeRate / 1.6
	surgeFactor = 7.5
	surgeAt     = 8 * time.Second
	surgeTime   = 6500 * time.Millisecond
	surgeEnd    = 20 * time.Second
	// surgeKill is the time from the beginning of the surge to the kill, and surgeDown that until the process
	// starts again.
	surgeKill = 1200 * time.Millisecond
	surgeDown = 2300 * time.Millisecond
)

// playSurge lets a tenant ask many times its usual, and lets the process be killed that has acted last: the one
// that says that it limits the tenant.
func playSurge(r *record, trouble bool) error {
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
		rate:  surgeRate,
		burst: surgeBurst,
	}})
	services := make([]string, 12)
	for i := range services {
		services[i] = "lookup"
	}
	f, err := newFleet(services, state, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	defer f.close()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	begin := time.Now()
	var failed error
	if trouble {
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(surgeAt + surgeKill)))
			m := f.limiting()
			if m == nil {
				failed = fmt.Errorf("no node limits the tenant")
				return
			}
			m.kill()
			r.printf("%s, which limits the tenant, is killed %.2f s after its surge began", m.name, (time.Since(begin) - surgeAt).Seconds())
			time.Sleep(surgeDown)
			failed = m.start(f.root)
			r.printf("%s has started again", m.name)
		})
	}
	var mu sync.Mutex
	status := make(map[int]int)
	sentAt := make(map[string]time.Time)
	due, last := 0.0, begin
	for i := 0; time.Since(begin) < surgeEnd; time.Sleep(2 * time.Millisecond) {
		demand, now := surgeUsual, time.Now()
		if since := now.Sub(begin); since >= surgeAt && since < surgeAt+surgeTime {
			demand *= surgeFactor
		}
		due += now.Sub(last).Seconds() * demand
		for last = now; due >= 1; due-- {
			i++
			n, m := i, f.machines[i%len(f.machines)]
			id := fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15)
			mu.Lock()
			sentAt[id] = now
			mu.Unlock()
			wg.Go(func() {
				a := m.send(request{
					id:       id,
					method:   http.MethodGet,
					path:     fmt.Sprintf("/lookup/%x", n),
					key:      "key-of-district",
					deadline: 1500 * time.Millisecond,
				})
				mu.Lock()
				status[a.status]++
				mu.Unlock()
				if n%40 == 0 {
					r.printf("request %s at %s: status %d, error %v", id, m.name, a.status, a.err)
				}
			})
		}
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	runs := f.runs()
	for at := time.Duration(0); at < surgeEnd; at += 500 * time.Millisecond {
		n := 0
		for _, a := range runs {
			if since := a.at.Sub(begin); since >= at && since < at+500*time.Millisecond {
				n++
			}
		}
		r.printf("from %4.1f s: %d runs in half a second", at.Seconds(), n)
	}
	most, from := mostWithin(runs, sentAt)
	allowed := (surgeRate*quotaWindow.Seconds()+surgeBurst)*(1+quotaOverage) + quotaSlack
	r.printf("%d asked, by status %v; within %s from %.3f s on, %d were sent and ran, the rule allows %.0f",
		len(sentAt), status, quotaWindow, from.Sub(begin).Seconds(), most, allowed)
	if float64(most) > allowed {
		return errBroken
	}
	return nil
}

// limiting returns the machine whose node was the last to log that it limits the tenant, or nil.
func (f *fleet) limiting() *machine {
	var found *machine
	var latest []byte
	for _, m := range f.machines {
		log, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(log) {
			// Each line begins with its time.
			if bytes.Contains(line, []byte(`"quota-limited"`)) && bytes.Contains(line, []byte(`"limited":true`)) && bytes.Compare(line, latest) > 0 {
				found, latest = m, bytes.Clone(line)
			}
		}
	}
	return found
}
