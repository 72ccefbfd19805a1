package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/clock"
	"monsoonlever/provider"
	"monsoonlever/publication"
)

// pollEvery is the time between two looks at something that is waited for.
const pollEvery = 50 * time.Millisecond

var errNotReadable = errors.New("the log did not show the manifest in force in time")

// currentCommand prints the manifest in force.
type currentCommand struct {
	logFlags

	Text    bool          `help:"Print the manifest's text only."`
	Timeout time.Duration `default:"10s" help:"How long to wait for the log."`
}

// Current is the JSON form of the manifest in force. Version 0 stands for none.
type Current struct {
	Version  provider.Offset `json:"version"`
	ID       string          `json:"id,omitempty"`
	Operator string          `json:"operator,omitempty"`
	Manifest string          `json:"manifest,omitempty"`
}

// Run reads the log until it shows what is in force.
func (v *currentCommand) Run(ctx context.Context, c *console) error {
	snapshot, err := v.read(ctx)
	if err != nil {
		return err
	}

	var current Current
	if snapshot != nil {
		current = Current{
			Version: snapshot.Version(), ID: string(snapshot.ID()),
			Operator: snapshot.Operator(), Manifest: string(snapshot.Source()),
		}
	}

	if v.Text {
		_, err := fmt.Fprint(c.out, current.Manifest)

		return err
	}

	t := &table{header: []string{"VERSION", "ID", "OPERATOR"}}
	t.add(fmt.Sprint(current.Version), current.ID, current.Operator)

	return c.print(current, t)
}

// read follows the log until the version in force is known.
func (v *currentCommand) read(parent context.Context) (*publication.Snapshot, error) {
	ctx, cancel := context.WithTimeout(parent, v.Timeout)
	defer cancel()

	follower := v.follower()

	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { follower.Run(ctx) })

	for ctx.Err() == nil {
		if _, known := follower.Checkpoint(); known {
			cancel()

			return follower.Snapshot(), nil
		}

		clock.Sleep(ctx, clock.System{}, pollEvery)
	}

	return nil, errNotReadable
}
