package manifest

// ServiceCapacity bounds the number of backend servers of a service.
type ServiceCapacity struct {
	minimum int
	maximum int
}

// Min returns the number that is kept even without load.
func (c ServiceCapacity) Min() int { return c.minimum }

// Max returns the number that is never exceeded.
func (c ServiceCapacity) Max() int { return c.maximum }
