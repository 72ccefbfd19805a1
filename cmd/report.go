package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"

	"monsoonlever/burn"
	"monsoonlever/burnpage"
)

var errNothingToReport = errors.New("give --instance or --from")

const reportFileMode = 0o644

// reportCommand prints the report on service-level burn.
type reportCommand struct {
	instanceFlags

	From []string `type:"existingfile" placeholder:"FILE" help:"JSON of a load run to report on; may be given more than once."`
	HTML string   `name:"html" type:"path" placeholder:"FILE" help:"Write the report with plots as one HTML page."`
}

// Run merges what the instances and files counted into one report.
func (r *reportCommand) Run(ctx context.Context, c *console) error {
	snapshots, err := r.snapshots(ctx)
	if len(snapshots) == 0 {
		return errors.Join(err, errNothingToReport)
	}

	report := burn.NewReport(burn.Merge(snapshots...))

	if r.HTML != "" {
		if err := r.writeHTML(report); err != nil {
			return err
		}
	}

	write := report.WriteTable
	if c.json {
		write = report.WriteJSON
	}

	// What could be read is shown even if an instance did not answer.
	return errors.Join(write(c.out), err)
}

func (r *reportCommand) snapshots(ctx context.Context) ([]burn.Snapshot, error) {
	urls := make([]string, 0, len(r.Instance))
	for _, address := range r.Instance {
		urls = append(urls, "http://"+address+burn.Path)
	}

	snapshots, err := burn.Fetch(ctx, &http.Client{Timeout: statusTimeout}, urls)

	for _, name := range r.From {
		snapshot, readErr := readSnapshot(name)
		if readErr != nil {
			return nil, readErr
		}

		snapshots = append(snapshots, snapshot)
	}

	return snapshots, err
}

func readSnapshot(name string) (burn.Snapshot, error) {
	f, err := os.Open(name)
	if err != nil {
		return burn.Snapshot{}, merry.Prepend(err, "open load run")
	}
	defer f.Close() //nolint:errcheck // it was only read

	snapshot, err := burn.Read(f)

	return snapshot, merry.Prepend(err, "read "+name)
}

func (r *reportCommand) writeHTML(report burn.Report) error {
	f, err := os.OpenFile(r.HTML, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, reportFileMode)
	if err != nil {
		return merry.Prepend(err, "write report")
	}

	if err := errors.Join(burnpage.Write(f, report), f.Close()); err != nil {
		return fmt.Errorf("write report %s: %w", r.HTML, err)
	}

	return nil
}
