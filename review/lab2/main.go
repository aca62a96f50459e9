// Command cases runs the cases of the second review. Each case starts nodes as processes and plays the
// platform, the upstreams and the requesters itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// maxRun is the time after which a case is given up.
const maxRun = 110 * time.Second

// running is the deployment whose processes have to be ended.
var running atomic.Pointer[lab]

func main() {
	cases := map[string]func(rec *record, trouble bool) (int, error){
		"born":   bornCase,
		"gone":   goneCase,
		"leave":  leaveCase,
		"unread": unreadCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(cantRun)
	}
	rec, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	go endEarly(rec)
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = cantRun
	}
	rec.close()
	os.Exit(code)
}

// endEarly ends the case and its processes after a signal or after maxRun.
func endEarly(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	rec.say("the case is ended early")
	rec.close()
	if l := running.Load(); l != nil {
		l.close()
	}
	os.Exit(cantRun)
}
