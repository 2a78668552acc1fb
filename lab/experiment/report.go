package experiment

import (
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// ownLineWidth makes our policy stand out.
	ownLineWidth = 0.8 * vg.Millimeter
)

// measurePlot is one of the three measures over time.
type measurePlot struct {
	name, title, unit string
	value             func(Sample) float64
}

var measurePlots = []measurePlot{
	{"imbalance", "Imbalance", "greatest over mean load", func(s Sample) float64 { return s.Imbalance }},
	{"churn", "Churn", "keys moved since the start", func(s Sample) float64 { return float64(s.ChurnKeys) }},
	{"unavailable", "Unavailable time", "ms, summed over shards", func(s Sample) float64 { return s.UnavailableMillis }},
}

// page is what the HTML page shows.
type page struct {
	Summaries []Summary
	Sections  []section
	Glances   []glance
	OwnPolicy string
}

// glance is one deployment and scenario in a line: our policy's three measures
// beside the best of the baselines, each on its own.
type glance struct {
	Deployment, Scenario string
	Cells                []glanceCell
}

// glanceCell is one measure.
type glanceCell struct {
	Ours, Best float64
	// BestPolicy is the baseline with the best value.
	BestPolicy string
}

// Better says that ours is at least as good.
func (c glanceCell) Better() bool { return c.Ours <= c.Best }

