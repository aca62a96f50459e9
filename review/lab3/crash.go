package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	crashFrom = 6 * time.Second
	crashTime = 5500 * time.Millisecond
	// crashed is 0.143 of the upstreams.
	crashed   = 1
	upstreams = 7
)

// playCrash lets one of seven upstreams crash and come back. The requests on the route
// that was added later have the same path.
func playCrash(r *record, trouble bool) error {
	first := route{
		name:    "r-search",
		prefix:  "/search/",
		kind:    "safe",
		timeout: 3,
		target:  1.5,
		service: "archive",
	}
	added := first
	added.name, added.prefix = "r-notices", "/notices/"
	services := []string{"archive"}
	var machines []string
	for range upstreams {
		machines = append(machines, "archive")
	}
	work := func(*http.Request) time.Duration {
		return time.Duration(float64(300*time.Millisecond) * (0.75 + 0.5*rand.Float64()))
	}
	f, err := newFleet(machines, desiredState(1, services, []route{first}, nil), work)
	defer f.close()
	if err != nil {
		return err
	}
	f.store.put("op", "", "config", desiredState(2, services, []route{first, added}, nil))
	r.printf("the second desired state is confirmed")
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(crashFrom, func() {
			for _, m := range f.machines[:crashed] {
				m.upstream.close()
			}
			r.printf("the upstream beside %s has crashed", f.machines[0].name)
		})
		time.AfterFunc(crashFrom+crashTime, func() {
			for _, m := range f.machines[:crashed] {
				if _, err := startUpstream(m, 12, work); err != nil {
					r.printf("the upstream beside %s: %v", m.name, err)
				}
			}
			r.printf("the upstream is back")
		})
	}
	p := playStreams(r, f.machines, []stream{
		{
			name:  "/search/",
			every: 50 * time.Millisecond,
			path:  func(i int) string { return fmt.Sprintf("/search/%x", i) },
		},
		{
			name:  "/notices/",
			later: true,
			every: 5500 * time.Microsecond,
			path:  func(int) string { return "/notices/2f" },
		},
	}, 45*time.Second, crashFrom+crashTime+6*time.Second, 2500*time.Millisecond)
	return p.judgeLaterRoutes(r)
}
