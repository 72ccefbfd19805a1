package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/load"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

// errBroken means that a load run saw a promise broken.
var errBroken = errors.New("a promise was broken")

const (
	// cloudServer is the name of the platform's stand-in in fault scripts.
	cloudServer = "platform"
	// reclaimPart is the part of a run after which a failure domain is reclaimed.
	reclaimPart = 3
)

// loadCommand sends the load of a mix and checks every answer.
type loadCommand struct {
	File     string        `arg:"" type:"existingfile" help:"Mix of calls, JSON with comments."`
	Target   []string      `required:"" placeholder:"HOST:PORT" help:"Callers' address of an entry instance; may be given more than once."`
	Plain    []string      `placeholder:"HOST:PORT" help:"Stand-in of a plain service, whose executions are checked."`
	Platform string        `placeholder:"URL" help:"Stand-in of the platform, for --reclaim and recomputed tokens."`
	Duration time.Duration `help:"How long calls arrive; that of the mix if it isn't given."`
	Rate     float64       `default:"1" help:"Multiplies the rates of the mix."`
	Seed     uint64        `default:"1" help:"Seed of arrivals and contents."`
	Reclaim  string        `placeholder:"DOMAIN" help:"Reclaim this failure domain after a third of the run."`
	Notice   time.Duration `default:"3s" help:"Notice of the reclaim."`
	Save     string        `type:"path" placeholder:"FILE" help:"Write the result as JSON too."`
	Quiet    bool          `help:"Print no progress."`
}

// LoadResult is the JSON form of a run.
type LoadResult struct {
	load.Result

	// Work is what the engines did, if the platform was given.
	Work *Work `json:"work,omitempty"`
}

// Work sums up the tokens that engines computed.
type Work struct {
	Decoded int `json:"decoded"`
	// Recomputed tokens were computed before, by this or another engine.
	Recomputed int `json:"recomputed"`
	// RecomputedPart is relative to the tokens decoded.
	RecomputedPart float64 `json:"recomputedPart"`
}

// Run sends the load.
func (l *loadCommand) Run(ctx context.Context, c *console) error {
	data, err := os.ReadFile(l.File)
	if err != nil {
		return merry.Prepend(err, "read mix")
	}

	mix, err := load.ReadMix(l.File, data)
	if err != nil {
		return err
	}

	engines := l.engines(ctx)

	run, err := load.Run(ctx, l.options(mix, c))
	if err != nil {
		return err
	}

	result := LoadResult{Result: run, Work: work(ctx, engines)}
	if err := l.save(result); err != nil {
		return err
	}

	if err := l.print(c, result); err != nil {
		return err
	}

	if !run.Kept() {
		return errBroken
	}

	return nil
}

func (l *loadCommand) options(mix load.Mix, c *console) load.Options {
	o := load.Options{
		Mix: mix, Targets: l.Target, Plain: l.Plain, Duration: l.Duration, Rate: l.Rate, Seed: l.Seed,
		Clock: clock.System{}, Expected: standin.ExpectedAnswer,
	}

	if !l.Quiet {
		o.Progress = c.err
	}

	if l.Reclaim == "" || l.Platform == "" {
		return o
	}

	duration := mix.Duration
	if l.Duration > 0 {
		duration = l.Duration
	}

	// The order always encodes.
	order, _ := json.Marshal(standin.ReclaimOrder{
		Domain: fleet.FailureDomain(l.Reclaim), Notice: standin.Duration(l.Notice),
	})
	o.Servers = []load.Server{{Name: cloudServer, URL: l.Platform}}
	o.Faults = []load.FaultMix{{
		At: duration / reclaimPart, Server: cloudServer, Path: standin.CloudReclaimsPath, Body: string(order),
	}}

	return o
}

func (l *loadCommand) save(r LoadResult) error {
	if l.Save == "" {
		return nil
	}

	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return merry.Prepend(err, "encode result")
	}

	return merry.Prepend(os.WriteFile(l.Save, data, reportFileMode), "write result")
}

func (l *loadCommand) print(c *console, r LoadResult) error {
	if c.json {
		return c.print(r, nil)
	}

	if err := r.WriteTable(c.out); err != nil {
		return err
	}

	if r.Work == nil {
		return nil
	}

	_, err := fmt.Fprintf(c.out, "engines decoded %d tokens and computed %d again (%.2f%%)\n",
		r.Work.Decoded, r.Work.Recomputed, 100*r.Work.RecomputedPart)

	return err
}

// engines returns the model engines that the platform lists before the run;
// those that are gone after it cannot be asked.
func (l *loadCommand) engines(ctx context.Context) []string {
	if l.Platform == "" {
		return nil
	}

	listings, err := listingsOf(ctx, l.Platform)
	if err != nil {
		return nil
	}

	var addresses []string
	for _, listing := range listings {
		addresses = append(addresses, listing.Address)
	}

	return addresses
}

// work adds up what the servers that are engines say of their work.
func work(ctx context.Context, addresses []string) *Work {
	if len(addresses) == 0 {
		return nil
	}

	w := &Work{}

	for _, address := range addresses {
		totals, err := fetch[standin.UsageTotals](ctx, address, standin.UsagePath)
		if err != nil {
			// It is a plain service, or it was reclaimed.
			continue
		}

		w.Decoded += totals.Decoded
		w.Recomputed += totals.Redone()
	}

	if w.Decoded > 0 {
		w.RecomputedPart = float64(w.Recomputed) / float64(w.Decoded)
	}

	return w
}

func listingsOf(ctx context.Context, url string) ([]provider.Listing, error) {
	return provider.NewHTTPInstanceList(url, http.DefaultClient).Listings(ctx)
}
