package burnpage

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"monsoonlever/burn"
)

const (
	plotWidth         = 17 * vg.Centimeter
	plotHeight        = 8 * vg.Centimeter
	maxBarWidthPoints = 9
	// totalBarWidthPoints is the width of all bars of a plot and the gaps between them.
	totalBarWidthPoints = 400
	lineWidthPoints     = 1.5
	headroomFactor      = 1.3
)

// palette has colors that contrast with a light background and can be distinguished without
// telling red from green.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff},
	color.RGBA{R: 0xc5, G: 0x5a, B: 0x11, A: 0xff},
	color.RGBA{R: 0x5b, G: 0x8d, B: 0xb8, A: 0xff},
	color.RGBA{R: 0xe0, G: 0xa4, B: 0x58, A: 0xff},
	color.RGBA{R: 0x59, G: 0x3c, B: 0x8f, A: 0xff},
	color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

func seriesColor(i int) color.Color {
	return palette[i%len(palette)]
}

// svg renders a plot for use inside an HTML page.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(canvas))

	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", merry.Prepend(err, "render plot")
	}

	// The XML declaration and the comment before the element belong only in a separate
	// SVG file.
	_, element, found := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !found {
		return "", merry.New("render plot: no svg element")
	}

	return template.HTML("<svg" + string(element)), nil //nolint:gosec // rendered here, of escaped text
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.BackgroundColor = color.White
	p.Legend.Top = true

	for _, f := range []*font.Font{
		&p.Title.TextStyle.Font, &p.Legend.TextStyle.Font,
		&p.X.Label.TextStyle.Font, &p.X.Tick.Label.Font,
		&p.Y.Label.TextStyle.Font, &p.Y.Tick.Label.Font,
	} {
		f.Variant = "Sans"
	}

	return p
}

// addMargins extends the axes so that bars do not touch the edges or the legend.
func addMargins(p *plot.Plot, bars int) {
	p.Y.Max *= headroomFactor
	p.X.Min = -1
	p.X.Max = float64(bars)
}

// attainedPlot draws the percentage of good requests of each service over time.
func attainedPlot(services []burn.ServiceRow) (template.HTML, error) {
	p := newPlot("Answered within the targets", "% of requests")
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.Y.Max = 100
	p.Y.Min = 100
	p.Legend.Top = false
	p.Legend.Left = true
	p.Add(plotter.NewGrid())

	for i, s := range services {
		var points plotter.XYs

		for _, point := range s.Points {
			good := float64(point.Good) / math.Max(1, float64(point.Requests)) * 100
			points = append(points, plotter.XY{X: float64(point.At.Unix()), Y: good})
			p.Y.Min = math.Min(p.Y.Min, good-1)
		}

		if len(points) == 0 {
			continue
		}

		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", merry.Prepend(err, "draw line of a service")
		}

		line.Color, line.Width = seriesColor(i), vg.Points(lineWidthPoints)
		dots.Color = seriesColor(i)
		p.Add(line, dots)
		p.Legend.Add(string(s.Service), line)
	}

	// The legend is at the bottom, below the lines.
	p.Y.Min = 100 - (100-p.Y.Min)*headroomFactor

	return svg(p, plotHeight)
}

// burnPlot draws the burn rates of each row by window.
func burnPlot(rows []burn.Row) (template.HTML, error) {
	p := newPlot("Burn rate by window (1 spends the budget in three days)", "burn rate")

	windows := burn.WindowNames()
	for i, name := range windows {
		values := make(plotter.Values, 0, len(rows))
		for _, row := range rows {
			values = append(values, row.Windows[i].BurnRate)
		}

		if err := addBars(p, values, i, len(windows), name); err != nil {
			return "", err
		}
	}

	if err := addReferenceLine(p, 1, len(rows)); err != nil {
		return "", err
	}

	labelRows(p, rows)
	addMargins(p, len(rows))

	return svg(p, plotHeight+vg.Centimeter)
}

// latencyPlot draws the 95th percentile of each latency of a row as a percentage of its target.
func latencyPlot(rows []burn.Row) (template.HTML, error) {
	p := newPlot("Latency, 95th percentile as a part of its target", "% of target")
	kinds := []struct {
		name string
		of   func(burn.Row) (time.Duration, time.Duration)
	}{
		{"first token", func(r burn.Row) (time.Duration, time.Duration) { return r.FirstToken.P95, r.Objective.FirstToken }},
		{"between tokens", func(r burn.Row) (time.Duration, time.Duration) {
			return r.BetweenTokens.P95, r.Objective.BetweenTokens
		}},
		{"whole answer", func(r burn.Row) (time.Duration, time.Duration) { return r.Whole.P95, r.Objective.Whole }},
	}

	for i, k := range kinds {
		values := make(plotter.Values, 0, len(rows))

		for _, row := range rows {
			got, target := k.of(row)
			values = append(values, ratio(got, target)*100)
		}

		if err := addBars(p, values, i, len(kinds), k.name); err != nil {
			return "", err
		}
	}

	if err := addReferenceLine(p, 100, len(rows)); err != nil {
		return "", err
	}

	labelRows(p, rows)
	addMargins(p, len(rows))

	return svg(p, plotHeight+vg.Centimeter)
}

func ratio(got, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}

	return float64(got) / float64(target)
}

// refusedPlot draws the number of refused requests by reason. It returns an empty string if
// there are none.
func refusedPlot(rows []burn.Row) (template.HTML, error) {
	sums := burn.ReasonTotals(rows)
	if len(sums) == 0 {
		return "", nil
	}

	p := newPlot("Refused requests by reason", "requests")
	names := make([]string, 0, len(sums))
	values := make(plotter.Values, 0, len(sums))

	for _, c := range sums {
		names = append(names, c.Reason)
		values = append(values, float64(c.Count))
	}

	if err := addBars(p, values, 0, 1, ""); err != nil {
		return "", err
	}

	p.NominalX(names...)
	addMargins(p, len(names))

	return svg(p, plotHeight)
}

func addBars(p *plot.Plot, values plotter.Values, i, groups int, name string) error {
	width := min(maxBarWidthPoints, totalBarWidthPoints/float64((len(values)+1)*(groups+1)))

	bars, err := plotter.NewBarChart(values, vg.Points(width))
	if err != nil {
		return merry.Prepend(err, "draw bars")
	}

	bars.Color = seriesColor(i)
	bars.LineStyle.Width = 0
	bars.Offset = vg.Points(width * (float64(i) - float64(groups-1)/2))
	p.Add(bars)

	if name != "" {
		p.Legend.Add(name, bars)
	}

	return nil
}

// addReferenceLine draws a dashed horizontal line at y across all bars.
func addReferenceLine(p *plot.Plot, y float64, bars int) error {
	line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: y}, {X: float64(bars) - 0.5, Y: y}})
	if err != nil {
		return merry.Prepend(err, "draw reference line")
	}

	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)

	return nil
}

// labelRows labels the bars of each row with the number of the row in the table.
func labelRows(p *plot.Plot, rows []burn.Row) {
	names := make([]string, len(rows))
	for i := range rows {
		names[i] = fmt.Sprintf("#%d", i+1)
	}

	p.NominalX(names...)
	p.X.Label.Text = "row of the table"
}
