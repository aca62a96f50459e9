package commander_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/commander"
)

// Guards against pages that show commands or output that the program no longer has:
// each console block is run and its output compared.
func TestCommandsInDocs(t *testing.T) {
	t.Chdir("../..")
	runs := 0
	for _, page := range []string{"README.md", "docs/operations.md"} {
		data, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, block := range strings.Split(string(data), "```console\n")[1:] {
			shown, _, _ := strings.Cut(block, "```")
			is.New(t).Equal(replay(shown), shown)
			runs++
		}
	}
	is.New(t).True(runs > 0)
}

// replay runs the commands of a console block and returns the block with their output.
func replay(block string) string {
	var b bytes.Buffer
	for line := range strings.Lines(block) {
		command, ok := strings.CutPrefix(strings.TrimRight(line, "\n"), "$ "+commander.Program+" ")
		if !ok {
			continue
		}
		b.WriteString(line)
		c := commander.Commander{
			Arguments: strings.Fields(command),
			Stdout:    &b,
			Stderr:    &b,
		}
		c.Run()
	}
	return b.String()
}
