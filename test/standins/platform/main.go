// Command platform is a stand-in for the platform's table service and object store.
// It keeps all data in memory and injects faults on request.
package main

import (
	"log/slog"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/gentianlever/gentianlever/test/standins/platform/simulator"
)

type arguments struct {
	Listen  string `arg:"--listen" default:"127.0.0.1:8100" help:"address of both services"`
	Control string `arg:"--control" help:"address of the control API; none without it"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	p := &simulator.Platform{}
	p.Server = &simulator.Server{
		Address: args.Listen,
		Handler: p,
	}
	exitOnError(p.Server.Open())
	if args.Control != "" {
		control := &simulator.Server{
			Address: args.Control,
			Handler: p.Control(),
		}
		exitOnError(control.Open())
	}
	slog.Info("platform stand-in is ready", "address", args.Listen, "control", args.Control)
	select {}
}

func exitOnError(err error) {
	if err != nil {
		slog.Error("platform stand-in stops", "error", err)
		os.Exit(1)
	}
}
