// Package documenter renders the reference page, docs/reference.md, from the tables that the
// program itself uses, so that the page can't differ from the program.
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

// table is one section of the page: a title, an optional introduction and a Markdown table.
type table struct {
	title  string
	intro  string
	header []string
	rows   [][]string
}

// WriteReference writes the reference page in Markdown.
func WriteReference(w io.Writer) error {
	if _, err := io.WriteString(w, "# Reference\n\nThis page is generated from the program's tables by `make generate`.\n"); err != nil {
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
	result := []table{refusalTable(), retryTable(), counterTable()}
	result = append(result, fieldTables("Document", validator.DocumentSections())...)
	result = append(result, fieldTables("Settings", validator.SettingsSections())...)
	result = append(result, fieldTables("Sidecar settings", validator.SidecarSections())...)
	return append(result, eventTable(), metricTable())
}

func eventTable() table {
	t := table{
		title:  "Log lines of a sidecar",
		intro:  "A sidecar logs to its standard output, one JSON object per line, with `time`, `level` and the event in `msg`.",
		header: []string{"event", "fields", "meaning"},
	}
	for _, e := range recorder.Events {
		t.rows = append(t.rows, []string{"`" + e.Name + "`", strings.Join(e.Fields, ", "), e.Help})
	}
	return t
}

func metricTable() table {
	t := table{
		title:  "Metrics of a sidecar",
		intro:  "`GET /metrics` on the metrics-address returns them in the Prometheus text format as `gentianlever_NAME`, with underscores instead of hyphens.",
		header: []string{"metric", "kind", "labels", "meaning"},
	}
	for _, m := range meter.Table {
		t.rows = append(t.rows, []string{"`" + string(m.Name) + "`", string(m.Kind), strings.Join(m.Labels, ", "), m.Help})
	}
	return t
}

func refusalTable() table {
	t := table{
		title:  "Refusal reasons",
		intro:  "In a refusal, the header `" + refuser.HeaderRefused + "` gives the reason and `" + refuser.HeaderRan + "` says whether the request may have run.",
		header: []string{"reason", "status", "ran", "retried by nodes", "meaning"},
	}
	for _, r := range refuser.Table {
		t.rows = append(t.rows, []string{"`" + string(r.Reason) + "`", fmt.Sprint(r.Status), string(r.Ran), string(r.Retry), r.Help})
	}
	return t
}

func retryTable() table {
	t := table{
		title:  "Retry reasons",
		intro:  "The counter `" + string(counter.Retried) + "` counts the decisions after failed attempts, with the reason as its label.",
		header: []string{"reason", "another attempt", "meaning"},
	}
	for _, r := range retrier.Table {
		retried := "no"
		if r.Retried {
			retried = "yes"
		}
		t.rows = append(t.rows, []string{"`" + string(r.Reason) + "`", retried, r.Help})
	}
	return t
}

func counterTable() table {
	t := table{
		title:  "Counters",
		intro:  "`GET /metrics` on the admin-address returns them in the Prometheus text format as `gentianlever_NAME_total`, with underscores instead of hyphens.",
		header: []string{"counter", "label", "meaning"},
	}
	for _, r := range counter.Table {
		t.rows = append(t.rows, []string{"`" + string(r.Name) + "`", r.Label, r.Help})
	}
	return t
}

// fieldTables returns one table for each section of a document or of settings. kind starts
// their titles.
func fieldTables(kind string, sections []validator.Section) []table {
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
			defaultOrRequired := f.Default
			if f.Required {
				defaultOrRequired = "required"
			}
			t.rows = append(t.rows, []string{"`" + f.Name + "`", f.Type, defaultOrRequired, f.Help})
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

// writeRow writes one row of a Markdown table.
func writeRow(b *strings.Builder, cells []string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}
