package controller

import "context"

// drain is an instance that is given up.
type drain struct{}

// act makes the plan true.
func (c *Controller) act(context.Context, view) {}
