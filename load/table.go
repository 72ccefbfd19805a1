package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const tablePadding = 2

// shownEndings are the endings in the order of the table.
var shownEndings = []Ending{Answered, Refused, Failed, Lost, Unreached, Unanswered, Cut, Wrong}

// WriteTable writes the result for a terminal.
func (r *Result) WriteTable(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s, seed %d, %s\n\n", r.Mix, r.Seed, r.Duration.Round(time.Millisecond))
	fmt.Fprint(b, "SERVICE\tKIND\tSCHEDULED\tSKIPPED\tLATE")

	for _, e := range shownEndings {
		fmt.Fprintf(b, "\t%s", strings.ToUpper(string(e)))
	}

	fmt.Fprintln(b)

	for i := range r.Kinds {
		k := &r.Kinds[i]
		fmt.Fprintf(b, "%s\t%s\t%d\t%d\t%d", k.Service, k.Kind, k.Scheduled, k.Skipped, k.Late)

		for _, e := range shownEndings {
			fmt.Fprintf(b, "\t%d", k.Count(e))
		}

		fmt.Fprintln(b)
	}

	r.writeLatency(b)
	r.writeCodes(b)
	r.writePromises(b)

	aligned := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := io.WriteString(aligned, b.String()); err != nil {
		return err
	}

	return aligned.Flush()
}

func (r *Result) writeLatency(b *strings.Builder) {
	fmt.Fprintln(b, "\nSERVICE\tKIND\tLATENCY\tCOUNT\tP50\tP95\tP99\tMAX")

	for _, k := range r.Kinds {
		for _, l := range []struct {
			name    string
			latency Latency
		}{{"first token", k.FirstToken}, {"between tokens", k.BetweenTokens}, {"whole", k.Whole}, {"until refused", k.UntilRefused}} {
			if l.latency.Count == 0 {
				continue
			}

			fmt.Fprintf(b, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", k.Service, k.Kind, l.name, l.latency.Count,
				short(l.latency.P50), short(l.latency.P95), short(l.latency.P99), short(l.latency.Max))
		}
	}
}

func (r *Result) writeCodes(b *strings.Builder) {
	fmt.Fprintln(b, "\nSERVICE\tKIND\tCODE\tRUN\tCOUNT")

	for _, k := range r.Kinds {
		for _, c := range k.Codes {
			fmt.Fprintf(b, "%s\t%s\t%s\t%s\t%d\n", k.Service, k.Kind, c.Code, c.Run, c.Count)
		}
	}
}

func (r *Result) writePromises(b *strings.Builder) {
	for _, f := range r.Faults {
		fmt.Fprintf(b, "\nfault at %s: %s%s %s %s", short(f.At), f.Server, f.Path, f.Body, f.Error)
	}

	checked := "checked against all plain services"
	if !r.Keys.Checked {
		checked = "NOT checked against all plain services (those that are gone count as last seen)"
	}

	fmt.Fprintf(b, "\nkeyed calls: sent %d, executed %d, confirmed %d, outcome unknown %d, ran twice %d, ran though refused %d; %s\n",
		r.Keys.Sent, r.Keys.Executed, r.Keys.Confirmed, r.Keys.Unknown, r.Keys.Twice, r.Keys.Untrue, checked)

	if r.Kept() {
		fmt.Fprintln(b, "promises: kept")

		return
	}

	fmt.Fprintf(b, "promises: BROKEN %d times\n", r.BrokenCount)

	for _, one := range r.Broken {
		fmt.Fprintf(b, "  %s  %s/%s %s at %s: %s\n", one.Kind, one.Service, one.Call, one.Key, short(one.At), one.Detail)
	}
}

func short(d time.Duration) string {
	if d < time.Second {
		return d.Round(10 * time.Microsecond).String()
	}

	return d.Round(time.Millisecond).String()
}
