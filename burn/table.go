package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	tablePadding = 2
	tableTime    = time.RFC3339
)

// WriteTable writes the report for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	t := &strings.Builder{}
	fmt.Fprintf(t, "Service-level burn, %s to %s, %d instances\n\n",
		r.From.Format(tableTime), r.At.Format(tableTime), len(r.Instances))
	fmt.Fprintln(t, "SERVICE\tACCOUNT\tKIND\tREQUESTS\tOBJECTIVE\tATTAINED\tBUDGET LEFT\tBURN 5m\t1h\t6h\t3d\tSTATE")

	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s", row.Service, row.Account, row.Kind, row.Requests,
			Percent(row.Objective.Part), Percent(row.Attained), Percent(row.BudgetLeft))

		for _, rate := range row.Windows {
			fmt.Fprintf(t, "\t%.1f", rate.BurnRate)
		}

		fmt.Fprintf(t, "\t%s\n", row.State)
	}

	r.writeLatency(t)
	r.writeServices(t)
	r.writeRefused(t)

	aligned := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := io.WriteString(aligned, t.String()); err != nil {
		return err
	}

	return aligned.Flush()
}

func (r Report) writeLatency(t *strings.Builder) {
	fmt.Fprintln(t, "\nSERVICE\tACCOUNT\tKIND\tFIRST TOKEN p95 (target)\tBETWEEN TOKENS p95 (target)\tWHOLE p50\tp95 (target)\tp99")

	for _, row := range r.Rows {
		o := row.Objective
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Service, row.Account, row.Kind,
			Against(row.FirstToken.P95, o.FirstToken), Against(row.BetweenTokens.P95, o.BetweenTokens),
			Short(row.Whole.P50), Against(row.Whole.P95, o.Whole), Short(row.Whole.P99))
	}
}

func (r Report) writeServices(t *strings.Builder) {
	fmt.Fprintln(t, "\nSERVICE\tREQUESTS\tGOOD\tATTAINED\tCOST\tPER 1000 GOOD\tPER MILLION TOKENS\tTOKENS\tRECOMPUTED\tPART")

	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.2f\t%.4f\t%.4f\t%d\t%d\t%s\n", s.Service, s.Requests, s.Good,
			Percent(s.Attained), s.Cost, s.CostPerThousandAnswers, s.CostPerMillionTokens,
			s.Tokens, s.RecomputedTokens, Percent(s.RecomputedPart))
	}
}

func (r Report) writeRefused(t *strings.Builder) {
	fmt.Fprintln(t, "\nSERVICE\tACCOUNT\tKIND\tREFUSED\tEXCUSED\tFAILED\tBY REASON")

	for _, row := range r.Rows {
		if row.Refused+row.Failed+row.Excused == 0 {
			continue
		}

		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", row.Service, row.Account, row.Kind,
			row.Refused, row.Excused, row.Failed, row.reasons())
	}
}

// reasons lists the refusals of a row by reason.
func (r Row) reasons() string {
	parts := make([]string, 0, len(r.Reasons))
	for _, c := range r.Reasons {
		parts = append(parts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}

	return strings.Join(parts, ", ")
}

// Percent formats a part of one.
func Percent(part float64) string {
	return fmt.Sprintf("%.2f%%", part*100)
}

// Short rounds a latency to what its buckets can tell.
func Short(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Second:
		return d.Round(100 * time.Microsecond).String()
	default:
		return d.Round(10 * time.Millisecond).String()
	}
}

// Against formats a latency beside its target, if there is one.
func Against(got, target time.Duration) string {
	if target <= 0 {
		return Short(got)
	}

	return Short(got) + " (" + Short(target) + ")"
}
