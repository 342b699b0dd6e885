package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	plotFormat = "svg"
	// plotTicks is the layout of the times below a plot.
	plotTicks = "15:04"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageData is what the template shows.
type pageData struct {
	Report  *Report
	End     string
	Verdict string
	Header  []string
	Rows    []pageRow
	Plots   []pagePlot
	Missing []string
}

// pageRow is one line of the table.
type pageRow struct {
	Alert Alert
	Cells []string
}

// pagePlot is one tier's burn rate over time.
type pagePlot struct {
	Tier string
	SVG  template.HTML
}

// WriteHTML writes the report as one page that loads nothing else.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, End: r.End.Format(timeText), Verdict: r.verdict(), Header: header()}
	for i := range r.Lines {
		line := &r.Lines[i]
		data.Rows = append(data.Rows, pageRow{Alert: line.Alert, Cells: line.cells()})
		if line.Team != "" {
			continue
		}
		svg, err := plotSVG(line.Series)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, pagePlot{Tier: string(line.Tier), SVG: svg})
	}
	for i := range r.Missing {
		data.Missing = append(data.Missing, r.Missing[i].String())
	}
	return errors.Wrap(page.Execute(w, data), "report: page")
}

// plotSVG draws the burn rate over time, with a line at 1 where the budget
// lasts just as long as it is meant for.
func plotSVG(series []Point) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Y.Max = 2
	p.X.Tick.Marker = plot.TimeTicks{Format: plotTicks}
	if len(series) > 0 {
		p.X.Min = float64(series[0].Time.Unix())
		p.X.Max = float64(series[len(series)-1].Time.Add(period).Unix())
	}
	p.Add(plotter.NewGrid())
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	for _, run := range runs(series) {
		line, points, err := plotter.NewLinePoints(run)
		if err != nil {
			return "", errors.Wrap(err, "report: plot")
		}
		points.Radius = vg.Points(1.5)
		p.Add(line, points)
		for _, xy := range run {
			p.Y.Max = max(p.Y.Max, xy.Y*1.1)
		}
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, plotFormat)
	if err != nil {
		return "", errors.Wrap(err, "report: plot")
	}
	var out bytes.Buffer
	if _, err = writer.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "report: plot")
	}
	// The drawing has no text of others: its labels are numbers and times.
	return template.HTML(inline(out.String())), nil
}

// runs returns the stretches of periods that had answers, so that the line is
// broken where nothing is known.
func runs(series []Point) []plotter.XYs {
	var list []plotter.XYs
	known := false
	for _, point := range series {
		if point.Known && !known {
			list = append(list, nil)
		}
		known = point.Known
		if known {
			last := &list[len(list)-1]
			*last = append(*last, plotter.XY{X: float64(point.Time.Unix()), Y: point.Rate})
		}
	}
	return list
}

// inline returns the svg element without what stands before it in a file.
func inline(svg string) string {
	if start := strings.Index(svg, "<svg"); start >= 0 {
		return svg[start:]
	}
	return svg
}
