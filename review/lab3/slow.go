package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	slowFrom = 8 * time.Second
	slowTime = 9 * time.Second
	slowBy   = 12
)

// playSlow lets the upstreams of one service, which tell their load in three figures, be slow for 9 s. The route to it
// was added by the second desired state.
func playSlow(r *record, trouble bool) error {
	first := route{
		name:    "r-view",
		prefix:  "/view/",
		kind:    "safe",
		timeout: 1.2,
		target:  0.4,
		service: "proofs",
	}
	added := route{
		name:    "r-status",
		prefix:  "/status/",
		kind:    "safe",
		timeout: 0.4,
		target:  0.12,
		service: "status",
	}
	services := []string{"proofs", "status"}
	var slow atomic.Bool
	f, err := newFleet([]string{"proofs", "proofs", "status", "status", "status"}, desiredState(1, services, []route{first}, nil), func(q *http.Request) time.Duration {
		work := 100 * time.Millisecond
		if strings.HasPrefix(q.URL.Path, "/status/") {
			work = 30 * time.Millisecond
			if slow.Load() {
				work *= slowBy
			}
		}
		return time.Duration(float64(work) * (0.75 + 0.5*rand.Float64()))
	})
	defer f.close()
	if err != nil {
		return err
	}
	for _, m := range f.machines {
		m.upstream.setBrief()
	}
	f.store.put("op", "", "config", desiredState(2, services, []route{first, added}, nil))
	r.printf("the second desired state is confirmed")
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(slowFrom, func() { slow.Store(true) })
		time.AfterFunc(slowFrom+slowTime, func() { slow.Store(false) })
	}
	p := playStreams(r, f.machines, []stream{
		{
			name:  "/view/",
			every: 150 * time.Millisecond,
			path:  func(int) string { return "/view/2f" },
		},
		{
			name:  "/status/",
			later: true,
			every: 33 * time.Millisecond,
			path:  func(int) string { return "/status/2f" },
		},
	}, 60*time.Second, slowFrom+slowTime+8*time.Second, 2500*time.Millisecond)
	return p.judgeLaterRoutes(r)
}
