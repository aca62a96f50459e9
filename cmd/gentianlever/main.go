// Command gentianlever is a load balancer for servers whose load shifts in milliseconds.
package main

import (
	"os"

	"github.com/gentianlever/gentianlever/internal/commander"
)

func main() {
	c := commander.Commander{
		Arguments: os.Args[1:],
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
	}
	os.Exit(c.Run())
}
