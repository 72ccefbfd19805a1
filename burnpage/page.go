// Package burnpage renders the report on service-level burn as one HTML page.
//
// It is separate from package burn so that an entry instance, which only records
// observations, does not link the plotting library and its fonts.
//
// # Usage
//
//	err := burnpage.Write(w, burn.NewReport(snapshot))
package burnpage

import (
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/burn"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": burn.Percent,
	"short":   burn.Short,
	"against": burn.Against,
	"stamp":   func(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") },
	"number":  func(i int) int { return i + 1 },
	"over":    func(got, target time.Duration) bool { return target > 0 && got > target },
}).Parse(pageText))

// maxPlotRows limits the rows of a plot, which becomes illegible with more.
const maxPlotRows = 16

// pageData is the input of the page template. Cut reports whether the plots omit rows, and
// Plotted is the number of rows that they show.
type pageData struct {
	burn.Report

	Windows []string
	Cut     bool
	Plotted int
	Plots   []template.HTML
}

// Write writes a report as one self-contained HTML page, with the rows in ascending order of
// the budget left.
func Write(w io.Writer, r burn.Report) error {
	r.Rows = slices.Clone(r.Rows)
	slices.SortStableFunc(r.Rows, func(a, b burn.Row) int { return cmp.Compare(a.BudgetLeft, b.BudgetLeft) })

	shown := r.Rows[:min(len(r.Rows), maxPlotRows)]
	data := pageData{Report: r, Cut: len(shown) < len(r.Rows), Plotted: len(shown)}

	data.Windows = burn.WindowNames()

	if len(shown) > 0 {
		drawn, err := drawPlots(r, shown)
		if err != nil {
			return err
		}

		data.Plots = drawn
	}

	if err := page.Execute(w, data); err != nil {
		return merry.Prepend(err, "render report")
	}

	return nil
}

func drawPlots(r burn.Report, shown []burn.Row) ([]template.HTML, error) {
	var images []template.HTML

	for _, draw := range []func() (template.HTML, error){
		func() (template.HTML, error) { return attainedPlot(r.Services) },
		func() (template.HTML, error) { return burnPlot(shown) },
		func() (template.HTML, error) { return latencyPlot(shown) },
		func() (template.HTML, error) { return refusedPlot(r.Rows) },
	} {
		image, err := draw()
		if err != nil {
			return nil, err
		}

		if image != "" {
			images = append(images, image)
		}
	}

	return images, nil
}
