// Command 4 restarts a node while the store is down, after the node has acknowledged that its upstream
// leaves, and checks that no request reaches that upstream afterwards.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"review/lab"
)

const (
	dir = "review/4"
	// Times after the beginning of the store's outage.
	leaveAt   = 300 * time.Millisecond
	killAt    = time.Second
	lateAt    = 4500 * time.Millisecond
	outageEnd = 8 * time.Second
	// The upstream goes on serving until then.
	exitAt = 17 * time.Second
	// Bounds of the deployment.
	drain           = 2 * time.Second
	stabilityWindow = 3 * time.Second
	budget          = 3 * time.Second
	requesters      = 8
)

func main() { os.Exit(run()) }

func run() int {
	record := lab.NewRecord()
	defer record.Write(dir)
	code, err := play(record)
	if err != nil {
		record.Say("the case couldn't run: %v", err)
		return lab.NotRun
	}
	return code
}

func play(record *lab.Record) (int, error) {
	temp, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(temp) }()
	store := &lab.Store{}
	address, err := store.Start()
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutConfig(lab.Config(1, []lab.Route{
		{
			Prefix:      "/sign/",
			Kind:        "unsafe",
			Timeout:     1.5,
			Target:      0.5,
			Priority:    1,
			Service:     "desk",
			MaxAttempts: 2,
		},
	}, "desk"))
	nodes := lab.NewMachines(temp, address, "desk", "desk", "desk")
	defer func() {
		for _, m := range nodes {
			m.Kill()
		}
	}()
	arrivals := &arrived{at: map[string]time.Time{}}
	var upstreams []*lab.Upstream
	for i, m := range nodes {
		if err := m.Start(); err != nil {
			return 0, err
		}
		u := &lab.Upstream{
			ID:      fmt.Sprintf("i-%d", i+1),
			Service: m.Service,
			Zone:    m.Zone,
			Address: m.Upstream(),
			Reports: m.Reports(),
			Slots:   12,
		}
		u.Answer = func(c *net.TCPConn, body io.Reader, r *lab.Request) bool {
			record.Add("upstream %s runs %s", u.ID, r.ID())
			if i == 0 {
				arrivals.add(r.ID())
			}
			_, _ = io.Copy(io.Discard, body)
			time.Sleep(100 * time.Millisecond)
			return u.Whole(c, r, "done")
		}
		if err := u.Start(); err != nil {
			return 0, err
		}
		defer u.Stop()
		upstreams = append(upstreams, u)
	}
	if err := lab.AwaitReady(nodes); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	leaving, node := upstreams[0], nodes[0]
	if lab.Trouble() {
		store.Busy.Store(true)
		record.Add("the store is down (503)")
	}
	late := leaving.Status()
	record.Add("%s sends status report %v (ready), which will be late", leaving.ID, late["sequence"])
	at(leaveAt)
	status, err := leaving.Leave()
	confirmed := time.Now()
	record.Add("%s sends its leave, acknowledged by %s with %d", leaving.ID, node.Name, status)
	if err != nil || status != 200 {
		return 0, fmt.Errorf("the leave was not acknowledged: %d, %v", status, err)
	}
	at(killAt)
	record.Add("%s is killed and starts again", node.Name)
	node.Kill()
	if err := node.Start(); err != nil {
		return 0, err
	}
	at(lateAt)
	status, err = leaving.Deliver(late)
	record.Add("the late status report arrives at %s: %d, %v", node.Name, status, err)
	at(outageEnd)
	store.Busy.Store(false)
	record.Add("the store is sound")
	// From here on, all machines are in touch.
	at(outageEnd + stabilityWindow + 500*time.Millisecond)
	judged := time.Now()
	record.Add("all machines are in touch; drain_s ended %.1f s ago", judged.Sub(confirmed.Add(drain)).Seconds())
	answers := load(record, nodes, began.Add(exitAt-time.Second))
	after := arrivals.since(judged)
	for _, id := range after {
		record.Add("BROKEN: %s reached %s, which had left %.1f s before it", id, leaving.ID, arrivals.get(id).Sub(confirmed).Seconds())
	}
	record.Say("%d requests were served; %d reached the upstream that had left more than drain_s before", answers, len(after))
	switch {
	case len(after) > 0:
		return lab.Broken, nil
	case answers == 0:
		return 0, fmt.Errorf("no request was served")
	}
	return lab.Held, nil
}

// load sends sign-offs at all machines until end, and returns how many were served.
func load(record *lab.Record, nodes []*lab.Machine, end time.Time) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	served := 0
	for i := range requesters {
		wg.Go(func() {
			m := nodes[i%len(nodes)]
			for n := 1; time.Now().Before(end); n++ {
				id := fmt.Sprintf("sign-%d-%d", i+1, n)
				c, err := lab.Dial(m.Callers())
				if err != nil {
					continue
				}
				record.Add("%s sent to %s", id, m.Name)
				a := c.Send(id, "POST", "/sign/"+id, budget, 300, lab.Filler{})
				record.Add("%s answered: %s", id, a)
				_ = c.Close()
				if a.Err == nil && a.Status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return served
}

// arrived holds the time at which each request reached the upstream that leaves.
type arrived struct {
	mu  sync.Mutex
	at  map[string]time.Time
	ids []string
}

func (a *arrived) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = time.Now()
	a.ids = append(a.ids, id)
}

func (a *arrived) get(id string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at[id]
}

// since returns the requests that arrived after a time, in order.
func (a *arrived) since(t time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for _, id := range a.ids {
		if a.at[id].After(t) {
			ids = append(ids, id)
		}
	}
	return ids
}
