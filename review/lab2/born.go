package main

import (
	"net/http"
	"time"
)

const (
	// clockStep is the step of clock_step.
	clockStep = 2000 * time.Millisecond
	// bootGap is the time between the starts of the upstream, and bornExit its end.
	bootGap     = 1200 * time.Millisecond
	bornDrain   = 10 * time.Second
	bornExit    = 18 * time.Second
	bornTraffic = 20 * time.Second
)

// bornCase lets an upstream that has just started crash and start again under its id, while the time of
// day of its machine steps back. Later it says that it is draining.
func bornCase(rec *record, trouble bool) (int, error) {
	l, err := newLab(rec)
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	l.addDesks(3)
	if err := l.startAll(deskWork); err != nil {
		return cantRun, err
	}
	// The upstream beside the first node is replaced, and its first boot crashes soon.
	l.upstreams[0].crash()
	first := l.nodes[0].upstream("i-new", deskWork)
	if err := first.start(); err != nil {
		return cantRun, err
	}
	rec.say("%s starts, born %d", first.id, first.born)
	time.Sleep(bootGap)
	first.crash()
	second := l.nodes[0].upstream("i-new", deskWork)
	second.born = time.Now().UnixMilli()
	if trouble {
		second.born -= clockStep.Milliseconds()
	}
	if err := second.start(); err != nil {
		return cantRun, err
	}
	l.upstreams = append(l.upstreams, first, second)
	rec.say("%s crashes and starts again under its id, born %d", second.id, second.born)
	time.Sleep(stability)
	begin := time.Now()
	confirmed := make(chan time.Time, 1)
	time.AfterFunc(bornDrain, func() {
		second.setState("draining")
		status, err := second.report("draining", nil)
		rec.say("%s says that it is draining: status %d, error %v", second.id, status, err)
		at := time.Now()
		if status != http.StatusOK {
			at = time.Time{}
		}
		confirmed <- at
	})
	time.AfterFunc(bornExit, func() {
		status, err := second.leave()
		rec.say("%s leaves and exits: status %d, error %v", second.id, status, err)
		second.crash()
	})
	seen := l.signoffs(begin, bornTraffic).all
	if l.judgeDrain(second, seen, <-confirmed, begin) {
		return broken, nil
	}
	return held, nil
}
