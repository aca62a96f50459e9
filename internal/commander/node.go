package commander

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/gentianlever/gentianlever/internal/runner"
	"github.com/gentianlever/gentianlever/internal/validator"
)

type nodeArguments struct {
	Settings string `arg:"--settings,required" help:"settings of the node, in JSON"`
}

type versionArguments struct{}

// node runs a node until the process receives SIGTERM or SIGINT.
func (c *Commander) node(args *nodeArguments) error {
	data, err := os.ReadFile(args.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	s, err := validator.ParseSettings(args.Settings, data)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n := runner.Runner{
		Settings: s,
		Version:  Version,
		Log: slog.New(slog.NewTextHandler(c.Stderr, &slog.HandlerOptions{
			Level: s.LogLevel,
		})),
	}
	return n.Run(ctx)
}

func (c *Commander) version() error {
	_, err := fmt.Fprintf(c.Stdout, "%s %s\n", Program, Version)
	return err
}

// lines iterates over the lines of a message.
func lines(message string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, line := range strings.Split(strings.TrimRight(message, "\n"), "\n") {
			if !yield(line) {
				return
			}
		}
	}
}
