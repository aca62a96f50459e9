// Package commander runs the subcommands of the gentianlever program.
package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Program is the program's name, which precedes each error message.
const Program = "gentianlever"

// Version is the program's version, set at build time.
var Version = "development"

// The exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Commander runs one command line. Set the exported fields before Run.
type Commander struct {
	Arguments []string
	Stdout    io.Writer
	Stderr    io.Writer
}

// arguments holds the arguments of each subcommand; go-arg sets the one on the command line.
type arguments struct {
	Node       *nodeArguments       `arg:"subcommand:node" help:"run a node beside an endpoint"`
	Sidecar    *sidecarArguments    `arg:"subcommand:sidecar" help:"run a node that serves a routing table from the platform's store"`
	Check      *checkArguments      `arg:"subcommand:check" help:"check documents and settings"`
	CheckTable *checkTableArguments `arg:"subcommand:check-table" help:"check a routing table, and compare it with the one in force"`
	Apply      *applyArguments      `arg:"subcommand:apply" help:"change a service's document"`
	Show       *showArguments       `arg:"subcommand:show" help:"print a service's active document"`
	History    *historyArguments    `arg:"subcommand:history" help:"list the accepted versions of a document"`
	Status     *statusArguments     `arg:"subcommand:status" help:"print the state of a node"`
	Withdraw   *withdrawArguments   `arg:"subcommand:withdraw" help:"withdraw a service's document"`
	Fields     *fieldsArguments     `arg:"subcommand:fields" help:"list the fields of documents or settings"`
	Version    *versionArguments    `arg:"subcommand:version" help:"print the program's version"`
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "gentianlever is a load balancer for servers whose load shifts in milliseconds."
}

// Epilogue returns the last line of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused or failed, 2 wrong usage."
}

// subcommand holds the function of a subcommand and whether it is on the command line.
type subcommand struct {
	given bool
	run   func() error
}

func (c *Commander) subcommands(args *arguments) []subcommand {
	return []subcommand{
		{
			given: args.Node != nil,
			run:   func() error { return c.node(args.Node) },
		},
		{
			given: args.Sidecar != nil,
			run:   func() error { return c.sidecar(args.Sidecar) },
		},
		{
			given: args.Check != nil,
			run:   func() error { return c.check(args.Check) },
		},
		{
			given: args.CheckTable != nil,
			run:   func() error { return c.checkTable(args.CheckTable) },
		},
		{
			given: args.Apply != nil,
			run:   func() error { return c.apply(args.Apply) },
		},
		{
			given: args.Show != nil,
			run:   func() error { return c.show(args.Show) },
		},
		{
			given: args.History != nil,
			run:   func() error { return c.history(args.History) },
		},
		{
			given: args.Status != nil,
			run:   func() error { return c.status(args.Status) },
		},
		{
			given: args.Withdraw != nil,
			run:   func() error { return c.withdraw(args.Withdraw) },
		},
		{
			given: args.Fields != nil,
			run:   func() error { return c.fields(args.Fields) },
		},
		{
			given: args.Version != nil,
			run:   c.version,
		},
	}
}

// Run runs the command line and returns the exit code.
func (c *Commander) Run() int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{
		Program: Program,
		Out:     c.Stderr,
	}, &args)
	if err != nil {
		return c.fail(err, exitUsage)
	}
	err = parser.Parse(c.Arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(c.Stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(c.Stderr, parser.SubcommandNames()...)
		return c.fail(err, exitUsage)
	}
	for _, s := range c.subcommands(&args) {
		if !s.given {
			continue
		}
		if err := s.run(); err != nil {
			return c.fail(err, exitFailed)
		}
		return exitOK
	}
	parser.WriteUsage(c.Stderr)
	return c.fail(errors.New("a subcommand is required"), exitUsage)
}

// fail prints an error, each line prefixed with the program's name, and returns the exit code.
func (c *Commander) fail(err error, code int) int {
	for line := range lines(err.Error()) {
		_, _ = fmt.Fprintf(c.Stderr, "%s: %s\n", Program, line)
	}
	return code
}
