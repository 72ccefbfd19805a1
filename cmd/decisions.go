package cmd

import (
	"fmt"
	"time"

	"monsoonlever/controller"
	"monsoonlever/lease"
)

// printDecisions shows each role once, as its holder sees it or, where none of
// the instances holds it, as the first that takes part does; then its decisions.
func printDecisions(c *console, results []InstanceResult) error {
	roles := make(map[lease.Role]*controller.Status)

	var order []lease.Role

	for _, r := range results {
		if r.Status == nil || r.Status.Control == nil {
			continue
		}

		control := r.Status.Control
		if roles[control.Role] == nil {
			order = append(order, control.Role)
			roles[control.Role] = control
		}

		if control.IsHolder {
			roles[control.Role] = control
		}
	}

	for _, role := range order {
		t := &table{header: []string{"ROLE", "HOLDER", "FENCE", "UNTIL", "MODE", "NOTE"}}
		t.add(controlRow(roles[role])...)

		if err := c.print(nil, t); err != nil {
			return err
		}

		for _, line := range roles[role].Decisions {
			if _, err := fmt.Fprintln(c.out, line); err != nil {
				return err
			}
		}
	}

	return nil
}

func controlRow(s *controller.Status) []string {
	holder, until := "nobody", "-"
	if s.Holder != "" {
		holder = string(s.Holder)
		until = s.ExpiresAt.UTC().Format(time.TimeOnly)
	}

	return []string{string(s.Role), holder, fmt.Sprint(s.Fence), until, s.Mode, s.Note}
}
