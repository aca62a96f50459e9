// Command lab3 plays the cases of the third review with stand-ins of its own: the platform's store, the
// upstreams and the requesters. The nodes run as processes of their own.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(r *record, trouble bool) error{
	"names": playNames,
	"slow":  playSlow,
	"crash": playCrash,
	"quota": playQuota,
	"drain": playDrain,
	"surge": playSurge,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "lab3: no case", os.Args[1])
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab3:", err)
		os.Exit(2)
	}
	r := &record{
		start: time.Now(),
		out:   out,
	}
	err = play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.printf("result: the rule held")
	case errors.Is(err, errBroken):
		r.printf("result: %v", err)
		os.Exit(1)
	default:
		r.printf("result: the case could not run: %v", err)
		os.Exit(2)
	}
}
