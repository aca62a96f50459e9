// Package documenter renders the reference page from the tables that drive the
// program, so that page and program can't differ.
package documenter

import (
	"fmt"
	"io"
	"strings"

	"github.com/gentianlever/gentianlever/internal/counter"
	"github.com/gentianlever/gentianlever/internal/meter"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/refuser"
	"github.com/gentianlever/gentianlever/internal/retrier"
	"github.com/gentianlever/gentianlever/internal/validator"
)

// table is one table of the page.
type table struct {
	title  string
	intro  string
	header []string
	rows   [][]string
}

// WriteReference writes the reference page in Markdown.
func WriteReference(w io.Writer) error {
	if _, err := io.WriteString(w, "# Reference\n\nThis page is made from the program's tables by `make generate`.\n"); err != nil {
		return err
	}
	for _, t := range tables() {
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

func tables() []table {
	result := []table{refusals(), retries(), counters()}
	result = append(result, fields("Document", validator.DocumentSections())...)
	result = append(result, fields("Settings", validator.SettingsSections())...)
	result = append(result, fields("Sidecar settings", validator.SidecarSections())...)
	return append(result, events(), metrics())
}

func events() table {
	t := table{
		title:  "Log lines of a sidecar",
		intro:  "A sidecar writes JSON lines to its standard output, each with `time`, `level` and the event in `msg`.",
		header: []string{"event", "fields", "meaning"},
	}
	for _, e := range recorder.Events {
		t.rows = append(t.rows, []string{"`" + e.Name + "`", strings.Join(e.Fields, ", "), e.Help})
	}
	return t
}

func metrics() table {
	t := table{
		title:  "Metrics of a sidecar",
		intro:  "`GET /metrics` on the metrics-address serves them in Prometheus' text format as `gentianlever_NAME`, with underscores.",
		header: []string{"metric", "kind", "labels", "meaning"},
	}
	for _, m := range meter.Table {
		t.rows = append(t.rows, []string{"`" + string(m.Name) + "`", string(m.Kind), strings.Join(m.Labels, ", "), m.Help})
	}
	return t
}

func refusals() table {
	t := table{
		title:  "Refusal reasons",
		intro:  "A refusal carries the reason in `" + refuser.HeaderRefused + "` and in `" + refuser.HeaderRan + "` whether the request may have run.",
		header: []string{"reason", "status", "ran", "retried by nodes", "meaning"},
	}
	for _, r := range refuser.Table {
		t.rows = append(t.rows, []string{"`" + string(r.Reason) + "`", fmt.Sprint(r.Status), string(r.Ran), string(r.Retry), r.Help})
	}
	return t
}

func retries() table {
	t := table{
		title:  "Retry reasons",
		intro:  "The counter `" + string(counter.Retried) + "` has the reason of each decision after a failed attempt as its label.",
		header: []string{"reason", "another attempt", "meaning"},
	}
	for _, r := range retrier.Table {
		again := "no"
		if r.Again {
			again = "yes"
		}
		t.rows = append(t.rows, []string{"`" + string(r.Reason) + "`", again, r.Help})
	}
	return t
}

func counters() table {
	t := table{
		title:  "Counters",
		intro:  "`GET /metrics` on the admin-address serves them in Prometheus' text format as `gentianlever_NAME_total`, with underscores.",
		header: []string{"counter", "label", "meaning"},
	}
	for _, r := range counter.Table {
		t.rows = append(t.rows, []string{"`" + string(r.Name) + "`", r.Label, r.Help})
	}
	return t
}

func fields(kind string, sections []validator.Section) []table {
	var result []table
	for _, s := range sections {
		t := table{
			title:  kind + " fields",
			header: []string{"field", "type", "default", "meaning"},
		}
		if s.Path != "" {
			t.title = kind + " fields: " + s.Path
		}
		for _, f := range s.Fields {
			value := f.Default
			if f.Required {
				value = "required"
			}
			t.rows = append(t.rows, []string{"`" + f.Name + "`", f.Type, value, f.Help})
		}
		result = append(result, t)
	}
	return result
}

func (t table) write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n", t.title)
	if t.intro != "" {
		fmt.Fprintf(&b, "%s\n\n", t.intro)
	}
	writeRow(&b, t.header)
	writeRow(&b, strings.Split(strings.Repeat("---,", len(t.header)-1)+"---", ","))
	for _, row := range t.rows {
		writeRow(&b, row)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRow(b *strings.Builder, cells []string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}
