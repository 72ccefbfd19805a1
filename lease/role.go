package lease

// Role names what a lease is held for, such as the controller of a region.
type Role string
