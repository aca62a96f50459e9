// Command 1 sends uploads while one of three upstreams crashes, and checks that no answer that was
// reset on the way looks complete.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	machines = 3
	slots    = 12
	// uploads is the number of uploads of a round, and uploadBytes the size of each, an eighth of
	// max_body_bytes. It is more than the socket buffers hold.
	uploads     = 12
	uploadBytes = 8 << 20
	budget      = 3 * time.Second
	// crashAt is the time after the start of the uploads at which an upstream crashes.
	crashAt = 350 * time.Millisecond
	rounds  = 3
	dir     = "review/1"
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
	temp, err := os.MkdirTemp("", "review-1-")
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
			Prefix:      "/artwork/",
			Kind:        "upload",
			Timeout:     3,
			Target:      1,
			Priority:    1,
			Service:     "vault",
			MaxAttempts: 2,
		},
	}, "vault"))
	nodes := lab.NewMachines(temp, address, "vault", "vault", "vault")
	var upstreams []*exec.Cmd
	defer func() {
		for _, u := range upstreams {
			_ = u.Process.Kill()
			_ = u.Wait()
		}
		for _, m := range nodes {
			m.Kill()
		}
	}()
	for i, m := range nodes {
		if err := m.Start(); err != nil {
			return 0, err
		}
		u, err := startUpstream(temp, i, m, 0)
		if err != nil {
			return 0, err
		}
		upstreams = append(upstreams, u)
	}
	if err := lab.AwaitReady(nodes); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	broken, whole := 0, 0
	for round := range rounds {
		crash := round % machines
		answers := upload(record, nodes, round, func() {
			if lab.Trouble() {
				record.Add("upstream i-%d crashes (SIGKILL)", crash+1)
				_ = upstreams[crash].Process.Signal(syscall.SIGKILL)
			}
		})
		for _, a := range answers {
			complete := a.Err == nil && a.Status == 200 && a.Seal != ""
			switch expected := "begin " + a.ID + " " + strings.Repeat(".", 2000) + " end " + a.ID; {
			case !complete:
			case a.Body == expected:
				whole++
			default:
				broken++
				record.Add("BROKEN: %s got status 200 with seal and a complete body of %d bytes; the upstream's whole body has %d", a.ID, len(a.Body), len(expected))
			}
		}
		if lab.Trouble() {
			_ = upstreams[crash].Wait()
			time.Sleep(2 * time.Second)
			if upstreams[crash], err = startUpstream(temp, crash, nodes[crash], round+1); err != nil {
				return 0, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	for i := range machines {
		content, _ := os.ReadFile(filepath.Join(temp, fmt.Sprintf("upstream-%d.log", i+1)))
		for line := range strings.Lines(string(content)) {
			var at int64
			var what, id string
			if n, _ := fmt.Sscan(line, &at, &what, &id); n == 3 {
				record.AddAt(time.Unix(0, at), "upstream of machine %d: %s %s", i+1, what, id)
			}
		}
	}
	record.Say("%d uploads had a whole answer, %d a truncated one that looked complete", whole, broken)
	switch {
	case broken > 0:
		return lab.Broken, nil
	case whole == 0:
		return 0, fmt.Errorf("no upload was served")
	}
	return lab.Held, nil
}

// startUpstream starts the upstream of a machine as a process.
func startUpstream(temp string, i int, m *lab.Machine, boot int) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(temp, fmt.Sprintf("upstream-%d.log", i+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	u := exec.Command("review/bin/upstream", "-id", fmt.Sprintf("i-%d-%d", i+1, boot), "-service", m.Service, "-zone", m.Zone,
		"-address", m.Upstream(), "-reports", m.Reports(), "-slots", fmt.Sprint(slots))
	u.Stdout, u.Stderr = log, log
	u.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return u, u.Start()
}

// upload sends the uploads of a round at once, and calls crash while they run.
func upload(record *lab.Record, nodes []*lab.Machine, round int, crash func()) []lab.Answer {
	answers := make([]lab.Answer, uploads)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			id := fmt.Sprintf("upload-%d-%02d", round+1, i+1)
			m := nodes[i%machines]
			answers[i] = lab.Answer{ID: id}
			c, err := lab.Dial(m.Callers())
			if err != nil {
				answers[i].Err = err
				return
			}
			defer func() { _ = c.Close() }()
			record.Add("%s sent to %s: POST /artwork/%s, %d bytes", id, m.Name, id, uploadBytes)
			answers[i] = c.Send(id, "POST", "/artwork/"+id, budget, uploadBytes, lab.Filler{})
			record.Add("%s answered: %s", id, answers[i])
		})
	}
	time.Sleep(crashAt)
	crash()
	wg.Wait()
	return answers
}
