package burn

import (
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"short":   short,
	"against": against,
	"stamp":   func(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") },
	"number":  func(i int) int { return i + 1 },
	"over":    func(got, target time.Duration) bool { return target > 0 && got > target },
}).Parse(pageText))

// maxPlotRows bounds the rows of a plot to what can be read.
const maxPlotRows = 16

// pageData is what the page shows.
type pageData struct {
	Report

	Windows []string
	Cut     bool
	Plotted int
	Plots   []template.HTML
}

// WriteHTML writes the report as one page that needs no other file.
func (r Report) WriteHTML(w io.Writer) error {
	r.Rows = slices.Clone(r.Rows)
	slices.SortStableFunc(r.Rows, func(a, b Row) int { return cmp.Compare(a.BudgetLeft, b.BudgetLeft) })

	shown := r.Rows[:min(len(r.Rows), maxPlotRows)]
	data := pageData{Report: r, Cut: len(shown) < len(r.Rows), Plotted: len(shown)}

	for _, shape := range windowShapes {
		data.Windows = append(data.Windows, shape.name)
	}

	if len(shown) > 0 {
		plots, err := r.plots(shown)
		if err != nil {
			return err
		}

		data.Plots = plots
	}

	if err := page.Execute(w, data); err != nil {
		return merry.Prepend(err, "render report")
	}

	return nil
}

func (r Report) plots(shown []Row) ([]template.HTML, error) {
	var plots []template.HTML

	for _, draw := range []func() (template.HTML, error){
		func() (template.HTML, error) { return attainedPlot(r.Services) },
		func() (template.HTML, error) { return burnPlot(shown) },
		func() (template.HTML, error) { return latencyPlot(shown) },
		func() (template.HTML, error) { return refusedPlot(r.Rows) },
	} {
		one, err := draw()
		if err != nil {
			return nil, err
		}

		if one != "" {
			plots = append(plots, one)
		}
	}

	return plots, nil
}
