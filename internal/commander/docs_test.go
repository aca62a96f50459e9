package commander_test

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianlever/gentianlever/internal/commander"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/refuser"
)

// Guards against pages that show outdated commands or output: it runs the commands of each
// console block and compares their output.
func TestCommandsInDocs(t *testing.T) {
	t.Chdir("../..")
	runs := 0
	for _, page := range []string{"README.md", "docs/nodes.md"} {
		data, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, block := range strings.Split(string(data), "```console\n")[1:] {
			shown, _, _ := strings.Cut(block, "```")
			is.New(t).Equal(runCommands(shown), shown)
			runs++
		}
	}
	is.New(t).True(runs > 0)
}

// runCommands runs the commands of a console block and returns the block with their output.
func runCommands(block string) string {
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

// Guards against log lines and metrics in the operators' page that the program does not write:
// an event, field, outcome or metric that was renamed or removed.
func TestOperatorsPageMatchesProgram(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	fields := map[string][]string{}
	for _, e := range recorder.Events {
		fields[e.Name] = append([]string{"msg"}, e.Fields...)
	}
	lines := 0
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, `{"msg"`) {
			continue
		}
		lines++
		var members map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &members))
		allowed, known := fields[members["msg"].(string)]
		is.True(known)
		for name := range members {
			if !slices.Contains(allowed, name) {
				t.Errorf("%s is no field of %s", name, members["msg"])
			}
		}
		if outcome, ok := members["outcome"].(string); ok {
			_, known := refuser.Lookup(refuser.Reason(outcome))
			is.True(known)
		}
	}
	is.True(lines >= 6)
	for name := range strings.SplitSeq(string(page), "`") {
		metric, found := strings.CutPrefix(name, "gentianlever_")
		if !found {
			continue
		}
		metric, _, _ = strings.Cut(metric, "{")
		metric, _, _ = strings.Cut(metric, " ")
		if !slices.ContainsFunc(meter.Table, func(r meter.Row) bool {
			return strings.ReplaceAll(string(r.Name), "-", "_") == metric
		}) {
			t.Errorf("metric %s is not in the table", metric)
		}
	}
}
