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

// clockTick is the unit of processor time in /proc, 10 ms on Linux.
const clockTick = 0.01

// usage is the sum over all nodes.
type usage struct {
	messages, bytes, reads, writes float64
	// processor is in seconds and resident in bytes.
	processor, resident float64
}

func (u usage) minus(v usage) usage {
	return usage{
		messages:  u.messages - v.messages,
		bytes:     u.bytes - v.bytes,
		reads:     u.reads - v.reads,
		writes:    u.writes - v.writes,
		processor: u.processor - v.processor,
		resident:  u.resident - v.resident,
	}
}

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

func (u *usage) addCounters(n *launcher.Node) error {
	resp, err := http.Get("http://" + n.Admin.String() + "/metrics")
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

func (u *usage) addProcess(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err
	}
	// The name of the program, in parentheses, is the second field.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, pages = 11, 12, 21
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		u.processor += ticks * clockTick
	}
	resident, err := strconv.ParseFloat(fields[pages], 64)
	u.resident += resident * float64(os.Getpagesize())
	return err
}

// put has a version of the document accepted. version is the one that it replaces.
func put(n *launcher.Node, version uint64) error {
	r, err := http.NewRequest(http.MethodPut, documentURL(n), strings.NewReader(launcher.ProofViewer))
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

// current returns the version in force on a node, zero for none.
func current(n *launcher.Node) uint64 {
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
	return "http://" + n.Admin.String() + "/v1/documents/" + service
}

func report(news string, took []time.Duration) {
	unknown := 0
	for _, t := range took {
		if t == 0 {
			unknown++
		}
	}
	slices.Sort(took)
	fmt.Printf("  %s: median %.2f s, worst %.2f s, not known within %s on %d nodes\n",
		news, took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), limit, unknown)
}
