// Command 3 loses the store's answers to one change of the desired state, and checks how long the nodes
// go on with the state before it.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/lab"
)

const (
	dir = "review/3"
	// changes desired states come in quick succession, gap apart. The last one moves a route and drops
	// another.
	changes = 12
	gap     = 330 * time.Millisecond
	// lossEnds is the length of the disruption of the store, which begins with the first change.
	lossEnds = 4500 * time.Millisecond
	// Bounds of the deployment.
	configApply     = 2 * time.Second
	stabilityWindow = 3 * time.Second
	maxStretch      = 5 * time.Second
	// watched is the time after the last change in which requests are sent.
	watched  = 45 * time.Second
	interval = 500 * time.Millisecond
	budget   = 2500 * time.Millisecond
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

// routes returns the routes of a desired state.
func routes(last bool) []lab.Route {
	moved := lab.Route{
		Prefix:      "/proofs/",
		Kind:        "safe",
		Timeout:     1.2,
		Target:      0.4,
		Priority:    2,
		Service:     "old",
		MaxAttempts: 2,
	}
	dropped := moved
	dropped.Prefix = "/dropped/"
	if last {
		moved.Service = "new"
		return []lab.Route{moved}
	}
	return []lab.Route{moved, dropped}
}

func play(record *lab.Record) (int, error) {
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(temp) }()
	var losing atomic.Bool
	var feeds, lost atomic.Int64
	store := &lab.Store{
		LoseFeed: func(string) bool { return losing.Load() },
		OnFeed: func(from string, isLost bool) {
			feeds.Add(1)
			if isLost {
				lost.Add(1)
				record.Add("store: the answer to a feed call from %s is lost", from)
			}
		},
	}
	address, err := store.Start()
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutConfig(lab.Config(1, routes(false), "old", "new"))
	nodes := lab.NewMachines(temp, address, "old", "new", "old", "new")
	defer func() {
		for _, m := range nodes {
			m.Kill()
		}
	}()
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
			_, _ = io.Copy(io.Discard, body)
			time.Sleep(20 * time.Millisecond)
			return u.Whole(c, r, m.Service)
		}
		if err := u.Start(); err != nil {
			return 0, err
		}
		defer u.Stop()
	}
	if err := lab.AwaitReady(nodes); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	var confirmed time.Time
	for n := range changes {
		time.Sleep(time.Until(began.Add(time.Duration(n) * gap)))
		last := n == changes-1
		losing.Store(last && lab.Trouble())
		store.PutConfig(lab.Config(n+2, routes(last), "old", "new"))
		confirmed = time.Now()
		record.Add("operator: version %d is confirmed", n+2)
	}
	time.Sleep(gap)
	losing.Store(false)
	due := confirmed.Add(configApply + maxStretch)
	if calm := began.Add(lossEnds + stabilityWindow); calm.After(due) {
		due = calm
	}
	record.Add("version %d is due in force from %.3f s on", changes+1, record.At(due))
	var stale, dropped, served atomic.Int64
	var latest atomic.Int64
	for n := 0; time.Since(confirmed) < watched; n++ {
		var wg sync.WaitGroup
		for i, m := range nodes {
			wg.Go(func() {
				for _, prefix := range []string{"/proofs/", "/dropped/"} {
					sent := time.Now()
					id := fmt.Sprintf("q-%d-%d%s", i+1, n, prefix[1:len(prefix)-1])
					a := ask(m, id, prefix+id)
					late := ""
					if sent.After(due) && a.Err == nil {
						switch {
						case a.Status != 200:
						case prefix == "/dropped/":
							dropped.Add(1)
							late = "BROKEN: run with a dropped route: "
						case a.Body == "old":
							stale.Add(1)
							late = "BROKEN: run by the old service: "
						default:
							served.Add(1)
						}
						if late != "" {
							latest.Store(int64(sent.Sub(confirmed)))
						}
					}
					record.Add("%s%s, sent at %.3f s to %s: %s, by %q", late, id, record.At(sent), m.Name, a, a.Body)
				}
			})
		}
		wg.Wait()
		time.Sleep(interval)
	}
	record.Say("the store answered %d feed calls with changes and lost %d of these answers", feeds.Load(), lost.Load())
	record.Say("when due, %d requests were run by the old service and %d with a dropped route, the last one sent %.1f s after the confirmation; %d by the new service",
		stale.Load(), dropped.Load(), time.Duration(latest.Load()).Seconds(), served.Load())
	switch {
	case stale.Load()+dropped.Load() > 0:
		return lab.Broken, nil
	case served.Load() == 0:
		return 0, fmt.Errorf("no request was served")
	}
	return lab.Held, nil
}

// ask sends a request over a new connection.
func ask(m *lab.Machine, id, target string) lab.Answer {
	c, err := lab.Dial(m.Callers())
	if err != nil {
		return lab.Answer{
			ID:  id,
			Err: err,
		}
	}
	defer func() { _ = c.Close() }()
	return c.Send(id, "GET", target, budget, 0, nil)
}
