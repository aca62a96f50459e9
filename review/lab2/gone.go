package main

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"
)

const (
	// The figures of final-signoff on irbid-studio-large.
	goneTarget = 1.5
	goneWork   = 460 * time.Millisecond
	goneBudget = 12 * time.Second
	// The traffic is a wave as on the small sites: waveMean requests a second, which 12 slots can
	// serve, with a swing of 0.55 and a period of 17 s.
	waveMean   = 24
	waveSwing  = 0.55
	wavePeriod = 17.0
	goneLength = 34 * time.Second
	// At each crest, every fifth requester leaves leaveAfter after it has sent its request.
	leaveShare  = 5
	leaveAfter  = 100 * time.Millisecond
	crestFrom   = 3.0
	crestLength = 5.5
	// goneSlack is the half second of GONE, and fewRequests are more than a few.
	goneSlack   = 500 * time.Millisecond
	fewRequests = 10
)

// goneCase lets requesters leave while their requests wait at the node beside the upstream.
func goneCase(rec *record, trouble bool) (int, error) {
	l, err := newLab(rec)
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	for _, service := range []string{"desk", "viewer", "viewer"} {
		l.add(service)
	}
	l.configure(7, []route{
		{
			name:    "signoff",
			kind:    "unsafe",
			service: "desk",
			timeout: 5,
			target:  goneTarget,
		},
	})
	if err := l.startAll(func(*http.Request) time.Duration { return goneWork }); err != nil {
		return cantRun, err
	}
	var mu sync.Mutex
	left := make(map[string]time.Time)
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	begin := time.Now()
	i := 0
	for t := 0.0; t < goneLength.Seconds(); i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(t * float64(time.Second)))))
		phase := math.Mod(t, wavePeriod)
		leaves := trouble && i%leaveShare == 0 && phase >= crestFrom && phase < crestFrom+crestLength
		n := l.nodes[1+i%2]
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leaves {
				timer := time.AfterFunc(leaveAfter, cancel)
				defer timer.Stop()
			}
			o, err := n.once(ctx, signoff(goneBudget))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[o.status]++
			if leaves && o.status == 0 {
				left[o.id] = o.closed
			}
		})
		t += 1 / (waveMean * (1 + waveSwing*math.Sin(2*math.Pi*t/wavePeriod)))
	}
	wg.Wait()
	time.Sleep(time.Second)
	late := 0
	for _, r := range l.upstreams[0].runs() {
		if at, ok := left[r.id]; ok && r.at.Sub(at) > goneSlack {
			late++
			rec.line("late %s: reached %s %.3f s after its requester had closed its connection", r.id, r.instance, r.at.Sub(at).Seconds())
		}
	}
	rec.say("answers by status: %v; 0 stands for none", statuses)
	rec.say("%d requesters left early; %d of their requests reached the upstream over half a second later", len(left), late)
	if late > fewRequests {
		return broken, nil
	}
	return held, nil
}
