package emulator

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/pkg/errors"
)

// Policies are the policies of the measurement. The last one is the bound.
var Policies = []Policy{
	{
		Name:     "sidecars without hedges",
		NoHedges: true,
	},
	{
		Name: "sidecars",
	},
	{
		Name:             "perfect knowledge",
		PerfectKnowledge: true,
	},
}

// column is a figure of the table.
type column struct {
	name   string
	format string
	value  func(r *Result) float64
}

var columns = []column{
	{
		name:   "worth",
		format: "%.3f",
		value:  (*Result).Worth,
	},
	{
		name:   "worst two windows of 2 s",
		format: "%.3f",
		value:  (*Result).WorstWindows,
	},
	{
		name:   "p50, s",
		format: "%.2f",
		value:  func(r *Result) float64 { return r.Latency(0.5).Seconds() },
	},
	{
		name:   "p99, s",
		format: "%.2f",
		value:  func(r *Result) float64 { return r.Latency(0.99).Seconds() },
	},
	{
		name:   "late, %",
		format: "%.1f",
		value:  func(r *Result) float64 { return r.percent(r.Late) },
	},
	{
		name:   "refused at once, %",
		format: "%.2f",
		value:  func(r *Result) float64 { return r.percent(r.RefusedAtOnce) },
	},
	{
		name:   "refused late, %",
		format: "%.2f",
		value:  func(r *Result) float64 { return r.percent(r.RefusedLate) },
	},
	{
		name:   "failed, %",
		format: "%.2f",
		value:  func(r *Result) float64 { return r.percent(r.Failed) },
	},
	{
		name:   "copies, %",
		format: "%.1f",
		value:  func(r *Result) float64 { return r.percent(r.Hedges) },
	},
	{
		name:   "between zones, MB",
		format: "%.1f",
		value:  func(r *Result) float64 { return r.CrossZoneBytes / 1e6 },
	},
}

func (r *Result) percent(n int) float64 { return 100 * float64(n) / float64(max(r.Requests, 1)) }

// Row holds the medians of the figures of a pattern under a policy.
type Row struct {
	Pattern string
	Policy  string
	values  []float64
}

// median returns the median of the figures of several runs.
func median(results []*Result) []float64 {
	var values []float64
	for _, c := range columns {
		var all []float64
		for _, r := range results {
			all = append(all, c.value(r))
		}
		slices.Sort(all)
		values = append(values, all[len(all)/2])
	}
	return values
}

// NewRow returns the row of several runs that differ in the seed.
func NewRow(p Pattern, policy Policy, results []*Result) Row {
	return Row{
		Pattern: p.Name,
		Policy:  policy.Name,
		values:  median(results),
	}
}

// Markdown returns the table of rows. The last row of each pattern is its bound; the figures of the
// others carry their share of it.
func Markdown(rows []Row) string {
	bounds := make(map[string]Row)
	for _, r := range rows {
		bounds[r.Pattern] = r
	}
	var b strings.Builder
	b.WriteString("| pattern | policy |")
	for _, c := range columns {
		fmt.Fprintf(&b, " %s |", c.name)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(columns)+2) + "\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s |", r.Pattern, r.Policy)
		bound := bounds[r.Pattern]
		for i, c := range columns {
			fmt.Fprintf(&b, " "+c.format, r.values[i])
			if bound.Policy != r.Policy && bound.values[i] > 0 {
				fmt.Fprintf(&b, " (%.2f)", r.values[i]/bound.values[i])
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// The lines around the table on its page.
const (
	tableBegin = "<!-- fleet: begin -->\n"
	tableEnd   = "<!-- fleet: end -->\n"
)

// Section returns the part of a page that WritePage replaces, or "" if there is none.
func Section(page string) string {
	_, after, found := strings.Cut(page, tableBegin)
	section, _, ended := strings.Cut(after, tableEnd)
	if !found || !ended {
		return ""
	}
	return tableBegin + section + tableEnd
}

// WritePage replaces the table on a page.
func WritePage(path, table string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the page of measurements")
	}
	old := Section(string(page))
	if old == "" {
		return errors.Errorf("page %s has no section of the fleet", path)
	}
	replaced := strings.Replace(string(page), old, tableBegin+"\n"+table+"\n"+tableEnd, 1)
	return errors.Wrap(os.WriteFile(path, []byte(replaced), 0o644), "write the page of measurements")
}

// plot is the template of the plot: a bar for each row, grouped by pattern.
var plot = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="900" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="900" height="{{.Height}}" fill="white"/>
<text x="10" y="20" font-size="14">Worth by pattern; dark: the worst two windows of 2 s</text>
{{range .Bars}}<text x="{{.LabelX}}" y="{{.TextY}}" text-anchor="{{.Anchor}}">{{.Label}}</text>
{{if .Width}}<rect x="330" y="{{.Y}}" width="{{.Width}}" height="14" fill="{{.Color}}"/>
<rect x="330" y="{{.Y}}" width="{{.Dark}}" height="5" fill="#333"/>
<text x="{{.ValueX}}" y="{{.TextY}}">{{.Value}}</text>
{{end}}{{end}}</svg>
`))

// bar is a line of the plot: a label and, for a row, its bar.
type bar struct {
	Label  string
	LabelX int
	Anchor string
	Y      int
	TextY  int
	Width  int
	Dark   int
	ValueX int
	Value  string
	Color  string
}

// Plot returns a plot of the rows as SVG.
func Plot(rows []Row) ([]byte, error) {
	const lineHeight, left, fullWidth, top = 18, 330, 500, 32
	colors := make(map[string]string)
	for i, p := range Policies {
		colors[p.Name] = []string{"#bbd0e8", "#4a7fb5", "#8fbf8f"}[i%3]
	}
	var bars []bar
	pattern := ""
	add := func(b bar) {
		b.Y = top + lineHeight*len(bars)
		b.TextY = b.Y + 12
		bars = append(bars, b)
	}
	for _, r := range rows {
		if r.Pattern != pattern {
			pattern = r.Pattern
			add(bar{
				Label:  pattern,
				LabelX: 10,
				Anchor: "start",
			})
		}
		width := int(fullWidth * r.values[0])
		add(bar{
			Label:  r.Policy,
			LabelX: left - 8,
			Anchor: "end",
			Width:  width,
			Dark:   int(fullWidth * r.values[1]),
			ValueX: left + width + 6,
			Value:  fmt.Sprintf("%.3f", r.values[0]),
			Color:  colors[r.Policy],
		})
	}
	var b bytes.Buffer
	err := plot.Execute(&b, struct {
		Height int
		Bars   []bar
	}{
		Height: top + lineHeight*(len(bars)+1),
		Bars:   bars,
	})
	return b.Bytes(), errors.Wrap(err, "draw the plot")
}

// Describe returns the length of a run and the size of the fleet in words.
func (f *Fleet) Describe() string {
	perSecond := 0.0
	for _, k := range f.Kinds {
		perSecond += k.PerSecond
	}
	return fmt.Sprintf("%d endpoints in %d zones, %.0f requests a second from callers on average, %s",
		f.endpoints(), f.Zones, perSecond, f.Duration.Round(time.Second))
}