// glances returns a line per deployment and scenario in which our policy and a
// baseline ran.
func glances(summaries []Summary) []glance {
	var lines []glance
	for _, ours := range summaries {
		if ours.Policy != ownPolicy {
			continue
		}
		line := glance{Deployment: ours.Deployment, Scenario: ours.Scenario}
		for _, measure := range glanceMeasures {
			cell := glanceCell{Ours: measure(&ours)}
			for _, other := range summaries {
				same := other.Deployment == ours.Deployment && other.Scenario == ours.Scenario
				if same && other.Policy != ownPolicy && (cell.BestPolicy == "" || measure(&other) < cell.Best) {
					cell.Best, cell.BestPolicy = measure(&other), other.Policy
				}
			}
			if cell.BestPolicy != "" {
				line.Cells = append(line.Cells, cell)
			}
		}
		if len(line.Cells) > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

// ownPolicy is the product's.
const ownPolicy = "quartzdock"

// glanceMeasures are the three measures in the order of the columns.
var glanceMeasures = []func(*Summary) float64{
	func(s *Summary) float64 { return s.Imbalance },
	func(s *Summary) float64 { return s.ChurnKeys },
	func(s *Summary) float64 { return s.UnavailableKeyMillis },
}

// section is one deployment and scenario, with a plot file per measure.
type section struct {
	Deployment, Scenario string
	Seed                 uint64
	Plots                []string
}

// writeReport writes index.html and one SVG file per section and measure. The
// plots show the first seed, one line per policy.
func writeReport(folder string, results []*Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	shown := page{Summaries: Summarize(results), OwnPolicy: ownPolicy}
	shown.Glances = glances(shown.Summaries)
	for _, group := range groupByScenario(results) {
		made, err := writeSection(folder, group)
		if err != nil {
			return err
		}
		shown.Sections = append(shown.Sections, made)
	}
	file, err := os.Create(filepath.Join(folder, "index.html"))
	if err != nil {
		return err
	}
	if err := pageTemplate.Execute(file, shown); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// groupByScenario returns the runs of the first seed of each deployment and
// scenario.
func groupByScenario(results []*Result) [][]*Result {
	var groups [][]*Result
	for _, result := range results {
		index := slices.IndexFunc(groups, func(group []*Result) bool {
			return group[0].Deployment == result.Deployment && group[0].Scenario == result.Scenario
		})
		if index < 0 {
			groups = append(groups, []*Result{result})
		} else if result.Seed == groups[index][0].Seed {
			groups[index] = append(groups[index], result)
		}
	}
	return groups
}

func writeSection(folder string, group []*Result) (section, error) {
	made := section{Deployment: group[0].Deployment, Scenario: group[0].Scenario, Seed: group[0].Seed}
	for _, measure := range measurePlots {
		name := fmt.Sprintf("%s-%s-%s.svg", made.Deployment, made.Scenario, measure.name)
		if err := writePlot(filepath.Join(folder, name), measure, group); err != nil {
			return section{}, fmt.Errorf("plot %s: %w", name, err)
		}
		made.Plots = append(made.Plots, name)
	}
	return made, nil
}

func writePlot(path string, measure measurePlot, group []*Result) error {
	drawn := plot.New()
	drawn.Title.Text = measure.title
	drawn.X.Label.Text = "s"
	drawn.Y.Label.Text = measure.unit
	drawn.Add(plotter.NewGrid())
	if measure.name == "imbalance" {
		drawn.Y.Min = 1
	}
	drawn.Legend.Top = true
	drawn.Legend.Left = measure.name != "imbalance"
	for number, result := range group {
		points := make(plotter.XYs, 0, len(result.Series))
		for _, sample := range result.Series {
			points = append(points, plotter.XY{X: sample.Seconds, Y: measure.value(sample)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(number)
		if result.Policy == ownPolicy {
			line.Width = ownLineWidth
		}
		line.Dashes = plotutil.Dashes(number / len(plotutil.DefaultColors))
		drawn.Add(line)
		drawn.Legend.Add(result.Policy, line)
	}
	return drawn.Save(plotWidth, plotHeight, path)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>quartzdock experiment</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 110em; }
table { border-collapse: collapse; } td, th { border: 1px solid #ccc; padding: 0.2em 0.5em; text-align: right; }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left; } tr.ours { font-weight: bold; }
img { width: 32%; } td.better { background: #d8f0d8; } td.worse { background: #f8e0d8; }
</style></head><body>
<h1>Placement experiment</h1>
<p>Three measures per deployment and scenario, one line per policy. Lower is better everywhere.
The plots show the first seed, the table the mean over all seeds. Definitions: docs/GLOSSARY.md.</p>
{{if .Glances}}<h2>At a glance: ours, and the best baseline on each measure alone</h2>
<table><tr><th>deployment</th><th>scenario</th><th>imbalance</th><th>keys moved</th><th>unavailable per key, ms</th></tr>
{{range .Glances}}<tr><td>{{.Deployment}}</td><td>{{.Scenario}}</td>{{range .Cells}}<td class="{{if .Better}}better{{else}}worse{{end}}">{{printf "%.2f" .Ours}} &middot; {{printf "%.2f" .Best}} {{.BestPolicy}}</td>{{end}}</tr>
{{end}}</table>
<p>A hash that never moves a key has no churn and no unavailable time and all the imbalance; no policy is best at all three.</p>{{end}}
{{range .Sections}}<h2>{{.Deployment}}, {{.Scenario}} (seed {{.Seed}})</h2>
{{range .Plots}}<img src="{{.}}" alt="{{.}}">{{end}}
{{end}}
<h2>Table</h2>
<table><tr><th>deployment</th><th>scenario</th><th>policy</th><th>seeds</th><th>imbalance</th><th>p99</th><th>worst after 10 s</th>
<th>churn per hour</th><th>keys moved</th><th>least keys</th><th>unavailable ms</th><th>p99 ms</th><th>per key ms</th><th>request p50 ms</th><th>p99 ms</th><th>violations</th></tr>
{{range .Summaries}}<tr{{if eq .Policy $.OwnPolicy}} class="ours"{{end}}><td>{{.Deployment}}</td><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{.Seeds}}</td>
<td>{{printf "%.3f" .Imbalance}}</td><td>{{printf "%.2f" .ImbalanceP99}}</td><td>{{printf "%.2f" .ImbalanceSettled}}</td>
<td>{{printf "%.2f" .ChurnPerHour}}</td><td>{{printf "%.0f" .ChurnKeys}}</td><td>{{printf "%.1f" .ChurnBoundKeys}}</td>
<td>{{printf "%.0f" .UnavailableMillis}}</td><td>{{printf "%.0f" .UnavailableP99Millis}}</td><td>{{printf "%.1f" .UnavailableKeyMillis}}</td>
<td>{{printf "%.1f" .P50Millis}}</td><td>{{printf "%.1f" .P99Millis}}</td><td>{{.Violations}}</td></tr>
{{end}}</table></body></html>
`))
