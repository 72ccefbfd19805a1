package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/manifest"
	"monsoonlever/provider"
	"monsoonlever/publication"
)

// errBehind means that a manifest is not yet in force on every instance.
var errBehind = errors.New("in force on the log, but not yet on every instance")

// publishCommand puts a manifest in force.
type publishCommand struct {
	logFlags
	instanceFlags

	File        string        `arg:"" type:"existingfile" help:"Manifest, JSON with comments."`
	DerivedFrom uint64        `required:"" placeholder:"VERSION" help:"Version that the manifest was derived from, as 'current' prints it; 0 for the first manifest."`
	Operator    string        `placeholder:"NAME" help:"Who publishes; the user's name if it isn't given."`
	Wait        bool          `help:"Wait until the manifest is in force on every instance given with --instance."`
	Timeout     time.Duration `default:"30s" help:"How long to wait for the log and the instances."`
}

// PublishResult is the JSON form of a publication.
type PublishResult struct {
	Version provider.Offset `json:"version"`
	ID      string          `json:"id"`
	// Behind names the instances that don't have the manifest in force.
	Behind []string `json:"behind,omitempty"`
}

// Run publishes the file.
func (p *publishCommand) Run(parent context.Context, c *console) error {
	data, err := os.ReadFile(p.File)
	if err != nil {
		return merry.Prepend(err, "read manifest")
	}

	ctx, cancel := context.WithTimeout(parent, p.Timeout)
	defer cancel()

	receipt, err := p.publisher().Publish(ctx, publication.Request{
		Base: provider.Offset(p.DerivedFrom), File: p.File, Data: data, Operator: p.operator(),
	})
	if err != nil {
		printConflict(c, err)

		return err
	}

	result := PublishResult{Version: receipt.Version(), ID: string(receipt.ID())}
	if p.Wait {
		result.Behind = p.waitFor(ctx, receipt.Version())
	}

	t := &table{header: []string{"VERSION", "ID", "BEHIND"}}
	t.add(fmt.Sprint(result.Version), result.ID, strings.Join(result.Behind, " "))

	if err := c.print(result, t); err != nil {
		return err
	}

	if len(result.Behind) > 0 {
		return errBehind
	}

	return nil
}

func (p *publishCommand) operator() string {
	if p.Operator != "" {
		return p.Operator
	}

	u, err := user.Current()
	if err != nil {
		return "unknown"
	}

	return u.Username
}

// waitFor returns the instances that do not have a version in force when all
// have it or ctx ends.
func (p *publishCommand) waitFor(ctx context.Context, version provider.Offset) []string {
	for {
		var behind []string

		for _, r := range p.statuses(ctx) {
			if r.Status == nil || r.Status.Manifest.Version < version {
				behind = append(behind, r.Instance)
			}
		}

		if len(behind) == 0 || ctx.Err() != nil {
			return behind
		}

		clock.Sleep(ctx, clock.System{}, pollEvery)
	}
}

// printConflict shows an operator who lost a race what won, and what of the own
// manifest differs from it.
func printConflict(c *console, err error) {
	var conflict *publication.Conflict
	if !errors.As(err, &conflict) {
		return
	}

	if since, ok := conflict.Since(); ok {
		printChanges(c, fmt.Sprintf("changed since version %d by %s", conflict.Base(), conflict.Operator()), since)
	}

	printChanges(c, "would change with this manifest", conflict.Yours())
}

func printChanges(c *console, title string, changes []manifest.Change) {
	_, _ = fmt.Fprintf(c.err, "%s:\n", title)

	for _, change := range changes {
		_, _ = fmt.Fprintf(c.err, "  %s\n", change)
	}
}
