package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// drainTime is drain_s of the site, and touchTime its stability_window_s.
	drainTime = 2500 * time.Millisecond
	touchTime = 3 * time.Second
	// killAfter is the time from the confirmation to the kill, and lateBy that to a report that was sent
	// before the leave.
	killAfter = 300 * time.Millisecond
	lateBy    = 2 * time.Second
)

// playDrain lets an upstream leave first and serve on, as the pages say. One of its status reports arrives
// late. Then all processes are killed, and a part of the store is unavailable.
func playDrain(r *record, trouble bool) error {
	state := desiredState(1, []string{"lookup"}, []route{{
		name:    "r-lookup",
		prefix:  "/lookup/",
		kind:    "safe",
		timeout: 1.5,
		target:  0.4,
		service: "lookup",
	}}, nil)
	f, err := newFleet([]string{"lookup", "lookup", "lookup"}, state, func(*http.Request) time.Duration { return 20 * time.Millisecond })
	defer f.close()
	if err != nil {
		return err
	}
	m := f.machines[0]
	u := m.upstream
	late := u.reportBody()
	close(u.stop)
	if !m.call("instances.leave", u.id, map[string]any{"born": u.born}) {
		return errors.New("the leave was not confirmed")
	}
	acked := time.Now()
	r.printf("the leave of %s is confirmed", u.id)
	var restarted time.Time
	if trouble {
		time.Sleep(killAfter)
		f.store.setDownPart("departures/"+m.name, true)
		time.AfterFunc(partDown, func() { f.store.setDownPart("departures/"+m.name, false) })
		for _, m := range f.machines {
			m.kill()
		}
		r.printf("all processes are killed, and the store's part with the departures of %s is unavailable for %s", m.name, partDown)
		time.Sleep(herdDown / 2)
		for _, m := range f.machines {
			if err := m.start(f.root); err != nil {
				return err
			}
		}
		restarted = time.Now()
		r.printf("all processes have started again")
	}
	time.AfterFunc(time.Until(acked.Add(lateBy)), func() {
		r.printf("a report from before the leave arrives, confirmed: %t", m.call("instances.heartbeat", u.id, late))
	})
	for i := 0; time.Since(acked) < 12*time.Second; i++ {
		go f.machines[i%3].send(request{
			id:       newID() + newID(),
			method:   http.MethodGet,
			path:     "/lookup/2f",
			deadline: 1500 * time.Millisecond,
		})
		time.Sleep(20 * time.Millisecond)
	}
	after, counted := 0, 0
	for _, a := range u.runs() {
		if a.at.Sub(acked) <= drainTime {
			continue
		}
		after++
		if a.at.Sub(restarted) <= touchTime {
			continue
		}
		counted++
		if counted <= 20 {
			r.printf("upstream %s gets request %s %.3f s after the confirmation, %.3f s after the start of the processes",
				u.id, a.id, a.at.Sub(acked).Seconds(), a.at.Sub(restarted).Seconds())
		}
	}
	r.printf("%d requests later than drain_s after the confirmation, %d of them more than %s after the start", after, counted, touchTime)
	if counted > 0 {
		return errBroken
	}
	return nil
}
