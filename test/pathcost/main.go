// Command pathcost measures the latency and the CPU time that two nodes add to a call, with
// real processes on loopback addresses.
package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// clockTick is the unit of CPU times in /proc/PID/stat on Linux, 1/100 s.
const clockTick = 10 * time.Millisecond

const (
	// padding is the number of bytes that enlarges the stand-in's responses to about 1 KB.
	padding = 900
	// warmUp is the length of an unmeasured round before the measured ones, in which the
	// nodes open their connections and the Go runtimes reach a steady state.
	warmUp = time.Second
)

type arguments struct {
	Rounds   int           `arg:"--rounds" default:"7" help:"rounds per number of connections"`
	Duration time.Duration `arg:"--duration" default:"1s" help:"length of a round"`
	Hold     time.Duration `arg:"--hold" help:"print the addresses and wait for this long instead of measuring, for example to take a profile"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "pathcost: failed:", err)
		os.Exit(1)
	}
}

func run(args arguments) (err error) {
	dir, err := os.MkdirTemp("", "gentianlever-pathcost-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &launcher.Cluster{
		Dir: dir,
		// The first node belongs to another service, so that it forwards its calls to the
		// second node.
		Services:     []string{"caller", "proof-viewer"},
		EndpointArgs: []string{"--service-time", "0s", "--padding", strconv.Itoa(padding)},
		NodeEnv:      []string{"GOMAXPROCS=2"},
	}
	if err := c.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := c.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.Start(); err != nil {
		return err
	}
	document := strings.Replace(launcher.ProofViewerDocument, `"slots": 12`, `"slots": 64`, 1)
	if err := c.ApplyDocument(c.Nodes[0], "proof-viewer", document, 0); err != nil {
		return err
	}
	if args.Hold > 0 {
		fmt.Println("callers", c.Nodes[0].CallersAddress, "endpoint", c.Nodes[1].EndpointAddress, "pids", c.Nodes[0].Process.PID(), c.Nodes[1].Process.PID())
		time.Sleep(args.Hold)
		return nil
	}
	return measure(args, c)
}

// roundResult is the result of one round.
type roundResult struct {
	direct50, direct99, nodes50, nodes99 time.Duration
	// cpuPerCall is the CPU time of both nodes per call through them.
	cpuPerCall     time.Duration
	callsPerSecond float64
}

// measure prints one line per number of connections.
func measure(args arguments, c *launcher.Cluster) error {
	fmt.Println("connections  direct p50/p99  nodes p50/p99  added p50 [range]  added p99 [range]  node processor time per call  calls/s through the nodes")
	for _, connections := range []int{1, 4, 16} {
		if _, err := runRound(c, connections, warmUp); err != nil {
			return err
		}
		var rounds []roundResult
		for range args.Rounds {
			r, err := runRound(c, connections, args.Duration)
			if err != nil {
				return err
			}
			rounds = append(rounds, r)
		}
		fmt.Printf("%d  %s/%s  %s/%s  %s  %s  %s  %.0f\n", connections,
			median(rounds, func(r roundResult) time.Duration { return r.direct50 }),
			median(rounds, func(r roundResult) time.Duration { return r.direct99 }),
			median(rounds, func(r roundResult) time.Duration { return r.nodes50 }),
			median(rounds, func(r roundResult) time.Duration { return r.nodes99 }),
			medianWithRange(rounds, func(r roundResult) time.Duration { return r.nodes50 - r.direct50 }),
			medianWithRange(rounds, func(r roundResult) time.Duration { return r.nodes99 - r.direct99 }),
			medianWithRange(rounds, func(r roundResult) time.Duration { return r.cpuPerCall }),
			median(rounds, func(r roundResult) float64 { return r.callsPerSecond }))
	}
	return nil
}

// runRound runs the closed loop for a duration.
func runRound(c *launcher.Cluster, connections int, d time.Duration) (roundResult, error) {
	before, err := cpuTime(c)
	if err != nil {
		return roundResult{}, err
	}
	direct, nodes, err := runClosedLoop(c.Nodes[1].EndpointAddress, c.Nodes[0].CallersAddress, connections, d)
	if err != nil {
		return roundResult{}, err
	}
	after, err := cpuTime(c)
	if err != nil {
		return roundResult{}, err
	}
	return roundResult{
		direct50:       quantile(direct, 0.5),
		direct99:       quantile(direct, 0.99),
		nodes50:        quantile(nodes, 0.5),
		nodes99:        quantile(nodes, 0.99),
		cpuPerCall:     (after - before) / time.Duration(len(nodes)),
		callsPerSecond: float64(len(nodes)) / d.Seconds(),
	}, nil
}

// cpuTime returns the user and system time that the nodes have used.
func cpuTime(c *launcher.Cluster) (time.Duration, error) {
	var ticks int64
	for _, n := range c.Nodes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Process.PID()))
		if err != nil {
			return 0, err
		}
		// The second field, the program's name in parentheses, may contain spaces, so only
		// the rest is split. User and system time are fields 14 and 15 of the line.
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		for _, field := range fields[11:13] {
			t, err := strconv.ParseInt(field, 10, 64)
			if err != nil {
				return 0, err
			}
			ticks += t
		}
	}
	return time.Duration(ticks) * clockTick, nil
}

// quantile returns the q-quantile of sorted samples without interpolation.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// sortedValues returns one value per round in ascending order.
func sortedValues[T cmp.Ordered](rounds []roundResult, value func(roundResult) T) []T {
	values := make([]T, 0, len(rounds))
	for _, r := range rounds {
		values = append(values, value(r))
	}
	slices.Sort(values)
	return values
}

// median returns the median of a value over the rounds.
func median[T cmp.Ordered](rounds []roundResult, value func(roundResult) T) T {
	values := sortedValues(rounds, value)
	return values[len(values)/2]
}

// medianWithRange formats the median, minimum and maximum of a value over the rounds.
func medianWithRange(rounds []roundResult, value func(roundResult) time.Duration) string {
	values := sortedValues(rounds, value)
	return fmt.Sprintf("%s [%s, %s]", values[len(values)/2].Round(time.Microsecond), values[0].Round(time.Microsecond), values[len(values)-1].Round(time.Microsecond))
}
