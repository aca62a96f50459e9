package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The bounds of the small sites.
const (
	drainS    = 2 * time.Second
	stability = 3 * time.Second
)

const (
	// leaveRate is the number of sign-offs a second and machine, as on irbid-studio.
	leaveRate = 4
	// lateBy is the delay of the status report that the upstream sends before it leaves.
	lateBy = 3 * time.Second
)

// leavePlan is the order of events of a case on a departure, as times after the start of the traffic.
type leavePlan struct {
	// desks is the number of machines of the service, of whose upstreams the first ones leave.
	desks     int
	leaving   int
	storeDown time.Duration
	leave     time.Duration
	kill      time.Duration
	storeUp   time.Duration
	exit      time.Duration
	end       time.Duration
}

// leaveCase confirms a departure while the store is down, and then all processes are killed.
func leaveCase(rec *record, trouble bool) (int, error) {
	return departure(rec, trouble, leavePlan{
		desks:     4,
		leaving:   1,
		storeDown: time.Second,
		leave:     2 * time.Second,
		kill:      3 * time.Second,
		storeUp:   4500 * time.Millisecond,
		exit:      14 * time.Second,
		end:       16 * time.Second,
	})
}

// unreadCase kills all processes during an outage of the store that begins after the departure was
// confirmed.
func unreadCase(rec *record, trouble bool) (int, error) {
	return departure(rec, trouble, leavePlan{
		desks:     24,
		leaving:   6,
		leave:     time.Second,
		storeDown: 2 * time.Second,
		kill:      2200 * time.Millisecond,
		storeUp:   11 * time.Second,
		exit:      20 * time.Second,
		end:       22 * time.Second,
	})
}

// signoffs sends sign-offs to all nodes by turns until the end of the traffic.
func (l *lab) signoffs(begin time.Time, length time.Duration) *outcomes {
	var x outcomes
	var wg sync.WaitGroup
	rate := leaveRate * time.Duration(len(l.nodes))
	for i := range int(length * rate / time.Second) {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / rate)))
		wg.Go(func() {
			if o, err := l.nodes[i%len(l.nodes)].once(context.Background(), signoff(3*time.Second)); err == nil {
				x.add(o)
			}
		})
	}
	wg.Wait()
	return &x
}

// departure plays a plan.
func departure(rec *record, trouble bool, p leavePlan) (int, error) {
	l, err := newLab(rec)
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	l.addDesks(p.desks)
	if err := l.startAll(deskWork); err != nil {
		return cantRun, err
	}
	begin := time.Now()
	at := func(t time.Duration, event func()) { time.AfterFunc(time.Until(begin.Add(t)), event) }
	confirmed := make([]time.Time, p.leaving)
	var departed sync.WaitGroup
	for i, u := range l.upstreams[:p.leaving] {
		departed.Add(1)
		at(p.leave, func() {
			defer departed.Done()
			report := u.body("ready")
			rec.say("%s sends a status report, which is delayed, and leaves", u.id)
			status, err := u.leave()
			rec.say("the leave of %s: status %d, error %v", u.id, status, err)
			if status == http.StatusOK {
				confirmed[i] = time.Now()
			}
			at(p.leave+lateBy, func() {
				status, err := u.report("", report)
				rec.say("the delayed status report of %s arrives: status %d, error %v", u.id, status, err)
			})
		})
		at(p.exit, func() {
			rec.say("%s exits", u.id)
			u.crash()
		})
	}
	if trouble {
		at(p.storeDown, func() {
			rec.say("the store is down")
			l.store.setMode(storeBusy)
		})
		at(p.storeUp, func() {
			rec.say("the store is up")
			l.store.setMode(storeUp)
		})
		at(p.kill, l.restartAll)
	}
	seen := l.signoffs(begin, p.end).all
	departed.Wait()
	code := held
	for i, u := range l.upstreams[:p.leaving] {
		if l.judgeDrain(u, seen, confirmed[i], begin.Add(p.storeUp+stability)) {
			code = broken
		}
	}
	return code, nil
}

// addDesks adds machines of the service desk and two others, and the route to it.
func (l *lab) addDesks(count int) {
	for range count {
		l.add("desk")
	}
	l.add("viewer")
	l.add("viewer")
	l.configure(7, []route{
		{
			name:    "signoff",
			kind:    "unsafe",
			service: "desk",
			timeout: 1.5,
			target:  0.5,
		},
	})
}

// deskWork is the work of a sign-off on irbid-studio.
func deskWork(*http.Request) time.Duration { return 140 * time.Millisecond }

// restartAll kills all processes and starts them again.
func (l *lab) restartAll() {
	l.rec.say("all processes are killed")
	for _, n := range l.nodes {
		n.kill()
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			l.rec.say("%s does not start: %v", n.name, err)
		}
	}
}

// judgeDrain reports whether DRAIN is broken: a request that was sent after touch has reached an upstream
// later than drain_s after its departure was confirmed.
func (l *lab) judgeDrain(leaving *upstream, seen []outcome, confirmed, touch time.Time) bool {
	if confirmed.IsZero() {
		l.rec.say("the departure of %s was not confirmed", leaving.id)
		return false
	}
	byID := make(map[string]outcome)
	for _, o := range seen {
		byID[o.id] = o
	}
	late, failed := 0, 0
	for _, r := range leaving.runs() {
		o, ok := byID[r.id]
		if !ok || !r.at.After(confirmed.Add(drainS)) || !o.sent.After(touch) {
			continue
		}
		late++
		if o.status != http.StatusOK {
			failed++
		}
		l.rec.line("late %s: reached %s %.1f s after its departure was confirmed; answer %d", r.id, leaving.id, r.at.Sub(confirmed).Seconds(), o.status)
	}
	l.rec.say("%d requests, sent while all machines were in touch, reached %s later than drain_s after its departure was confirmed; %d of them failed",
		late, leaving.id, failed)
	return late > 0
}
