package lease

// Role names the function that the holder of a lease performs, such as the controller of a
// region.
type Role string
