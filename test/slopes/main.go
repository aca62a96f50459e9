// Command slopes measures what membership and documents cost each node, and how long
// a death, a leave and a document take to be known everywhere, with real processes.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/test/launcher"
)

const (
	service = "proof-viewer"
	// settleTime and settlePerNode pass the syncs and updates that follow the start:
	// n updates, each in 4 log10(n+1) messages, at about 12 a second.
	settleTime    = 15 * time.Second
	settlePerNode = time.Second
	memberTimeout = 2 * time.Minute
	// roundTime is the resolution of the delays.
	roundTime = 50 * time.Millisecond
	// limit bounds a delay; the longest expected is 12 s for a death.
	limit     = time.Minute
	documents = 3
	lost      = 2
	askers    = 16
)

type arguments struct {
	Nodes  int           `arg:"--nodes" default:"16" help:"number of nodes"`
	Window time.Duration `arg:"--window" default:"15s" help:"duration of the measurement of the cost"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := measure(args); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func measure(args arguments) (err error) {
	dir, err := os.MkdirTemp("", "gentianlever-slopes-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &launcher.Set{
		Dir:            dir,
		SharedEndpoint: true,
		MemberTimeout:  memberTimeout,
	}
	for range args.Nodes {
		s.Services = append(s.Services, service)
	}
	if err := s.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := s.Stop(); err == nil {
			err = stopErr
		}
	}()
	start := time.Now()
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Printf("nodes %d: all know all %.1f s after the first start\n", args.Nodes, time.Since(start).Seconds())
	if err := cost(s, "after the start", args.Window); err != nil {
		return err
	}
	time.Sleep(settleTime + time.Duration(args.Nodes)*settlePerNode)
	if err := cost(s, "at rest", args.Window); err != nil {
		return err
	}
	return delays(s)
}

// cost prints what one node spends in a period.
func cost(s *launcher.Set, period string, window time.Duration) error {
	before, err := readUsage(s.Nodes)
	if err != nil {
		return err
	}
	time.Sleep(window)
	after, err := readUsage(s.Nodes)
	if err != nil {
		return err
	}
	used := after.minus(before)
	share := 1 / (float64(len(s.Nodes)) * window.Seconds())
	fmt.Printf("  %s, per node: %.2f messages/s, %.0f bytes/s sent, %.3f%% of a core, %.1f MB resident\n",
		period, used.messages*share, used.bytes*share, 100*used.processor*share, after.resident/float64(len(s.Nodes))/(1<<20))
	fmt.Printf("  %s, table: %.1f reads/s, %.1f writes/s; since the start %.0f reads, %.0f writes\n",
		period, used.reads/window.Seconds(), used.writes/window.Seconds(), after.reads, after.writes)
	return nil
}

// delays prints how long news takes to be known on every node.
func delays(s *launcher.Set) error {
	var took []time.Duration
	for version := range uint64(documents) {
		start := time.Now()
		if err := put(s.Nodes[0], version); err != nil {
			return err
		}
		took = append(took, follow(s.Nodes, start, func(n *launcher.Node) bool { return version+1 == current(n) })...)
	}
	report("document", took)
	leaving, rest := s.Nodes[1:1+lost], s.Nodes[1+lost:]
	news := func(gone []*launcher.Node, others []*launcher.Node) []time.Duration {
		return follow(others, time.Now(), func(n *launcher.Node) bool {
			st, err := launcher.ReadStatus(n)
			for _, g := range gone {
				if err != nil || st.Lists(g.Name) {
					return false
				}
			}
			return true
		})
	}
	for _, n := range leaving {
		n.Process.Signal(syscall.SIGTERM)
	}
	report("leave", news(leaving, rest))
	dying, rest := rest[:lost], rest[lost:]
	for _, n := range dying {
		n.Process.Kill()
	}
	report("death", news(dying, rest))
	// Killed nodes are no longer the launcher's to stop.
	for _, n := range dying {
		n.Process = nil
	}
	return nil
}

// follow polls nodes until news is known on each, and returns the delays.
func follow(nodes []*launcher.Node, start time.Time, known func(n *launcher.Node) bool) []time.Duration {
	took := make([]time.Duration, len(nodes))
	for left := len(nodes); left > 0 && time.Since(start) < limit; time.Sleep(roundTime) {
		p := pool.New().WithMaxGoroutines(askers)
		for i, n := range nodes {
			if took[i] > 0 {
				continue
			}
			p.Go(func() {
				if known(n) {
					took[i] = time.Since(start)
				}
			})
		}
		p.Wait()
		left = 0
		for _, t := range took {
			if t == 0 {
				left++
			}
		}
	}
	return took
}
