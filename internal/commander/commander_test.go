package commander_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/commander"
)

var update = flag.Bool("update", false, "rewrite the expected output of the cases")

// Guards against unnoticed changes of the output, the error messages or the exit code of a
// command. Each folder of test/cases/command holds a command line and its expected output; the
// paths in it are relative to the root of the repository.
func TestCommandCases(t *testing.T) {
	t.Chdir("../..")
	dirs, err := filepath.Glob("test/cases/command/*")
	is.New(t).NoErr(err)
	is.New(t).True(len(dirs) > 0)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			is := is.New(t)
			line, err := os.ReadFile(filepath.Join(dir, "command"))
			is.NoErr(err)
			var stdout, stderr bytes.Buffer
			c := commander.Commander{
				Arguments: strings.Fields(string(line)),
				Stdout:    &stdout,
				Stderr:    &stderr,
			}
			fmt.Fprintf(&stderr, "exit code %d\n", c.Run())
			compare(t, filepath.Join(dir, "expected-output"), stdout.String())
			compare(t, filepath.Join(dir, "expected-error"), stderr.String())
		})
	}
}

// compare compares output with a file of expected output; with -update it rewrites the file.
func compare(t *testing.T, file, got string) {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(got), 0o644))
	}
	expected, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(got, string(expected))
}
