package commander

import (
	"errors"
	"fmt"
	"os"

	"github.com/gentianlever/gentianlever/internal/conductor"
	"github.com/gentianlever/gentianlever/internal/inspector"
	"github.com/gentianlever/gentianlever/internal/relayer"
	"github.com/gentianlever/gentianlever/internal/router"
	"github.com/gentianlever/gentianlever/platform"
)

type checkTableArguments struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"routing table, in JSON"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"routing table in force, with which FILE is compared"`
}

// faultyTableError reports the number of errors that were printed.
type faultyTableError struct {
	file   string
	errors int
}

func (e *faultyTableError) Error() string {
	return fmt.Sprintf("routing table %q: %d errors", e.file, e.errors)
}

// checkTable prints the errors and contradictions of a routing table, and what it changes.
func (c *Commander) checkTable(args *checkTableArguments) error {
	next, errs, err := readTable(args.File)
	if err != nil {
		return err
	}
	for _, e := range errs {
		_, _ = fmt.Fprintln(c.Stdout, "error:", e)
	}
	if next != nil {
		limits := inspector.Limits{
			HeaderBytes: conductor.MaxHeaderBytes,
			BodyBytes:   relayer.DefaultBodyBytes,
		}
		for _, s := range inspector.Contradictions(next, limits) {
			_, _ = fmt.Fprintln(c.Stdout, "warning:", s)
		}
	}
	if args.InForce != "" && next != nil {
		inForce, faults, err := readTable(args.InForce)
		if err == nil {
			err = errors.Join(faults...)
		}
		if err != nil {
			return fmt.Errorf("--in-force %q: %w", args.InForce, err)
		}
		for _, s := range inspector.Differences(inForce, next) {
			_, _ = fmt.Fprintln(c.Stdout, "change:", s)
		}
	}
	if len(errs) > 0 {
		return &faultyTableError{
			file:   args.File,
			errors: len(errs),
		}
	}
	_, _ = fmt.Fprintf(c.Stdout, "routing table %q: no errors\n", args.File)
	return nil
}

// readTable reads a routing table and its errors.
func readTable(file string) (*router.Table, []error, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	t, errs := platform.CheckTable(data)
	return t, errs, nil
}
