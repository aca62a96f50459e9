// Command pathcost measures the latency and the processor time that two nodes add to a
// call, with real processes on loopback.
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

// clockTick is the unit of the times in /proc/PID/stat on Linux, 1/100 s.
const clockTick = 10 * time.Millisecond

const (
	// padding brings a response of the stand-in to about 1 KB.
	padding = 900
	// warmUp opens the connections and lets the runtimes settle.
	warmUp = time.Second
)

type arguments struct {
	Rounds   int           `arg:"--rounds" default:"7" help:"rounds of each number of connections"`
	Duration time.Duration `arg:"--duration" default:"1s" help:"length of a round"`
	Hold     time.Duration `arg:"--hold" help:"print the addresses and wait instead of measuring, as for a profile"`
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
	s := &launcher.Set{
		Dir: dir,
		// The first node has another service, so that its calls go to the second.
		Services:          []string{"caller", "proof-viewer"},
		EndpointArguments: []string{"--service-time", "0s", "--padding", strconv.Itoa(padding)},
		NodeEnvironment:   []string{"GOMAXPROCS=2"},
	}
	if err := s.Build("."); err != nil {
		return err
	}
	defer func() {
		if stopErr := s.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := s.Start(); err != nil {
		return err
	}
	document := strings.Replace(launcher.ProofViewer, `"slots": 12`, `"slots": 64`, 1)
	if err := s.Apply(s.Nodes[0], "proof-viewer", document, 0); err != nil {
		return err
	}
	if args.Hold > 0 {
		fmt.Println("callers", s.Nodes[0].Callers, "endpoint", s.Nodes[1].Endpoint, "pids", s.Nodes[0].Process.PID(), s.Nodes[1].Process.PID())
		time.Sleep(args.Hold)
		return nil
	}
	return measure(args, s)
}

// figures are the results of one round.
type figures struct {
	direct50, direct99, nodes50, nodes99 time.Duration
	// processor is the time of both nodes per call through them.
	processor time.Duration
	calls     float64
}

func measure(args arguments, s *launcher.Set) error {
	fmt.Println("connections  direct p50/p99  nodes p50/p99  added p50 [range]  added p99 [range]  node processor time per call  calls/s through the nodes")
	for _, connections := range []int{1, 4, 16} {
		if _, err := round(s, connections, warmUp); err != nil {
			return err
		}
		var rounds []figures
		for range args.Rounds {
			f, err := round(s, connections, args.Duration)
			if err != nil {
				return err
			}
			rounds = append(rounds, f)
		}
		fmt.Printf("%d  %s/%s  %s/%s  %s  %s  %s  %.0f\n", connections,
			median(rounds, func(f figures) time.Duration { return f.direct50 }),
			median(rounds, func(f figures) time.Duration { return f.direct99 }),
			median(rounds, func(f figures) time.Duration { return f.nodes50 }),
			median(rounds, func(f figures) time.Duration { return f.nodes99 }),
			spread(rounds, func(f figures) time.Duration { return f.nodes50 - f.direct50 }),
			spread(rounds, func(f figures) time.Duration { return f.nodes99 - f.direct99 }),
			spread(rounds, func(f figures) time.Duration { return f.processor }),
			median(rounds, func(f figures) float64 { return f.calls }))
	}
	return nil
}

// round runs the closed loop for a duration.
func round(s *launcher.Set, connections int, d time.Duration) (figures, error) {
	before, err := processorTime(s)
	if err != nil {
		return figures{}, err
	}
	direct, nodes, err := loop(s.Nodes[1].Endpoint, s.Nodes[0].Callers, connections, d)
	if err != nil {
		return figures{}, err
	}
	after, err := processorTime(s)
	if err != nil {
		return figures{}, err
	}
	return figures{
		direct50:  quantile(direct, 0.5),
		direct99:  quantile(direct, 0.99),
		nodes50:   quantile(nodes, 0.5),
		nodes99:   quantile(nodes, 0.99),
		processor: (after - before) / time.Duration(len(nodes)),
		calls:     float64(len(nodes)) / d.Seconds(),
	}, nil
}

// processorTime returns the user and system time that the nodes have used.
func processorTime(s *launcher.Set) (time.Duration, error) {
	var ticks int64
	for _, n := range s.Nodes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Process.PID()))
		if err != nil {
			return 0, err
		}
		// The fields after the program's name, which may hold spaces; user and system
		// time are the 14th and 15th of all.
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

// quantile returns the exact quantile of sorted samples.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func sortedValues[T cmp.Ordered](rounds []figures, value func(figures) T) []T {
	values := make([]T, 0, len(rounds))
	for _, f := range rounds {
		values = append(values, value(f))
	}
	slices.Sort(values)
	return values
}

func median[T cmp.Ordered](rounds []figures, value func(figures) T) T {
	values := sortedValues(rounds, value)
	return values[len(values)/2]
}

func spread(rounds []figures, value func(figures) time.Duration) string {
	values := sortedValues(rounds, value)
	return fmt.Sprintf("%s [%s, %s]", values[len(values)/2].Round(time.Microsecond), values[0].Round(time.Microsecond), values[len(values)-1].Round(time.Microsecond))
}
