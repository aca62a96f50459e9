package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gentianlever/gentianlever/test/launcher"
)

// clockTick is the unit of CPU times in /proc/PID/stat on Linux, in seconds.
const clockTick = 0.01

// usage is the resource usage summed over all nodes since their start.
type usage struct {
	messages, bytes, reads, writes float64
	// residentBytes is the current resident memory.
	cpuSeconds, residentBytes float64
}

// minus returns the difference between two readings.
func (u usage) minus(v usage) usage {
	return usage{
		messages:      u.messages - v.messages,
		bytes:         u.bytes - v.bytes,
		reads:         u.reads - v.reads,
		writes:        u.writes - v.writes,
		cpuSeconds:    u.cpuSeconds - v.cpuSeconds,
		residentBytes: u.residentBytes - v.residentBytes,
	}
}

// readUsage reads the metrics and process statistics of all nodes.
func readUsage(nodes []*launcher.Node) (usage, error) {
	var u usage
	for _, n := range nodes {
		if err := u.addCounters(n); err != nil {
			return u, err
		}
		if err := u.addProcess(n.Process.PID()); err != nil {
			return u, err
		}
	}
	return u, nil
}

// addCounters adds the counters of a node's metrics.
func (u *usage) addCounters(n *launcher.Node) error {
	resp, err := http.Get("http://" + n.AdminAddress.String() + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	fields := []struct {
		name string
		sum  *float64
	}{
		{
			name: "gentianlever_messages_sent_total",
			sum:  &u.messages,
		},
		{
			name: "gentianlever_message_bytes_sent_total",
			sum:  &u.bytes,
		},
		{
			name: "gentianlever_table_reads_total",
			sum:  &u.reads,
		},
		{
			name: "gentianlever_table_writes_total",
			sum:  &u.writes,
		},
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		for _, f := range fields {
			if v, err := strconv.ParseFloat(value, 64); f.name == name && err == nil {
				*f.sum += v
			}
		}
	}
	return lines.Err()
}

// addProcess adds the CPU time and resident memory of a process.
func (u *usage) addProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The second field, the program's name in parentheses, may contain spaces. The indexes
	// below count from the field after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		u.cpuSeconds += ticks * clockTick
	}
	pages, err := strconv.ParseFloat(fields[residentPages], 64)
	u.residentBytes += pages * float64(os.Getpagesize())
	return err
}

// putDocument submits the document. version is the version that it replaces.
func putDocument(n *launcher.Node, version uint64) error {
	r, err := http.NewRequest(http.MethodPut, documentURL(n), strings.NewReader(launcher.ProofViewerDocument))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+launcher.Token)
	r.Header.Set("If-Match", strconv.FormatUint(version, 10))
	r.Header.Set("Gentianlever-Edit", fmt.Sprint("slopes-", version))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("put document: status %d", resp.StatusCode)
	}
	return nil
}

// activeVersion returns the version of the document in effect on a node, or zero if there is
// none or the node does not respond.
func activeVersion(n *launcher.Node) uint64 {
	resp, err := http.Get(documentURL(n))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Version uint64 `json:"version"`
	}
	if json.NewDecoder(resp.Body).Decode(&d) != nil {
		return 0
	}
	return d.Version
}

func documentURL(n *launcher.Node) string {
	return "http://" + n.AdminAddress.String() + "/v1/documents/" + service
}

// printDelays prints the median and the maximum delay of an event, and the number of nodes
// that did not learn of it.
func printDelays(event string, delays []time.Duration) {
	missing := 0
	for _, t := range delays {
		if t == 0 {
			missing++
		}
	}
	slices.Sort(delays)
	fmt.Printf("  %s: median %.2f s, worst %.2f s, not known within %s on %d nodes\n",
		event, delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds(), delayLimit, missing)
}
