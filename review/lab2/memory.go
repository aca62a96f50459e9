package main

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of the small sites, 284, in the larger reading of a megabyte, in KB.
	memoryLimit = 284 << 10
	// artworkBytes is the size of an artwork file, under a third of max_body_bytes. A designer sends
	// designerRate bytes a second, so that seven of them stay below the link's 1000 Mbit/s.
	artworkBytes = 20 << 20
	designerRate = 16 << 20
	// usualGap is the time between two uploads at a machine in usual traffic.
	usualGap = 485 * time.Millisecond
	// In the burst, clump uploads begin at the same moment, every clumpGap. That is 1.7 times the
	// usual traffic.
	clump    = 7
	clumpGap = 2 * time.Second
	burstAt  = 6 * time.Second
	burstFor = 5 * time.Second
	// memoryTraffic is the time for which requesters send.
	memoryTraffic = 16 * time.Second
	officers      = 12
	officerPause  = 400 * time.Millisecond
)

// slowBody is a body that is sent at a rate.
type slowBody struct {
	left    int64
	sent    int64
	started time.Time
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.started.IsZero() {
		b.started = time.Now()
	}
	n := min(int64(len(p)), b.left)
	due := float64(b.sent+n) / designerRate * float64(time.Second)
	time.Sleep(time.Until(b.started.Add(time.Duration(due))))
	b.left -= n
	b.sent += n
	return int(n), nil
}

// kept collects the outcomes of requests on connections that had carried a request before.
type kept struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (k *kept) add(o outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes = append(k.outcomes, o)
}

// designer uploads one file on a connection that has carried a request before.
func (n *node) designer(k *kept) {
	c, err := dial(n.at(portCallers))
	if err != nil {
		n.lab.rec.line("a designer can't connect to %s: %v", n.name, err)
		return
	}
	defer func() { _ = c.Close() }()
	first := c.do(context.Background(), n.lab.rec, request{
		to:     n.name,
		method: http.MethodGet,
		path:   "/view/1",
		budget: 2500 * time.Millisecond,
	})
	if first.err != nil {
		return
	}
	k.add(c.do(context.Background(), n.lab.rec, request{
		to:     n.name,
		method: http.MethodPost,
		path:   "/upload/1",
		budget: 3 * time.Second,
		body:   &slowBody{left: artworkBytes},
		length: artworkBytes,
	}))
}

// officer signs off on a kept connection until the traffic ends.
func (n *node) officer(k *kept, end time.Time) {
	for time.Now().Before(end) {
		c, err := dial(n.at(portCallers))
		if err != nil {
			time.Sleep(officerPause)
			continue
		}
		for first := true; time.Now().Before(end); first = false {
			q := signoff(3 * time.Second)
			q.to = n.name
			o := c.do(context.Background(), n.lab.rec, q)
			if !first {
				k.add(o)
			}
			if o.err != nil {
				break
			}
			time.Sleep(officerPause)
		}
		_ = c.Close()
	}
}

// designers uploads files until the traffic ends: one after another, or many at once in the burst.
func (n *node) designers(k *kept, begin time.Time, trouble bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for now := time.Duration(0); now < memoryTraffic; {
		time.Sleep(time.Until(begin.Add(now)))
		count, gap := 1, usualGap
		if trouble && now >= burstAt && now < burstAt+burstFor {
			count, gap = clump, clumpGap
		}
		for range count {
			wg.Go(func() { n.designer(k) })
		}
		now += gap
	}
}

// guard does what the platform does: it kills a process whose memory exceeds the limit, and starts it
// again. It returns the number of kills and the most memory seen, in KB. Bytes in the kernel's buffers
// would count too and are left out.
func (n *node) guard(done <-chan struct{}) (kills, most int) {
	for {
		select {
		case <-done:
			return kills, most
		case <-time.After(5 * time.Millisecond):
		}
		kb := n.memory("RssAnon")
		most = max(most, kb)
		if kb <= memoryLimit {
			continue
		}
		kills++
		n.lab.rec.say("%s: %d KB of memory, more than %d; the platform kills the process", n.name, kb, memoryLimit)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		if err := n.start(); err != nil {
			n.lab.rec.say("%s does not start: %v", n.name, err)
			return kills, most
		}
	}
}

// memoryCase lets many designers upload at once.
func memoryCase(rec *record, trouble bool) (int, error) {
	l, err := newLab(rec)
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	for _, service := range []string{"vault", "vault", "vault", "desk", "desk"} {
		l.add(service)
	}
	l.configure(7, []route{
		{
			name:    "view",
			kind:    "safe",
			service: "desk",
			timeout: 1.2,
			target:  0.4,
		},
		{
			name:    "signoff",
			kind:    "unsafe",
			service: "desk",
			timeout: 1.5,
			target:  0.5,
		},
		{
			name:    "upload",
			kind:    "upload",
			service: "vault",
			timeout: 3,
			target:  3,
		},
	})
	err = l.startAll(func(r *http.Request) time.Duration {
		if r.Method == http.MethodGet {
			return 20 * time.Millisecond
		}
		return 140 * time.Millisecond
	})
	if err != nil {
		return cantRun, err
	}
	done := make(chan struct{})
	var guards, wg sync.WaitGroup
	kills, most := make([]int, len(l.nodes)), make([]int, len(l.nodes))
	for i, n := range l.nodes {
		guards.Go(func() { kills[i], most[i] = n.guard(done) })
	}
	begin := time.Now()
	machines := l.nodes[:2]
	collected := make([]kept, len(machines))
	for i, n := range machines {
		for range officers {
			wg.Go(func() { n.officer(&collected[i], begin.Add(memoryTraffic)) })
		}
		wg.Go(func() { n.designers(&collected[i], begin, trouble) })
	}
	wg.Wait()
	close(done)
	guards.Wait()
	for i, n := range l.nodes {
		rec.say("%s: ended %d times for its memory, at most %d MB", n.name, kills[i], most[i]>>10)
	}
	code := held
	for i, n := range machines {
		if n.judgeLost(collected[i].outcomes) {
			code = broken
		}
	}
	return code, nil
}

// judgeLost reports whether LOST is broken: more than three requests from kept connections were passed
// on to an upstream, and their connections closed without an answer.
func (n *node) judgeLost(outcomes []outcome) bool {
	ran := make(map[string]bool)
	for _, u := range n.lab.upstreams {
		for _, r := range u.runs() {
			ran[r.id] = true
		}
	}
	served, lost, other := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.err != nil && ran[o.id]:
			lost++
			n.lab.rec.line("lost %s: it ran, and its kept connection closed without an answer: %v", o.id, o.err)
		case o.status == http.StatusOK:
			served++
		default:
			other++
		}
	}
	n.lab.rec.say("%s: of the requests on kept connections %d were served, %d ran and lost their connection without an answer, %d ended otherwise",
		n.name, served, lost, other)
	return lost > 3
}
