package settings

// ControlMode tells what an instance does for the control of its region.
type ControlMode string

// The modes of control.
const (
	// ControlOff takes no part.
	ControlOff ControlMode = "off"
	// ControlObserve decides and shows, and gives the orders of roll-outs.
	ControlObserve ControlMode = "observe"
	// ControlAct also buys and releases instances.
	ControlAct ControlMode = "act"
)

// Control holds the settings of the control of a region.
type Control struct {
	Mode ControlMode `json:"mode"`
}

func defaultControl() Control {
	return Control{Mode: ControlObserve}
}

func (s Control) check(c *checker) {
	switch s.Mode {
	case ControlOff, ControlObserve, ControlAct:
	default:
		c.report("control.mode", "must be %q, %q or %q, not %q", ControlOff, ControlObserve, ControlAct, s.Mode)
	}
}
