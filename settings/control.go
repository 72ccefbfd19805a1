package settings

// ControlMode selects how far an instance takes part in the control of its region.
type ControlMode string

// Control modes.
const (
	// ControlOff disables the controller on this instance.
	ControlOff ControlMode = "off"
	// ControlObserve makes and publishes decisions and orders rollouts, but buys and
	// releases no instances.
	ControlObserve ControlMode = "observe"
	// ControlAct also buys and releases instances.
	ControlAct ControlMode = "act"
)

// Control holds the settings of the controller of a region.
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
