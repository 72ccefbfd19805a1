package cmd

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"monsoonlever/clock"
	"monsoonlever/daemon"
)

var (
	errUnreachable = errors.New("an instance did not answer")
	errNotReady    = errors.New("an instance was not ready at the end of the wait")
)

// statusCommand shows instances and backend servers.
type statusCommand struct {
	instanceFlags

	Servers bool          `help:"Show the backend servers too, as the first instance that answers sees them."`
	Wait    time.Duration `placeholder:"DURATION" help:"Wait this long until every instance is ready."`
	// Decisions shows what control decided.
	Decisions bool `help:"Show who controls each region and why each service has what it has."`
}

// Run asks every instance.
func (s *statusCommand) Run(ctx context.Context, c *console) error {
	results := s.settled(ctx)

	t := &table{header: []string{"INSTANCE", "DOMAIN", "READY", "MANIFEST", "LOG", "NOTE"}}
	missing := false

	for _, r := range results {
		if r.Status == nil {
			missing = true

			t.add(r.Instance, "-", "-", "-", "-", r.Error)

			continue
		}

		t.add(instanceRow(r.Status)...)
	}

	if err := c.print(results, t); err != nil {
		return err
	}

	if s.Servers && !c.json {
		if err := printServers(c, results); err != nil {
			return err
		}
	}

	if s.Decisions && !c.json {
		if err := printDecisions(c, results); err != nil {
			return err
		}
	}

	if missing {
		return errUnreachable
	}

	if s.Wait > 0 && !allReady(results) {
		return errNotReady
	}

	return nil
}

// settled returns what the instances say once all are ready, or at the end of
// the wait.
func (s *statusCommand) settled(ctx context.Context) []InstanceResult {
	until := time.Now().Add(s.Wait)

	for {
		results := s.statuses(ctx)
		if allReady(results) || !time.Now().Before(until) || ctx.Err() != nil {
			return results
		}

		clock.Sleep(ctx, clock.System{}, pollEvery)
	}
}

func allReady(results []InstanceResult) bool {
	for _, r := range results {
		if r.Status == nil || !r.Status.Ready {
			return false
		}
	}

	return true
}

func instanceRow(s *daemon.Status) []string {
	log := "up"

	switch {
	case s.Manifest.Version == 0:
		log = "-"
	case !s.Log.Healthy:
		log = fmt.Sprintf("down for %.0fs", s.Log.ReadAgeSeconds)
	}

	return []string{
		string(s.Instance), string(s.FailureDomain), fmt.Sprint(s.Ready),
		fmt.Sprint(s.Manifest.Version), log, strings.Join(s.Missing, "; "),
	}
}

func printServers(c *console, results []InstanceResult) error {
	for _, r := range results {
		if r.Status == nil {
			continue
		}

		t := &table{header: []string{"SERVER", "SERVICE", "MODEL", "VERSION", "DOMAIN", "STATE", "IN FLIGHT", "LOAD"}}
		for _, s := range r.Status.Servers {
			t.add(string(s.ID), string(s.Service), string(s.Model), string(s.Version), string(s.Domain),
				s.State, fmt.Sprint(s.InFlight), fmt.Sprint(s.Load))
		}

		return c.print(nil, t)
	}

	return nil
}
