// Command slopes measures the cost of membership and documents per node, and how long all
// nodes take to learn of a new document, a leave and a killed node, with real processes.
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
	// settleTime and settlePerNode, per node, are waited after the start until the syncs and
	// membership updates of the joins have been sent: n updates, each in 4 log10(n+1)
	// messages, at about 12 per second.
	settleTime    = 15 * time.Second
	settlePerNode = time.Second
	// memberTimeout limits the wait after the start until a node lists all members.
	memberTimeout = 2 * time.Minute
	// pollInterval is the resolution of the measured delays.
	pollInterval = 50 * time.Millisecond
	// delayLimit is the longest measured delay; the longest expected one is 12 s, for a
	// killed node.
	delayLimit    = time.Minute
	documentCount = 3
	// nodesPerDeparture is the number of nodes that leave, and that are killed, at once.
	nodesPerDeparture = 2
	// maxConcurrentQueries limits the status and document requests of a poll.
	maxConcurrentQueries = 16
)

type arguments struct {
	Nodes  int           `arg:"--nodes" default:"16" help:"number of nodes"`
	Window time.Duration `arg:"--window" default:"15s" help:"duration of each cost measurement"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(args arguments) (err error) {
	dir, err := os.MkdirTemp("", "gentianlever-slopes-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &launcher.Cluster{
		Dir:            dir,
		SharedEndpoint: true,
		MemberTimeout:  memberTimeout,
	}
	for range args.Nodes {
		c.Services = append(c.Services, service)
	}
	if err := c.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil {
			err = stopErr
		}
	}()
	start := time.Now()
	if err := c.Start(); err != nil {
		return err
	}
	fmt.Printf("nodes %d: every node lists all members %.1f s after the first start\n", args.Nodes, time.Since(start).Seconds())
	if err := measureCost(c, "after the start", args.Window); err != nil {
		return err
	}
	time.Sleep(settleTime + time.Duration(args.Nodes)*settlePerNode)
	if err := measureCost(c, "at rest", args.Window); err != nil {
		return err
	}
	return measureDelays(c)
}

// measureCost prints the average cost per node and the load of the table during a window. The
// period is the label of the printed lines.
func measureCost(c *launcher.Cluster, period string, window time.Duration) error {
	before, err := readUsage(c.Nodes)
	if err != nil {
		return err
	}
	time.Sleep(window)
	after, err := readUsage(c.Nodes)
	if err != nil {
		return err
	}
	used := after.minus(before)
	perNodeSecond := 1 / (float64(len(c.Nodes)) * window.Seconds())
	fmt.Printf("  %s, per node: %.2f messages/s, %.0f bytes/s sent, %.3f%% of a core, %.1f MB resident\n",
		period, used.messages*perNodeSecond, used.bytes*perNodeSecond, 100*used.cpuSeconds*perNodeSecond, after.residentBytes/float64(len(c.Nodes))/(1<<20))
	fmt.Printf("  %s, table: %.1f reads/s, %.1f writes/s; since the start %.0f reads, %.0f writes\n",
		period, used.reads/window.Seconds(), used.writes/window.Seconds(), after.reads, after.writes)
	return nil
}

// measureDelays prints how long all nodes take to learn of documents, leaves and killed nodes.
func measureDelays(c *launcher.Cluster) error {
	var delays []time.Duration
	for version := range uint64(documentCount) {
		start := time.Now()
		if err := putDocument(c.Nodes[0], version); err != nil {
			return err
		}
		delays = append(delays, pollDelays(c.Nodes, start, func(n *launcher.Node) bool { return version+1 == activeVersion(n) })...)
	}
	printDelays("document", delays)
	draining, rest := c.Nodes[1:1+nodesPerDeparture], c.Nodes[1+nodesPerDeparture:]
	departureDelays := func(departed []*launcher.Node, others []*launcher.Node) []time.Duration {
		return pollDelays(others, time.Now(), func(n *launcher.Node) bool {
			st, err := launcher.ReadStatus(n)
			for _, d := range departed {
				if err != nil || st.IsLive(d.Name) {
					return false
				}
			}
			return true
		})
	}
	for _, n := range draining {
		n.Process.Signal(syscall.SIGTERM)
	}
	printDelays("leave", departureDelays(draining, rest))
	killed, rest := rest[:nodesPerDeparture], rest[nodesPerDeparture:]
	for _, n := range killed {
		n.Process.Kill()
	}
	printDelays("death", departureDelays(killed, rest))
	// Nodes without a process are skipped when the cluster stops; killed ones need no stop.
	for _, n := range killed {
		n.Process = nil
	}
	return nil
}

// pollDelays polls the nodes until the condition holds on each, and returns the delay of each
// node since start. The delay is zero if the condition did not hold within delayLimit.
func pollDelays(nodes []*launcher.Node, start time.Time, condition func(n *launcher.Node) bool) []time.Duration {
	delays := make([]time.Duration, len(nodes))
	for remaining := len(nodes); remaining > 0 && time.Since(start) < delayLimit; time.Sleep(pollInterval) {
		p := pool.New().WithMaxGoroutines(maxConcurrentQueries)
		for i, n := range nodes {
			if delays[i] > 0 {
				continue
			}
			p.Go(func() {
				if condition(n) {
					delays[i] = time.Since(start)
				}
			})
		}
		p.Wait()
		remaining = 0
		for _, t := range delays {
			if t == 0 {
				remaining++
			}
		}
	}
	return delays
}
