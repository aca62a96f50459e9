// Command platform is a stand-in for the platform's table service and object store.
// It keeps all data in memory and injects faults that are requested through a control API.
package main

import (
	"log/slog"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

type arguments struct {
	Listen  string `arg:"--listen" default:"127.0.0.1:8100" help:"address of both services"`
	Control string `arg:"--control" help:"address of the control API; without it there is none"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	p := &simulator.Platform{}
	p.Server = &simulator.ReopenableServer{
		Address: args.Listen,
		Handler: p,
	}
	exitOnError(p.Server.Open())
	if args.Control != "" {
		control := &simulator.ReopenableServer{
			Address: args.Control,
			Handler: p.ControlHandler(),
		}
		exitOnError(control.Open())
	}
	slog.Info("platform stand-in is ready", "address", args.Listen, "control", args.Control)
	select {}
}

func exitOnError(err error) {
	if err != nil {
		slog.Error("platform stand-in failed", "error", err)
		os.Exit(1)
	}
}
