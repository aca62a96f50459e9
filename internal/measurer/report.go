package measurer

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of measurements with a title and an introductory text.
type Table struct {
	Title  string
	Text   string
	Header []string
	Rows   [][]string
}

// Markdown returns the table as a Markdown section.
func (t *Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n", t.Title, t.Text)
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Header, " | "), strings.Repeat(" --- |", len(t.Header)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}

// Spread is the median and the range of a measured value over the seeds.
type Spread struct {
	Median float64
	Min    float64
	Max    float64
}

// newSpread returns the median and the range of values, of which there must be at least
// one.
func newSpread(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	return Spread{
		Median: sorted[len(sorted)/2],
		Min:    sorted[0],
		Max:    sorted[len(sorted)-1],
	}
}

// String returns the median with the range in parentheses.
func (s Spread) String() string {
	if s.Median >= 10 {
		return fmt.Sprintf("%.1f (%.1f–%.1f)", s.Median, s.Min, s.Max)
	}
	return fmt.Sprintf("%.2f (%.2f–%.2f)", s.Median, s.Min, s.Max)
}
